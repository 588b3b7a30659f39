//! The messages between the owner of the core and the tasks of connections, and the state that they share.
//! Fronts translate the messages to their protocols. Every other module of the program depends on this one.

pub mod clock;
pub mod conn;
pub mod copies;
pub mod dispatch;
pub mod input_queue;
pub mod log;
pub mod pool;
pub mod rate_limited_log;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use steprelay_copies::member::{ReplicationEvent, ReplicationStats};
use steprelay_core::lifecycle::{self, AlreadyStopping};
use steprelay_core::{
    ClientId, Counts, LinkLoss, ListSource, Peer, ReleaseCause, Request, ServerCounts, SetUp, Verdict,
};
use steprelay_decisions::{CallId, Cause, Entry, ListKind, Micros, Report, ServerId};
use steprelay_fleet::node::Metrics as FleetFigures;
use steprelay_settings::Site;
use tokio::sync::oneshot;

use clock::Clock;
use conn::{Outbox, Weight};
use dispatch::Dispatch;
use input_queue::{InputSender, InputSenders};
use pool::Pool;
use rate_limited_log::RateLimitedLog;

/// The established calls of a server that was dialled and has sent nothing for this long count as ended: the
/// limit for their releases is 8 s from the end, and the rest of that time is for a second connection to the
/// caller.
pub const UNREACHABLE_TIMEOUT: Micros = 7_300_000;

/// A message to a client.
#[derive(Debug)]
pub enum ToClient {
    Answer {
        call: CallId,
        description: Rc<str>,
    },
    Final {
        call: CallId,
        verdict: Verdict,
    },
    Released {
        call: CallId,
        cause: ReleaseCause,
        dispatch: Dispatch,
    },
    /// Checks whether the connection has input that was not passed on; if there is none, this is reported as
    /// [`Input::NothingUnread`].
    CheckUnreadInput(CallId),
    /// A health check of this call agent has passed.
    HealthCheckPassed(CallId),
    /// This call agent is about to stop: the client should send new set-ups elsewhere.
    Draining,
    /// The servers' load level, 0 to 3, for clients whose signalling can express it.
    Pressure(u8),
    /// This call agent accepts no more calls: a health check has failed.
    HealthCheckFailed(CallId),
    /// Closes the connection if it has brought at most this number of inputs.
    CloseIfIdle {
        inputs: u64,
    },
    /// Pauses reading of the connection, if everything that has arrived was passed on.
    Pause,
    /// Closes the connection if it was paused a short time ago, with at most this number of inputs.
    CloseIfPaused {
        inputs: u64,
    },
    /// Resumes reading of the connection.
    Resume,
    /// No message follows. Set-ups that cross this message are not accepted.
    Finish,
}

/// A message to a server.
#[derive(Debug)]
pub enum ToServer {
    SetUp(SetUp, Dispatch),
    Cancel(CallId),
    Release(CallId, ReleaseCause),
    Probe(CallId),
    /// Confirms a release, so that the server need not repeat it.
    ConfirmRelease(CallId),
    /// No message follows. Input from the server is still read.
    Finish,
}

/// Approximate weight in bytes of a message without its description.
const BASE_WEIGHT: usize = 128;

impl Weight for ToClient {
    fn weight(&self) -> usize {
        match self {
            ToClient::Answer { description, .. } => BASE_WEIGHT + description.len(),
            _ => BASE_WEIGHT,
        }
    }

    fn is_cancelled(&self) -> bool {
        matches!(self, ToClient::Released { dispatch, .. } if dispatch.is_cancelled())
    }

    fn mark_begun(&self) {
        if let ToClient::Released { dispatch, .. } = self {
            dispatch.begin();
        }
    }
}

impl ToServer {
    /// The call that this message sets up, if it is a set-up.
    pub fn set_up(&self) -> Option<CallId> {
        match self {
            ToServer::SetUp(set_up, _) => Some(set_up.call),
            _ => None,
        }
    }
}

impl Weight for ToServer {
    fn weight(&self) -> usize {
        match self {
            ToServer::SetUp(set_up, _) => BASE_WEIGHT + set_up.number.len() + set_up.description.len(),
            _ => BASE_WEIGHT,
        }
    }

    fn is_attempt(&self) -> bool {
        self.set_up().is_some()
    }

    fn is_cancelled(&self) -> bool {
        matches!(self, ToServer::SetUp(_, dispatch) if dispatch.is_cancelled())
    }

    fn mark_begun(&self) {
        if let ToServer::SetUp(_, dispatch) = self {
            dispatch.begin();
        }
    }
}

/// One connection to a server; the epoch distinguishes it from earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkId {
    pub server: ServerId,
    pub epoch: u64,
}

/// Address of a server, and the protocol that it speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    Platform(SocketAddr),
    /// A server of the M3UA front, by its index in the configuration.
    M3ua(usize),
}

/// A message to the owner.
pub enum Input {
    ClientOpened {
        client: ClientId,
        peer: Option<Peer>,
        outbox: Outbox<ToClient>,
    },
    ClientClosed {
        client: ClientId,
    },
    /// A client becomes unreachable, or reachable again.
    ClientUnreachable {
        client: ClientId,
        unreachable: bool,
    },
    Offer {
        client: ClientId,
        request: Request,
    },
    /// A set-up that cannot be turned into a valid request.
    InvalidSetUp {
        client: ClientId,
        call: CallId,
        class: Option<usize>,
    },
    ClientEnded {
        client: ClientId,
        call: CallId,
        cause: ReleaseCause,
    },
    /// A message of a client that began at this time is overdue. Repeated while it stays so.
    ClientStalled {
        client: ClientId,
        since: Micros,
    },
    /// A client sends a health check.
    HealthCheck {
        client: ClientId,
        call: CallId,
    },
    /// A client is paused, and everything that was read from it, this number of inputs, was passed on before
    /// this message.
    ClientPaused {
        client: ClientId,
        inputs: u64,
    },
    /// The last byte of a release was written at this time.
    ReleaseSent {
        client: ClientId,
        call: CallId,
        at: Micros,
    },
    /// A client's connection had no input that was not passed on before this message.
    NothingUnread {
        client: ClientId,
        call: CallId,
    },
    /// A client acknowledges a release.
    ReleaseAcknowledged {
        client: ClientId,
        call: CallId,
    },
    LinkUp {
        link: LinkId,
        outbox: Outbox<ToServer>,
    },
    LinkLost {
        link: LinkId,
        loss: LinkLoss,
    },
    /// A message that only shows that the connection is healthy.
    Progress {
        link: LinkId,
    },
    Answered {
        link: LinkId,
        call: CallId,
        description: Rc<str>,
    },
    Ended {
        link: LinkId,
        call: CallId,
        cause: ReleaseCause,
        note: Cause,
        report: Report,
    },
    Reported {
        link: LinkId,
        report: Report,
    },
    ProbeAnswered {
        link: LinkId,
        call: CallId,
        passed: bool,
        report: Report,
    },
    ServersListed {
        source: ListSource,
        kind: ListKind,
        servers: Vec<(Entry, Endpoint)>,
    },
    /// Check servers under maintenance, which get no new set-ups until a later list leaves them out.
    HoldServers(Vec<ServerId>),
    /// The process that this one replaces has ended.
    PredecessorEnded,
    /// A request for the current figures.
    Snapshot(oneshot::Sender<Snapshot>),
    /// An event of the replication thread.
    Replication(ReplicationEvent),
    /// Operators query or change the lifecycle state.
    Lifecycle(LifecycleCommand, oneshot::Sender<Result<lifecycle::State, AlreadyStopping>>),
    /// A shutdown request. `replaced`: another process accepts the new connections. `at`: when the signal was
    /// received.
    Stop {
        replaced: bool,
        at: Micros,
    },
}

impl Input {
    /// The client that sent the message, if a client did.
    pub fn client(&self) -> Option<ClientId> {
        match self {
            Input::ClientOpened { client, .. }
            | Input::ClientClosed { client }
            | Input::ClientUnreachable { client, .. }
            | Input::Offer { client, .. }
            | Input::InvalidSetUp { client, .. }
            | Input::ClientEnded { client, .. }
            | Input::ClientStalled { client, .. }
            | Input::HealthCheck { client, .. }
            | Input::ClientPaused { client, .. }
            | Input::ReleaseAcknowledged { client, .. } => Some(*client),
            _ => None,
        }
    }
}

/// An operator's command about the draining of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleCommand {
    Query,
    Standby,
    Active,
}

/// Counters outside the core: of the connections' writers, and of the configuration's reloads.
#[derive(Clone, Copy, Default)]
pub struct IoCounts {
    /// Set-ups that were completely written to check servers.
    pub dispatches: u64,
    /// Configurations reloaded by SIGHUP, accepted and refused.
    pub reloads_taken: u64,
    pub reloads_refused: u64,
    /// Figures in servers' reports that the settings do not name, or that are out of range.
    pub invalid_figures: u64,
    /// Requests to service discovery, and those that failed or ended.
    pub discovery_calls: u64,
    pub discovery_failures: u64,
}

/// State shared by the tasks of all connections.
#[derive(Clone)]
pub struct Shared {
    pub clock: Clock,
    pub pool: Pool,
    pub site: Rc<Site>,
    pub inputs: InputSender,
    /// For connections to servers of the platform.
    pub server_inputs: InputSender,
    /// Log of messages that cannot be parsed.
    pub unreadable: Rc<RateLimitedLog>,
    /// Log of releases that were not acknowledged.
    pub abandoned: Rc<RateLimitedLog>,
    /// Log of failed requests to service discovery.
    pub discovery: Rc<RateLimitedLog>,
    /// State of the generator of ids for calls without one and for probes.
    pub calls: Rc<Cell<u64>>,
    /// Number of messages that a front has accepted and not written yet.
    pub unwritten: Rc<Cell<usize>>,
    pub io_counts: Rc<Cell<IoCounts>>,
    /// Figures of the cluster, where this call agent is a member of one.
    pub fleet: Rc<RefCell<Option<FleetFigures>>>,
    /// Figures of the replication, where it is enabled.
    pub copies: Rc<Cell<Option<ReplicationStats>>>,
}

/// A guard that counts one message as unwritten until it is dropped.
pub struct Unwritten(Rc<Cell<usize>>);

impl Drop for Unwritten {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Shared {
    pub fn new(clock: Clock, site: Rc<Site>, inputs: InputSenders) -> Self {
        Shared {
            clock,
            pool: Pool::default(),
            site,
            inputs: inputs.others,
            server_inputs: inputs.servers,
            unreadable: Rc::default(),
            abandoned: Rc::default(),
            discovery: Rc::default(),
            calls: Rc::default(),
            unwritten: Rc::default(),
            io_counts: Rc::default(),
            fleet: Rc::default(),
            copies: Rc::default(),
        }
    }

    pub fn count(&self, count: impl FnOnce(&mut IoCounts)) {
        let mut counts = self.io_counts.get();
        count(&mut counts);
        self.io_counts.set(counts);
    }

    pub fn unwritten(&self) -> Unwritten {
        self.unwritten.set(self.unwritten.get() + 1);
        Unwritten(Rc::clone(&self.unwritten))
    }

    /// Returns a new id: each step of the sequence gives another one, and the ids look like any other
    /// caller's.
    pub fn new_call(&self) -> CallId {
        let step = self.calls.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.calls.set(step);
        let mixed = (step ^ (step >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        CallId(mixed ^ (mixed >> 31))
    }
}

/// The figures at one point in time.
pub struct Snapshot {
    pub counts: Counts,
    pub unanswered: usize,
    pub established: usize,
    /// Number of listed servers, and of those among them that are avoided.
    pub targets: usize,
    pub targets_disabled: usize,
    pub io_counts: IoCounts,
    pub lifecycle: lifecycle::State,
    /// Check servers that get no new set-ups, and whether they have calls or attempts in progress.
    pub held: Vec<(ServerId, bool)>,
    /// Figures of the cluster.
    pub fleet: Option<FleetFigures>,
    pub copies: Option<ReplicationStats>,
    /// Number of effects that were carried out without enough replicas.
    pub unreplicated: u64,
    /// Each server with the bound of its image, if it has one.
    pub servers: Vec<(Entry, ServerCounts, Option<f64>)>,
}

impl Snapshot {
    /// Number of calls that were accepted and have not ended: unanswered and established ones.
    pub fn concurrent(&self) -> usize {
        self.unanswered + self.established
    }
}

/// Figures of the peers of the M3UA front at one point in time.
#[derive(Default)]
pub struct SignallingFigures {
    pub peers: Vec<PeerFigures>,
    /// Number of ERR messages sent, by error code.
    pub errors: Vec<(u8, u64)>,
    /// Records of established calls that could not be persisted.
    pub records_lost: u64,
}

/// Figures of one client or server of the M3UA front.
pub struct PeerFigures {
    pub name: String,
    pub is_client: bool,
    /// 1 down, 2 inactive, 3 pending, 4 active (RFC 4666 4.3.2).
    pub state: i32,
    pub active: usize,
    pub inactive: usize,
    /// Circuits by state: set-ups under way, established calls, releases and resets, blocked, others.
    pub circuits: [usize; 5],
    pub counts: steprelay_signalling::circuits::Counts,
}

/// Requests the figures of the M3UA front, where there is one.
pub type RequestSignallingFigures = Option<Rc<dyn Fn() -> SignallingFigures>>;
