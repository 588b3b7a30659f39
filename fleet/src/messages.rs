//! Messages between members. The caller transfers them. All of them are encoded by postcard, by position.

use serde::{Deserialize, Serialize};

use crate::cluster_state::{Command, CommandId, Outcome};
use crate::swim::Member;
use crate::Millis;

/// Protocol version. Members of one major version understand each other. A member of a newer minor version
/// may send messages that an older one ignores, but it puts nothing into the log that any member can't read
/// ([`ClusterState::check_supported`](crate::cluster_state::ClusterState::check_supported)). 1.1: operators
/// can suspend approvals. 1.2: replication between members and failover.
pub const MAJOR: u16 = 1;
pub const MINOR: u16 = 2;
/// Identifies a consensus group from its creation on: its number grows each time a group is recreated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupId {
    pub number: u64,
    /// Identity of the member that created the group, so that two groups of one number differ.
    pub founder: u64,
}

impl GroupId {
    /// Whether a group is known.
    pub fn is_some(self) -> bool {
        self.number > 0
    }
}

/// A message with what its sender states about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    pub cluster: String,
    pub from: Member,
    /// The consensus group that the sender knows.
    pub group_id: GroupId,
    pub payload: Payload,
    /// The sender's minor protocol version. The caller sends it ahead of the encoded envelope, so that a
    /// receiver of another version decodes what it knows.
    #[serde(skip)]
    pub minor: u16,
}

/// Content of a message. Variants and fields keep their order and types, since the encoding is by position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// The first message on a connection, sent by the side that opened it.
    Hello,
    /// What the sender knows of the receiver: the highest incarnation of its name, and whether its disk is
    /// the one seen last and not an older copy. `recipient` is a disk identity and a boot identifier. A
    /// first welcome is answered by another with `is_reply`.
    Welcome { recipient: (u64, u64), incarnation: u64, disk_is_current: bool, is_reply: bool },
    /// The connection is rejected, with the reason, and closed after this.
    Rejected(String),
    /// A SWIM message.
    Gossip(Vec<u8>),
    /// A Raft message between voters.
    Raft(Vec<u8>),
    /// The sender's status, and the log index of the state it has.
    StatusReport { known_index: u64, status: Status },
    /// The agreed state, if it is newer than the receiver's, and the current leader.
    StateUpdate { index: u64, leader: Option<String>, cluster_state: Option<Vec<u8>> },
    /// A request to the leader.
    Request { id: CommandId, request: LeaderRequest },
    /// The response to a request.
    Response { id: CommandId, response: LeaderResponse },
    /// The sender is about to shut down gracefully.
    Leaving,
    /// To the leader: requests renewal of the sender's lease for the streams it owns, and reports the
    /// replicas that it holds. `requested_at` is by the sender's clock.
    RenewLease { requested_at: Millis, owned_streams: Vec<StreamEpoch>, held_replicas: Vec<HeldReplica> },
    /// From the leader: the lease is renewed for all streams of the request. `boot` identifies the process
    /// start that requested it, since a late response must not count for the next start.
    LeaseRenewed { boot: u64, requested_at: Millis },
    /// A replication message between a primary and its replicas, decoded by the caller.
    Replication(Vec<u8>),
}

/// A replication stream, and the epoch by which its primary writes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEpoch {
    pub stream: u64,
    pub epoch: u64,
}

/// A replica of another member's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldReplica {
    pub stream_epoch: StreamEpoch,
    /// The last primary, and the boot identifier of its process start.
    pub primary: String,
    pub primary_boot: u64,
    pub sequence: u64,
}

/// Requests to the leader, from members or from operators by way of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Executes a command through the log.
    Execute(Command),
    /// Asks why a machine's request has not been approved yet.
    Explain(String),
}

/// Responses to a [`LeaderRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderResponse {
    /// The outcome of a command.
    Outcome(Outcome),
    /// The explanation that was asked for.
    Text(String),
    /// The sender does not lead; names the leader if known.
    NotLeader(Option<String>),
}

/// The status of a call agent, as reported by itself. Rates are in thousandths per second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    pub serving: bool,
    /// Set-ups offered, as a mean of the last seconds.
    pub load_milli: u64,
    /// Configured capacity; 0 if unknown.
    pub capacity_milli: u64,
    /// Calls accepted and not ended.
    pub calls: u32,
    /// Check servers in use, and how many of them are avoided.
    pub servers: u32,
    pub avoided: u32,
    /// Check servers that get no new set-ups, each with the approval number and whether it still has calls.
    pub held: Vec<(u32, u64, bool)>,
    /// For each class of calls, the check servers that can serve it now.
    pub classes: Vec<Vec<u32>>,
}
