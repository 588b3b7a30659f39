//! The writer of a connection that accepts little data at once.

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::yield_now;
use tokio::time::timeout;

use super::*;
use crate::ports::dispatch::Dispatch;

/// A message of a hundred octets that carries a number.
struct Word(u16, Dispatch);

impl Weight for Word {
    fn weight(&self) -> usize {
        100
    }

    fn is_cancelled(&self) -> bool {
        self.1.is_cancelled()
    }

    fn mark_begun(&self) {
        self.1.begin();
    }
}

/// Both ends of a connection that accepts little data at once.
async fn narrow_connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    SockRef::from(&listener).set_recv_buffer_size(4096).expect("settable");
    let address = listener.local_addr().expect("bound");
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (near, (far, _)) = (near.expect("it listens"), far.expect("a connection"));
    SockRef::from(&near).set_send_buffer_size(4096).expect("settable");
    (near, far)
}

fn encode(word: &Word, buffer: &mut Buffer) -> io::Result<()> {
    io::Write::write_all(buffer, &[&word.0.to_be_bytes()[..], &[0; 98]].concat())
}

/// The connection accepts less than a buffer at a time: the remaining messages wait, are sent in order and
/// once, and are not sent if they are cancelled meanwhile.
#[test]
fn what_a_connection_does_not_take_waits_and_can_be_cancelled() {
    const WORDS: u16 = 1_000;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (near, mut far) = narrow_connection().await;
        let (outbox, mut inbox) = channel(Capacity::CLIENT);
        let dispatches: Vec<_> = (0..WORDS).map(|_| Dispatch::default()).collect();
        for (number, dispatch) in (0..).zip(&dispatches) {
            assert!(outbox.post(Word(number, dispatch.clone())));
        }
        let pool = Pool::default();
        let left_out = |_: &Word| Ok(ControlFlow::Continue(()));
        let writing = write_posted(&near, &pool, &mut inbox, encode, left_out, |_| {});
        let reading = async {
            // The write has begun by now, and is blocked.
            for _ in 0..50 {
                yield_now().await;
            }
            let left = dispatches.iter().filter(|dispatch| dispatch.has_begun()).count();
            assert!((1..500).contains(&left), "{left}");
            assert!(dispatches[left..].iter().step_by(2).all(Dispatch::cancel));
            let stays = |number: &u16| !dispatches[usize::from(*number)].is_cancelled();
            let expected: Vec<u16> = (0..WORDS).filter(stays).collect();
            let mut bytes = vec![0; 100 * expected.len()];
            let read = timeout(Duration::from_secs(10), far.read_exact(&mut bytes)).await;
            read.expect("all that stays comes").expect("readable");
            let words = bytes.chunks(100).map(|word| u16::from_be_bytes([word[0], word[1]]));
            assert_eq!(words.collect::<Vec<_>>(), expected);
        };
        tokio::select! {
            _ = writing => panic!("it goes on"),
            () = reading => {}
        }
    });
}

/// Guards against a connection that is closed with its answers because one iteration of the owner posts more
/// than its queue holds before the writer runs. The queue of a blocked connection keeps its smaller capacity.
#[test]
fn holds_all_of_one_turn_for_a_peer_that_reads_and_little_for_one_that_does_not() {
    const FITS: usize = Capacity::CLIENT.others / 100;
    const ONE_TURN: u16 = 2 * FITS as u16;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (near, mut far) = narrow_connection().await;
        let (outbox, mut inbox) = channel(Capacity::CLIENT);
        let post = |number| outbox.post(Word(number, Dispatch::default()));
        assert!((0..ONE_TURN).all(post), "the writer has not run");
        let pool = Pool::default();
        let left_out = |_: &Word| Ok(ControlFlow::Continue(()));
        let writing = write_posted(&near, &pool, &mut inbox, encode, left_out, |_| {});
        let peer = async {
            let mut bytes = vec![0; 100 * usize::from(ONE_TURN)];
            let read = timeout(Duration::from_secs(10), far.read_exact(&mut bytes)).await;
            read.expect("all of it comes").expect("readable");
            assert!((0..ONE_TURN).all(post), "the writer waits for words");
            // The peer reads no more, and the writer becomes blocked.
            for _ in 0..50 {
                yield_now().await;
            }
            assert!(!post(0), "more than fits waits for a peer that reads nothing");
        };
        tokio::select! {
            _ = writing => panic!("it goes on"),
            () = peer => {}
        }
    });
}
