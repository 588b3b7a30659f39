//! The owner of this member's part in the fleet, on a thread of its own: the disk's waits and the fleet's
//! words cost calls nothing. It hands to [`Node`] what comes, and carries out what follows in its order.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use steprelay_copies::member::ReplicationStats;
use steprelay_fleet::cluster_state::{Command, CommandId, Rejection};
use steprelay_fleet::maintenance::{MaintenanceRequest, TargetKind};
use steprelay_fleet::messages::{self, LeaderRequest, LeaderResponse, Payload, Status};
use steprelay_fleet::node::{Effect, Metrics, Node};
use steprelay_fleet::swim::Health;
use steprelay_fleet::Millis;
use tokio::net::{TcpListener, UnixListener};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{interval, Duration, MissedTickBehavior};

use super::config::server_number;
use super::control::{self, Asked, MemberRow, Request, Response, WorkRow};
use super::copies::Copies;
use super::frames;
use super::links::{self, Came, Links};
use super::store::{Change, Store, StoreError};
use super::Wanted;
use crate::ports::copies::ReplicationNote;

/// Time is looked at so often.
const TICK: Duration = Duration::from_millis(50);
/// Frames that wait for the owner. Links wait when it is full, and calls never do.
const WAITING: usize = 1024;
/// Frames taken at once before time is looked at again.
const AT_ONCE: usize = 64;
/// Members that are not linked are greeted so often: seeds, and one that is known.
const GREET: Millis = 1_000;
/// Farewells get this long to leave.
const FAREWELL: Duration = Duration::from_millis(150);

/// What the owner and the program say to each other.
pub struct Ends {
    pub status: watch::Receiver<Status>,
    pub wanted: watch::Sender<Wanted>,
    pub figures: watch::Sender<(Metrics, Option<ReplicationStats>)>,
    pub copies: Option<Copies>,
    /// Ends with its sender: the program stops.
    pub stop: oneshot::Receiver<()>,
}

pub struct FleetOwner {
    node: Node,
    store: Store,
    links: Rc<RefCell<Links>>,
    started: Instant,
    seeds: Vec<SocketAddr>,
    greeted: Millis,
    next: usize,
    waiting: BTreeMap<CommandId, oneshot::Sender<Response>>,
    ends: Ends,
}

impl FleetOwner {
    /// `me`: where links of our own come from, with port 0.
    pub fn new(
        me: SocketAddr,
        node: Node,
        store: Store,
        started: Instant,
        seeds: Vec<SocketAddr>,
        ends: Ends,
    ) -> (Self, mpsc::Receiver<Came>) {
        let (came, comes) = mpsc::channel(WAITING);
        let links = Links::new(me, node.me().name.clone(), came);
        let links = Rc::new(RefCell::new(links));
        (
            FleetOwner {
                node,
                store,
                links,
                started,
                seeds,
                greeted: 0,
                next: 0,
                waiting: BTreeMap::new(),
                ends,
            },
            comes,
        )
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    /// Serves until the program stops.
    ///
    /// # Errors
    /// The disk refuses: this member can promise nothing more, and says nothing more.
    pub async fn run(
        mut self,
        mut comes: mpsc::Receiver<Came>,
        listener: TcpListener,
        control: UnixListener,
    ) -> Result<(), StoreError> {
        let (asked, mut asks) = mpsc::channel::<Asked>(4);
        let envelope = self.node.envelope(Payload::Hello);
        let refuse = Rc::new(move |why| {
            frames::encode(&messages::Envelope { payload: Payload::Rejected(why), ..envelope.clone() })
        });
        spawn_local(links::accept(listener, self.links.clone(), refuse));
        spawn_local(control::serve(control, asked));
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let mut turn = true;
            tokio::select! {
                biased;
                _ = &mut self.ends.stop => break,
                _ = tick.tick() => self.tick(),
                Some(came) = comes.recv() => {
                    // What came while the process slept is read by the time that it is now.
                    let now = self.now();
                    self.node.detect_stall(now);
                    self.take(came);
                    for _ in 1..AT_ONCE {
                        let Ok(came) = comes.try_recv() else { break };
                        self.take(came);
                    }
                }
                Some((request, answer)) = asks.recv() => self.command(request, answer),
                Some(note) = next_note(&mut self.ends.copies) => {
                    let now = self.now();
                    turn = self.ends.copies.as_mut().is_some_and(|copies| copies.note(now, note));
                }
            }
            self.carry_out()?;
            let now = self.now();
            if let Some(copies) = self.ends.copies.as_mut().filter(|_| turn) {
                copies.turn(now, &mut self.node);
                self.carry_out()?;
            }
        }
        let now = self.now();
        if let Some(copies) = &mut self.ends.copies {
            // What the program has noted by now others are told ahead of the farewell.
            copies.note_waiting(now);
            copies.tick(now, &mut self.node);
            copies.turn(now, &mut self.node);
        }
        self.carry_out()?;
        self.node.leave_cluster(now);
        self.carry_out()?;
        tokio::time::sleep(FAREWELL).await;
        Ok(())
    }

    fn tick(&mut self) {
        let now = self.now();
        self.node.detect_stall(now);
        let status = self.ends.status.borrow().clone();
        self.node.set_status(status);
        if let Some(copies) = &mut self.ends.copies {
            copies.tick(now, &mut self.node);
        }
        self.node.tick(now);
        self.links.borrow_mut().reap();
        if now >= self.greeted + GREET {
            self.greeted = now;
            let me = self.node.me().address;
            let known = self.node.addresses();
            self.next += 1;
            // A seed again and again, too: after a cut nobody else may know of the other side.
            let greet = self.seeds.iter().chain(known.get(self.next % known.len().max(1)));
            for to in greet.copied().filter(|to| *to != me).collect::<Vec<_>>() {
                let hello = || frames::encode(&self.node.envelope(Payload::Hello));
                self.links.borrow_mut().greet(to, hello);
            }
        }
        let links = self.links.borrow();
        let figures = Metrics { unsent: links.lost, octets: links.octets, ..self.node.metrics() };
        let figures = (figures, self.ends.copies.as_ref().map(Copies::figures));
        drop(links);
        self.ends.figures.send_if_modified(|known| {
            let changed = *known != figures;
            *known = figures;
            changed
        });
    }

    fn take(&mut self, came: Came) {
        match came {
            Came::Frame { link, envelope } => {
                let from = envelope.from.address;
                if !self.links.borrow_mut().heard(link, from, &envelope.payload) {
                    return;
                }
                let now = self.now();
                if !self.node.receive(now, *envelope) && self.carry_out().is_ok() {
                    self.links.borrow_mut().close(from);
                }
            }
            Came::Strange(why) => eprintln!("steprelay: fleet: a link is closed: {why}"),
        }
    }

    /// Carries out what follows; before [`run`](Self::run), what a start brings. What is to be kept is on
    /// disk before the next thing is said.
    ///
    /// # Errors
    /// The disk refuses.
    pub fn carry_out(&mut self) -> Result<(), StoreError> {
        let mut changes = Vec::new();
        for effect in self.node.take_effects() {
            let change = match effect {
                Effect::WriteLog(write) => Change::Log(write),
                Effect::Persist(page) => Change::Page(page),
                Effect::ReplaceLog { state, log } => Change::Renew(state, log),
                other => {
                    if !changes.is_empty() {
                        self.store.write(std::mem::take(&mut changes))?;
                    }
                    self.do_one(other);
                    continue;
                }
            };
            changes.push(change);
        }
        if !changes.is_empty() {
            self.store.write(changes)?;
        }
        Ok(())
    }

    fn do_one(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, payload } => {
                let first = matches!(payload, Payload::Welcome { .. } | Payload::Rejected(_));
                let frame = frames::encode(&self.node.envelope(payload));
                let hello = || frames::encode(&self.node.envelope(Payload::Hello));
                self.links.borrow_mut().send(to, frame, first, hello);
            }
            Effect::StartDrain { approval } | Effect::RemainOut { approval } => {
                self.ends.wanted.send_modify(|wanted| wanted.away = Some(approval));
            }
            Effect::Resume => self.ends.wanted.send_modify(|wanted| wanted.away = None),
            Effect::HoldServers(held) => self.ends.wanted.send_modify(|wanted| wanted.held = held),
            Effect::Response { id, response: told } => {
                if let Some(answer) = self.waiting.remove(&id) {
                    // Whoever asked may have gone meanwhile.
                    let _ = answer.send(response(told));
                }
            }
            Effect::Log(line) => eprintln!("steprelay: {line}"),
            Effect::Replication { from, bytes } => {
                let now = self.now();
                if let Some(copies) = &mut self.ends.copies {
                    copies.received(now, &from, &bytes);
                }
            }
            Effect::WriteLog(_) | Effect::Persist(_) | Effect::ReplaceLog { .. } => {}
        }
    }

    fn command(&mut self, request: Request, answer: oneshot::Sender<Response>) {
        let now = self.now();
        let ask = match request {
            Request::Members => {
                let _ = answer.send(Response::Members { members: self.members() });
                return;
            }
            Request::Work => {
                // An empty list would be taken for the council's word.
                let not_yet =
                    || refused(Rejection::NotAllowed("nothing has been heard of the council yet".into()));
                let response = if self.node.has_cluster_state() {
                    Response::Work { work: self.work() }
                } else {
                    not_yet()
                };
                let _ = answer.send(response);
                return;
            }
            Request::Copies => {
                let off = || Response::Refused { why: "copies are off: the file has no [copies]".into() };
                let rows = self.ends.copies.as_ref().map(Copies::rows);
                let _ = answer.send(rows.map_or_else(off, |copies| Response::Copies { copies }));
                return;
            }
            Request::Refound => {
                let done = self.node.refound(now);
                let _ = answer.send(done.map_or_else(refused, |()| Response::Done));
                return;
            }
            Request::Explain { machine } => LeaderRequest::Explain(machine),
            Request::Add { machine, for_ms, reason, after, within_ms } => {
                let kind = server_number(&machine).map_or(TargetKind::Agent, TargetKind::Server);
                let zone = String::new();
                LeaderRequest::Execute(Command::Add { machine, kind, zone, reason, for_ms, after, within_ms })
            }
            Request::Extend { machine, more_ms } => {
                LeaderRequest::Execute(Command::Extend { machine, more_ms })
            }
            Request::Withdraw { machine } => LeaderRequest::Execute(Command::Withdraw { machine }),
            Request::Done { machine } => LeaderRequest::Execute(Command::Finish { machine }),
            Request::Forget { machine } => LeaderRequest::Execute(Command::Forget { name: machine }),
            Request::Pause { reason } => LeaderRequest::Execute(Command::Pause { reason }),
        };
        let id = self.node.submit(now, ask);
        self.waiting.insert(id, answer);
    }

    fn members(&self) -> Vec<MemberRow> {
        let leader = self.node.metrics().leader;
        let voters = &self.node.cluster_state().voters;
        let row = |(member, health): (steprelay_fleet::swim::Member, Health)| MemberRow {
            voter: voters.contains_key(&member.node),
            leader: leader.as_ref() == Some(&member.name),
            address: member.address.to_string(),
            state: health.as_str().into(),
            version: self
                .node
                .minor_of(&member.name)
                .map_or_else(String::new, |minor| format!("{}.{minor}", messages::MAJOR)),
            name: member.name,
            zone: member.zone,
        };
        self.node.members().into_iter().map(row).collect()
    }

    fn work(&self) -> Vec<WorkRow> {
        let cluster_state = self.node.cluster_state();
        let time = cluster_state.time_ms;
        let row = |item: &MaintenanceRequest| WorkRow {
            machine: item.machine.clone(),
            state: item.state.as_str().into(),
            grant: item.approval,
            zone: item.zone.clone(),
            reason: item.reason.clone(),
            for_s: item.for_ms / 1000,
            after: item.after.clone(),
            since_s: time.saturating_sub(item.state_since_ms) / 1000,
            due_s: item
                .due_at_ms
                .filter(|_| !item.state.is_over())
                .map(|due| (due as i64 - time as i64) / 1000),
        };
        // Of a machine that was worked on before, only the last time counts once it is asked for again.
        let open = cluster_state.open_requests.iter().map(row);
        let mut over: Vec<WorkRow> = Vec::new();
        for item in cluster_state.closed_requests.iter().rev() {
            let known = cluster_state.open_request(&item.machine).is_some()
                || over.iter().any(|row| row.machine == item.machine);
            if !known {
                over.push(row(item));
            }
        }
        over.reverse();
        over.into_iter().chain(open).collect()
    }
}

/// The program's next note; none ever comes where nothing is copied.
async fn next_note(copies: &mut Option<Copies>) -> Option<ReplicationNote> {
    match copies {
        Some(copies) => copies.next().await,
        None => std::future::pending().await,
    }
}

fn refused(refusal: Rejection) -> Response {
    Response::Refused { why: refusal.to_string() }
}

fn response(told: LeaderResponse) -> Response {
    match told {
        LeaderResponse::Outcome(outcome) => outcome.map_or_else(refused, |()| Response::Done),
        LeaderResponse::Text(text) => Response::Text { text },
        LeaderResponse::NotLeader(_) => refused(Rejection::NoQuorum),
    }
}
