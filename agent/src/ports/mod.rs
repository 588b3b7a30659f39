//! What the owner of the core and the tasks of connections say to each other, and what they share. Fronts
//! translate it. Everything else in the program stands above this.

pub mod clock;
pub mod conn;
pub mod copies;
pub mod dispatch;
pub mod log;
pub mod pool;
pub mod seldom;

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
use tokio::sync::{mpsc, oneshot};

use clock::Clock;
use conn::{Outbox, Weight};
use dispatch::Dispatch;
use pool::Pool;
use seldom::Seldom;

/// Towards a client.
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
    /// Whether anything waits on the connection that was not handed on; if nothing does, that is told as
    /// [`Input::ClientSilent`].
    AskIfSilent(CallId),
    /// A test of this call agent has passed.
    Passed(CallId),
    /// This call agent is about to stop: new set-ups are better made elsewhere.
    Draining,
    /// How pressed the servers are, 0 to 3, for clients that are told.
    Pressure(u8),
    /// This call agent takes no more work: a test of it has not passed.
    NotPassed(CallId),
    /// The connection is to end if it has brought no more than so many inputs.
    LetGo {
        inputs: u64,
    },
    /// Nothing more is read from the connection, if all that has come was handed on.
    Pause,
    /// The connection is to end if it was paused a short time ago, with no more than so many inputs.
    CloseIfPaused {
        inputs: u64,
    },
    /// The connection is read again.
    Resume,
    /// Nothing follows. Set-ups that cross this are not taken.
    Finish,
}

/// Towards a server.
#[derive(Debug)]
pub enum ToServer {
    SetUp(SetUp, Dispatch),
    GiveUp(CallId),
    Release(CallId, ReleaseCause),
    Probe(CallId),
    /// A release was heard, so that it need not come again.
    Heard(CallId),
    /// Nothing follows. What the server has written is still read.
    Finish,
}

/// A message without a description weighs about this much.
const SMALL: usize = 128;

impl Weight for ToClient {
    fn weight(&self) -> usize {
        match self {
            ToClient::Answer { description, .. } => SMALL + description.len(),
            _ => SMALL,
        }
    }

    fn is_cancelled(&self) -> bool {
        matches!(self, ToClient::Released { dispatch, .. } if dispatch.is_cancelled())
    }

    fn begins(&self) {
        if let ToClient::Released { dispatch, .. } = self {
            dispatch.begin();
        }
    }
}

impl ToServer {
    /// The call that this sets up.
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
            ToServer::SetUp(set_up, _) => SMALL + set_up.number.len() + set_up.description.len(),
            _ => SMALL,
        }
    }

    fn is_attempt(&self) -> bool {
        self.set_up().is_some()
    }

    fn is_cancelled(&self) -> bool {
        matches!(self, ToServer::SetUp(_, dispatch) if dispatch.is_cancelled())
    }

    fn begins(&self) {
        if let ToServer::SetUp(_, dispatch) = self {
            dispatch.begin();
        }
    }
}

/// One of a server's connections: the count tells it from those that it had before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkId {
    pub server: ServerId,
    pub epoch: u64,
}

/// Where a server is reached, and in which form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Platform(SocketAddr),
    /// A server of the M3UA front, by its place in the configuration.
    M3ua(usize),
}

/// Towards the owner.
pub enum Input {
    ClientOpened {
        client: ClientId,
        peer: Option<Peer>,
        outbox: Outbox<ToClient>,
    },
    ClientClosed {
        client: ClientId,
    },
    /// A client can be told nothing for now, or can again.
    ClientAway {
        client: ClientId,
        away: bool,
    },
    Offer {
        client: ClientId,
        request: Request,
    },
    /// A set-up that no request can be made of.
    Unfit {
        client: ClientId,
        call: CallId,
        class: Option<usize>,
    },
    ClientEnded {
        client: ClientId,
        call: CallId,
        cause: ReleaseCause,
    },
    /// A client asks whether this call agent is well.
    ClientTested {
        client: ClientId,
        call: CallId,
    },
    /// A client is paused, and all that was read from it, so many inputs, was handed on before this.
    ClientPaused {
        client: ClientId,
        inputs: u64,
    },
    /// The last byte of a release has left at this time.
    ReleaseSent {
        client: ClientId,
        call: CallId,
        at: Micros,
    },
    /// Nothing waited on a client's connection that was not handed on before this.
    ClientSilent {
        client: ClientId,
        call: CallId,
    },
    /// A client confirms a release.
    ReleaseHeard {
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
    /// Something that only shows that the connection is well.
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
    Tested {
        link: LinkId,
        call: CallId,
        passed: bool,
        report: Report,
    },
    Listed {
        source: ListSource,
        kind: ListKind,
        servers: Vec<(Entry, Way)>,
    },
    /// Check servers that get no new set-ups until they are named no more: there is work on them.
    Hold(Vec<ServerId>),
    /// The figures are asked for.
    Snapshot(oneshot::Sender<Snapshot>),
    /// Of whoever keeps copies of what is promised here.
    Copies(ReplicationEvent),
    /// Operators ask whether work is taken, or change it.
    Duty(OnDuty, oneshot::Sender<Result<lifecycle::State, AlreadyStopping>>),
    /// `replaced`: another process takes the new connections. `at`: when the signal came.
    Stop {
        replaced: bool,
        at: Micros,
    },
}

impl Input {
    /// The caller that it came from.
    pub fn client(&self) -> Option<ClientId> {
        match self {
            Input::ClientOpened { client, .. }
            | Input::ClientClosed { client }
            | Input::ClientAway { client, .. }
            | Input::Offer { client, .. }
            | Input::Unfit { client, .. }
            | Input::ClientEnded { client, .. }
            | Input::ClientTested { client, .. }
            | Input::ClientPaused { client, .. }
            | Input::ReleaseHeard { client, .. } => Some(*client),
            _ => None,
        }
    }
}

/// What operators want of the sending away of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnDuty {
    Ask,
    Standby,
    Active,
}

/// What is counted outside the core: by writers of connections, and by who reads the configuration again.
#[derive(Clone, Copy, Default)]
pub struct Tallies {
    /// Set-ups written whole to check servers.
    pub dispatches: u64,
    /// Configurations that SIGHUP had read again.
    pub reloads_taken: u64,
    pub reloads_refused: u64,
    /// Figures in servers' reports that the settings do not name, or that cannot be.
    pub unfit_figures: u64,
    /// Calls to service discovery, and those that failed or ended.
    pub discovery_calls: u64,
    pub discovery_failures: u64,
}

/// What every task of a connection needs.
#[derive(Clone)]
pub struct Shared {
    pub clock: Clock,
    pub pool: Pool,
    pub site: Rc<Site>,
    pub inputs: mpsc::Sender<Input>,
    /// Says what can't be read.
    pub unreadable: Rc<Seldom>,
    /// Lines about releases that nobody acknowledged.
    pub abandoned: Rc<Seldom>,
    /// Lines about calls to service discovery that failed.
    pub discovery: Rc<Seldom>,
    /// The ids of calls that come without one, and of probes, are drawn from this.
    pub calls: Rc<Cell<u64>>,
    /// Messages that are on their way through a front and not written yet.
    pub unwritten: Rc<Cell<usize>>,
    pub tallies: Rc<Cell<Tallies>>,
    /// What is known of the fleet, where this call agent is a member of one.
    pub fleet: Rc<RefCell<Option<FleetFigures>>>,
    /// And of copies, where it keeps any.
    pub copies: Rc<Cell<Option<ReplicationStats>>>,
    /// Servers hear that a release was heard from the owner of the core, once others hold it.
    pub heard_later: bool,
}

/// Counts as unwritten for as long as it is kept.
pub struct Unwritten(Rc<Cell<usize>>);

impl Drop for Unwritten {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Shared {
    pub fn new(clock: Clock, site: Rc<Site>, inputs: mpsc::Sender<Input>) -> Self {
        Shared {
            clock,
            pool: Pool::default(),
            site,
            inputs,
            unreadable: Rc::default(),
            abandoned: Rc::default(),
            discovery: Rc::default(),
            calls: Rc::default(),
            unwritten: Rc::default(),
            tallies: Rc::default(),
            fleet: Rc::default(),
            copies: Rc::default(),
            heard_later: false,
        }
    }

    pub fn tally(&self, count: impl FnOnce(&mut Tallies)) {
        let mut tallies = self.tallies.get();
        count(&mut tallies);
        self.tallies.set(tallies);
    }

    pub fn unwritten(&self) -> Unwritten {
        self.unwritten.set(self.unwritten.get() + 1);
        Unwritten(Rc::clone(&self.unwritten))
    }

    /// A new id: each step of the sequence gives another one, and they look like any other caller's.
    pub fn new_call(&self) -> CallId {
        let step = self.calls.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.calls.set(step);
        let mixed = (step ^ (step >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        CallId(mixed ^ (mixed >> 31))
    }
}

/// The figures at one moment.
pub struct Snapshot {
    pub counts: Counts,
    pub unanswered: usize,
    pub standing: usize,
    /// The servers in the list, and those of them that are avoided.
    pub targets: usize,
    pub targets_disabled: usize,
    pub tallies: Tallies,
    pub duty: lifecycle::State,
    /// Check servers that get no new set-ups, and whether calls stand or set-ups are out there.
    pub held: Vec<(ServerId, bool)>,
    /// What is known of the fleet.
    pub fleet: Option<FleetFigures>,
    pub copies: Option<ReplicationStats>,
    /// What went out though too few others knew of it.
    pub unreplicated: u64,
    /// Each server with the bound of its image, if it has one.
    pub servers: Vec<(Entry, ServerCounts, Option<f64>)>,
}

impl Snapshot {
    /// Calls taken and not ended: those without an answer, and those that stand.
    pub fn concurrent(&self) -> usize {
        self.unanswered + self.standing
    }
}

/// What the M3UA front can tell of its peers at one moment.
#[derive(Default)]
pub struct SignallingFigures {
    pub peers: Vec<PeerFigures>,
    /// ERR sent, by its code.
    pub errors: Vec<(u8, u64)>,
    /// Records of standing calls that could not be kept.
    pub kept_lost: u64,
}

/// One client or server of the M3UA front.
pub struct PeerFigures {
    pub name: String,
    pub is_client: bool,
    /// 1 down, 2 inactive, 3 pending, 4 active (RFC 4666 4.3.2).
    pub state: i32,
    pub active: usize,
    pub inactive: usize,
    /// Circuits by state: set-ups under way, calls that stand, releases and resets, blocked, others.
    pub circuits: [usize; 5],
    pub counts: steprelay_signalling::circuits::Counts,
}

/// Asks the M3UA front for its figures, where there is one.
pub type AskSignalling = Option<Rc<dyn Fn() -> SignallingFigures>>;
