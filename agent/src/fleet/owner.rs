//! Drives this member of the cluster on a separate thread, so that disk writes and cluster messages do not
//! delay calls. Passes events to [`Node`] and carries out its effects in order.

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
use super::control::{self, MaintenanceRow, MemberRow, PendingRequest, Request, Response};
use super::copies::Copies;
use super::frames;
use super::links::{self, LinkEvent, Links};
use super::store::{Change, Store, StoreError};
use super::Directives;
use crate::ports::copies::ReplicationNote;

/// Interval of the node's timer.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Capacity of the queue of link events. When it is full, links stop reading; calls are never delayed.
const EVENT_QUEUE_CAPACITY: usize = 1024;
/// Link events handled in one turn, before the timers are checked again.
const MAX_EVENTS_PER_TURN: usize = 64;
/// Interval at which the seeds and one known member are dialled, unless there is a link to them.
const GREETING_INTERVAL_MS: Millis = 1_000;
/// Time for the leave messages to be sent.
const LEAVE_DELAY: Duration = Duration::from_millis(150);

/// The channels between the owner and the program.
pub struct Channels {
    pub status: watch::Receiver<Status>,
    pub directives: watch::Sender<Directives>,
    pub metrics: watch::Sender<(Metrics, Option<ReplicationStats>)>,
    pub copies: Option<Copies>,
    /// Closed when the program stops.
    pub stop: oneshot::Receiver<()>,
}

pub struct FleetOwner {
    node: Node,
    store: Store,
    links: Rc<RefCell<Links>>,
    started: Instant,
    seeds: Vec<SocketAddr>,
    last_greeting: Millis,
    greeting_round: usize,
    pending_responses: BTreeMap<CommandId, oneshot::Sender<Response>>,
    channels: Channels,
}

impl FleetOwner {
    /// `me`: the source address of outgoing links, with port 0.
    pub fn new(
        me: SocketAddr,
        node: Node,
        store: Store,
        started: Instant,
        seeds: Vec<SocketAddr>,
        channels: Channels,
    ) -> (Self, mpsc::Receiver<LinkEvent>) {
        let (event_sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let links = Links::new(me, node.me().name.clone(), event_sender);
        let links = Rc::new(RefCell::new(links));
        (
            FleetOwner {
                node,
                store,
                links,
                started,
                seeds,
                last_greeting: 0,
                greeting_round: 0,
                pending_responses: BTreeMap::new(),
                channels,
            },
            events,
        )
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    /// Serves until the program stops.
    ///
    /// # Errors
    /// The disk rejects a write: this member can persist nothing more, and sends no further message.
    pub async fn run(
        mut self,
        mut events: mpsc::Receiver<LinkEvent>,
        listener: TcpListener,
        control: UnixListener,
    ) -> Result<(), StoreError> {
        let (request_sender, mut requests) = mpsc::channel::<PendingRequest>(4);
        let envelope = self.node.envelope(Payload::Hello);
        let refuse = Rc::new(move |why| {
            frames::encode(&messages::Envelope { payload: Payload::Rejected(why), ..envelope.clone() })
        });
        spawn_local(links::accept(listener, self.links.clone(), refuse));
        spawn_local(control::serve(control, request_sender));
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let mut send_now = true;
            tokio::select! {
                biased;
                _ = &mut self.channels.stop => break,
                _ = tick.tick() => self.tick(),
                Some(event) = events.recv() => {
                    // Events that arrived while the process was suspended are handled with the current time.
                    let now = self.now();
                    self.node.detect_stall(now);
                    self.handle_link_event(event);
                    for _ in 1..MAX_EVENTS_PER_TURN {
                        let Ok(event) = events.try_recv() else { break };
                        self.handle_link_event(event);
                    }
                }
                Some((request, answer)) = requests.recv() => self.handle_request(request, answer),
                Some(note) = next_note(&mut self.channels.copies) => {
                    let now = self.now();
                    send_now = self.channels.copies.as_mut().is_some_and(|copies| copies.record(now, note));
                }
            }
            self.carry_out()?;
            let now = self.now();
            if let Some(copies) = self.channels.copies.as_mut().filter(|_| send_now) {
                copies.send(now, &mut self.node);
                self.carry_out()?;
            }
        }
        let now = self.now();
        if let Some(copies) = &mut self.channels.copies {
            // The notes of the program go out before the leave message.
            copies.record_queued(now);
            copies.tick(now, &mut self.node);
            copies.send(now, &mut self.node);
        }
        self.carry_out()?;
        self.node.leave_cluster(now);
        self.carry_out()?;
        tokio::time::sleep(LEAVE_DELAY).await;
        Ok(())
    }

    fn tick(&mut self) {
        let now = self.now();
        self.node.detect_stall(now);
        let status = self.channels.status.borrow().clone();
        self.node.set_status(status);
        if let Some(copies) = &mut self.channels.copies {
            copies.tick(now, &mut self.node);
        }
        self.node.tick(now);
        self.links.borrow_mut().close_expired();
        if now >= self.last_greeting + GREETING_INTERVAL_MS {
            self.last_greeting = now;
            let me = self.node.me().address;
            let known = self.node.addresses();
            self.greeting_round += 1;
            // Seeds are dialled repeatedly: after a network partition no other member may know the other
            // side.
            let targets = self.seeds.iter().chain(known.get(self.greeting_round % known.len().max(1)));
            for to in targets.copied().filter(|to| *to != me).collect::<Vec<_>>() {
                let hello = || frames::encode(&self.node.envelope(Payload::Hello));
                self.links.borrow_mut().greet(to, hello);
            }
        }
        let links = self.links.borrow();
        let metrics =
            Metrics { unsent: links.dropped_frames, octets: links.queued_octets, ..self.node.metrics() };
        let metrics = (metrics, self.channels.copies.as_ref().map(Copies::stats));
        drop(links);
        self.channels.metrics.send_if_modified(|known| {
            let changed = *known != metrics;
            *known = metrics;
            changed
        });
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Frame { link, envelope } => {
                let from = envelope.from.address;
                if !self.links.borrow_mut().record_received(link, from, &envelope.payload) {
                    return;
                }
                let now = self.now();
                if !self.node.receive(now, *envelope) && self.carry_out().is_ok() {
                    self.links.borrow_mut().close(from);
                }
            }
            LinkEvent::Rejected(why) => eprintln!("steprelay: fleet: link closed: {why}"),
        }
    }

    /// Carries out the node's effects; also called before [`run`](Self::run) for the effects of the start.
    /// Writes are on disk before the next message is sent.
    ///
    /// # Errors
    /// The disk rejects a write.
    pub fn carry_out(&mut self) -> Result<(), StoreError> {
        let mut changes = Vec::new();
        for effect in self.node.take_effects() {
            let change = match effect {
                Effect::WriteLog(write) => Change::Log(write),
                Effect::Persist(state) => Change::State(state),
                Effect::ReplaceLog { state, log } => Change::Replace(state, log),
                other => {
                    if !changes.is_empty() {
                        self.store.write(std::mem::take(&mut changes))?;
                    }
                    self.apply(other);
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

    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, payload } => {
                let is_handshake = matches!(payload, Payload::Welcome { .. } | Payload::Rejected(_));
                let frame = frames::encode(&self.node.envelope(payload));
                let hello = || frames::encode(&self.node.envelope(Payload::Hello));
                self.links.borrow_mut().send(to, frame, is_handshake, hello);
            }
            Effect::StartDrain { approval } | Effect::RemainOut { approval } => {
                self.channels.directives.send_modify(|directives| directives.drain_approval = Some(approval));
            }
            Effect::Resume => {
                self.channels.directives.send_modify(|directives| directives.drain_approval = None)
            }
            Effect::HoldServers(held) => {
                self.channels.directives.send_modify(|directives| directives.held = held)
            }
            Effect::Response { id, response: outcome } => {
                if let Some(answer) = self.pending_responses.remove(&id) {
                    // The requester may have disconnected.
                    let _ = answer.send(response(outcome));
                }
            }
            Effect::Log(line) => eprintln!("steprelay: {line}"),
            Effect::Replication { from, bytes } => {
                let now = self.now();
                if let Some(copies) = &mut self.channels.copies {
                    copies.received(now, &from, &bytes);
                }
            }
            Effect::WriteLog(_) | Effect::Persist(_) | Effect::ReplaceLog { .. } => {}
        }
    }

    fn handle_request(&mut self, request: Request, answer: oneshot::Sender<Response>) {
        let now = self.now();
        let leader_request = match request {
            Request::Members => {
                let _ = answer.send(Response::Members { members: self.member_rows() });
                return;
            }
            Request::Work => {
                // An empty list would be taken for the cluster's answer.
                let unknown = || refused(Rejection::NotAllowed("the cluster state is not known yet".into()));
                let response = if self.node.has_cluster_state() {
                    Response::Work { work: self.maintenance_rows() }
                } else {
                    unknown()
                };
                let _ = answer.send(response);
                return;
            }
            Request::Copies => {
                let off = || Response::Refused {
                    why: "replication is off: the cluster file has no [copies]".into(),
                };
                let rows = self.channels.copies.as_ref().map(Copies::rows);
                let _ = answer.send(rows.map_or_else(off, |copies| Response::Copies { copies }));
                return;
            }
            Request::Refound => {
                let done = self.node.recreate_group(now);
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
        let id = self.node.submit(now, leader_request);
        self.pending_responses.insert(id, answer);
    }

    fn member_rows(&self) -> Vec<MemberRow> {
        let leader = self.node.metrics().leader;
        let voters = &self.node.cluster_state().voters;
        let row = |(member, health): (steprelay_fleet::swim::Member, Health)| MemberRow {
            voter: voters.contains_key(&member.node),
            leader: leader.as_ref() == Some(&member.name),
            address: member.address.to_string(),
            state: health.as_str().into(),
            version: self
                .node
                .minor_version_of(&member.name)
                .map_or_else(String::new, |minor| format!("{}.{minor}", messages::MAJOR)),
            name: member.name,
            zone: member.zone,
        };
        self.node.members().into_iter().map(row).collect()
    }

    fn maintenance_rows(&self) -> Vec<MaintenanceRow> {
        let cluster_state = self.node.cluster_state();
        let time = cluster_state.time_ms;
        let row = |item: &MaintenanceRequest| MaintenanceRow {
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
        // A machine's closed requests are left out where it has an open one, and all but the last one
        // otherwise.
        let open = cluster_state.open_requests.iter().map(row);
        let mut closed: Vec<MaintenanceRow> = Vec::new();
        for item in cluster_state.closed_requests.iter().rev() {
            let is_superseded = cluster_state.open_request(&item.machine).is_some()
                || closed.iter().any(|row| row.machine == item.machine);
            if !is_superseded {
                closed.push(row(item));
            }
        }
        closed.reverse();
        closed.into_iter().chain(open).collect()
    }
}

/// Returns the program's next note; never completes without replication.
async fn next_note(copies: &mut Option<Copies>) -> Option<ReplicationNote> {
    match copies {
        Some(copies) => copies.next().await,
        None => std::future::pending().await,
    }
}

fn refused(rejection: Rejection) -> Response {
    Response::Refused { why: rejection.to_string() }
}

fn response(outcome: LeaderResponse) -> Response {
    match outcome {
        LeaderResponse::Outcome(result) => result.map_or_else(refused, |()| Response::Done),
        LeaderResponse::Text(text) => Response::Text { text },
        LeaderResponse::NotLeader(_) => refused(Rejection::NoQuorum),
    }
}
