//! What members say to each other. How that goes over a link is the front's matter.

use serde::{Deserialize, Serialize};

use crate::cluster_state::{Command, CommandId, Outcome};
use crate::swim::Member;
use crate::Millis;

/// Members of one major version understand each other. A newer minor one may say things that an older one
/// passes over, and puts nothing into the log that any member can't read
/// ([`level`](crate::agreed::Agreed::level)). 1.1: staff can pause all work. 1.2: members hold copies for
/// others, and succeed those that are lost.
pub const MAJOR: u16 = 1;
pub const MINOR: u16 = 2;
/// Names one council from its founding on: its number grows with each refounding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupId {
    pub number: u64,
    /// Of the member that founded it, so that two of one number differ.
    pub founder: u64,
}

impl GroupId {
    /// Whether there is one.
    pub fn is_some(self) -> bool {
        self.number > 0
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    pub cluster: String,
    pub from: Member,
    /// The council that the sender knows of.
    pub group_id: GroupId,
    pub payload: Payload,
    /// The minor version that the sender speaks. The front says it ahead of the rest, so that one that speaks
    /// another is understood as far as it goes.
    #[serde(skip)]
    pub minor: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// The first word of whoever dials.
    Hello,
    /// What is known here of the other: the highest life of its name, and whether its disk is the one that
    /// was last seen (and not an older copy). It is `about` a disk in one start; the first one is answered
    /// by another, `back`.
    Welcome {
        recipient: (u64, u64),
        incarnation: u64,
        disk_is_current: bool,
        is_reply: bool,
    },
    /// No link, and why. It is closed after this.
    Rejected(String),
    Gossip(Vec<u8>),
    /// Between voters.
    Raft(Vec<u8>),
    /// How the sender is, and which state of what is agreed it has.
    StatusReport {
        known_index: u64,
        status: Status,
    },
    /// What is agreed, where it is newer than what the other has, and who leads.
    StateUpdate {
        index: u64,
        leader: Option<String>,
        cluster_state: Option<Vec<u8>>,
    },
    Request {
        id: CommandId,
        request: LeaderRequest,
    },
    Response {
        id: CommandId,
        response: LeaderResponse,
    },
    /// The sender is about to end in order.
    Leaving,
    /// To the leader: the sender wants its lease renewed, by its own clock at `asked`, for the streams that
    /// it writes; and what it holds for others.
    RenewLease {
        requested_at: Millis,
        owned_streams: Vec<StreamEpoch>,
        held_replicas: Vec<HeldReplica>,
    },
    /// The leader's word that all of them are still the sender's to write, in that start of its program: one
    /// that comes late must not count for the next.
    LeaseRenewed {
        boot: u64,
        requested_at: Millis,
    },
    /// Between those that write and hold copies; the front knows how to read it.
    Replication(Vec<u8>),
}

/// A stream of copies, and the epoch by which it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEpoch {
    pub stream: u64,
    pub epoch: u64,
}

/// What a member holds of a stream that another writes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldReplica {
    pub stream: StreamEpoch,
    /// Who wrote it last, in which start of its program.
    pub primary: String,
    pub primary_boot: u64,
    pub sequence: u64,
}

/// Of members, and of staff by way of members, to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderRequest {
    Execute(Command),
    /// Why a machine has not been granted its work yet.
    Explain(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderResponse {
    Outcome(Outcome),
    Text(String),
    /// Ask this one, or anybody else.
    NotLeader(Option<String>),
}

/// How a call agent is, as it sees itself. Rates are in thousandths a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    pub serving: bool,
    /// Set-ups offered, as a mean of the last seconds.
    pub load_milli: u64,
    /// What it can take, by its file; 0 where that is not known.
    pub capacity_milli: u64,
    /// Calls taken and not ended.
    pub calls: u32,
    /// Check servers that it uses, and those of them that it avoids.
    pub servers: u32,
    pub avoided: u32,
    /// Check servers that it keeps set-ups from, with the grant, and whether calls still stand there.
    pub held: Vec<(u32, u64, bool)>,
    /// For each class of calls, the check servers that can serve it now.
    pub classes: Vec<Vec<u32>>,
}
