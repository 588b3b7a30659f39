//! A member that is told to stop: what its replicas and servers have to know before its process ends.

use super::*;
use crate::ports::copies::Note;
use std::future::Future;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::timeout;

/// The notes of the only call: its caller was told that it stands, its release is pending, and was heard.
const ESTABLISHED: u64 = 1;
const PENDING: u64 = 2;
const HEARD: u64 = 3;
/// It has been stopping for so long: nothing that would be served is still to come, and the rest of its time
/// is longer than what the tests below wait for.
const STOPPING_FOR: Micros = 1_000_000;
/// An owner that wants to end does so at its next look.
const LOOKS: Duration = Duration::from_micros(10 * LOOK as u64);
/// Nothing is waited for longer than this.
const PATIENCE: Duration = Duration::from_secs(20);

/// A running owner, told to stop.
struct Stopping {
    inputs: mpsc::Sender<Input>,
    callers: Inbox<ToClient>,
    to_server: Inbox<ToServer>,
    link: LinkId,
    running: JoinHandle<Option<Micros>>,
    _lease: Arc<Lease>,
    _notes: mpsc::Receiver<Note>,
}

impl Stopping {
    /// Its call was answered by its server.
    fn start() -> Self {
        let (mut owner, callers, link, to_server, lease, notes) = with_noted_copies();
        hears(&mut owner, ReplicationEvent::Degraded(false));
        let at = owner.shared.clock.now() - STOPPING_FOR;
        owner.take(Input::Answered { link, call: CALL, description: "v=1".into() });
        owner.carry_out();
        owner.take(Input::Stop { replaced: false, at });
        let (inputs, queue) = mpsc::channel(64);
        let running = spawn_local(owner.run(queue));
        Stopping { inputs, callers, to_server, link, running, _lease: lease, _notes: notes }
    }

    async fn take(&self, input: Input) {
        assert!(self.inputs.send(input).await.is_ok(), "it has ended");
    }

    async fn covered(&self, number: u64) {
        self.take(Input::Copies(ReplicationEvent::Committed(number))).await;
    }

    /// What its caller is told next of its call or its connection.
    async fn said(&mut self) -> ToClient {
        loop {
            let said = timeout(PATIENCE, self.callers.next()).await.expect("it says something");
            let said = said.expect("the connection is open");
            self.callers.done(&said);
            if !matches!(said, ToClient::Draining) {
                return said;
            }
        }
    }

    /// Its caller has heard and confirmed a release, and closes its connection.
    async fn release_is_heard(&mut self) {
        self.covered(ESTABLISHED).await;
        while !matches!(self.said().await, ToClient::Answer { call: CALL, .. }) {}
        self.take(ended(self.link)).await;
        while !matches!(self.said().await, ToClient::Released { call: CALL, .. }) {}
        self.take(Input::ReleaseHeard { client: ClientId(1), call: CALL }).await;
        self.take(Input::ClientClosed { client: ClientId(1) }).await;
    }

    /// The word to its server that a release was heard.
    async fn heard(&mut self) -> ToServer {
        loop {
            let word = timeout(PATIENCE, self.to_server.next()).await.expect("it tells its server");
            let word = word.expect("the connection is open");
            if matches!(word, ToServer::Heard(CALL)) {
                return word;
            }
            self.to_server.done(&word);
        }
    }

    async fn goes_on(&mut self, why: &str) {
        assert!(timeout(LOOKS, &mut self.running).await.is_err(), "it has ended, and {why}");
    }

    async fn ends(self) {
        timeout(PATIENCE, self.running).await.expect("it ends").expect("in order");
    }
}

fn play<F: Future<Output = ()>>(story: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async { story().await });
}

/// Guards against a release that is given again by another member, since its caller's word ended with this
/// process: 8 ms after it, and before a replica or the server knew of it.
#[test]
fn does_not_end_before_a_heard_release_is_known_to_replicas_and_server() {
    play(|| async {
        let mut owner = Stopping::start();
        owner.release_is_heard().await;
        owner.goes_on("no replica knows that the release was heard").await;
        owner.covered(PENDING).await;
        owner.goes_on("replicas take the release for pending").await;
        owner.covered(HEARD).await;
        let heard = owner.heard().await;
        owner.goes_on("its server has not been told that the release was heard").await;
        owner.to_server.done(&heard);
        owner.ends().await;
    });
}

/// Guards against a process that its replicas keep from ending: it is killed then, with all that it has open.
#[test]
fn ends_in_time_though_no_replica_confirms_what_was_heard() {
    play(|| async {
        let mut owner = Stopping::start();
        owner.release_is_heard().await;
        owner.ends().await;
    });
}

/// Guards against an answer that waits for replicas and is lost with its caller's connection: nothing is
/// unanswered for the core by then.
#[test]
fn keeps_a_connection_whose_answer_waits_for_replicas() {
    play(|| async {
        let mut owner = Stopping::start();
        owner.goes_on("an answer waits").await;
        owner.covered(ESTABLISHED).await;
        let said = owner.said().await;
        assert!(matches!(said, ToClient::Answer { call: CALL, .. }), "{said:?} ahead of the answer");
    });
}
