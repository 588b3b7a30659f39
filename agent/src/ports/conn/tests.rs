//! The writer of a connection that accepts little data at once.

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::yield_now;
use tokio::time::timeout;

use super::*;
use crate::ports::dispatch::Dispatch;

/// A message of a hundred octets that carries a number.
struct Numbered(u16, Dispatch);

impl Weight for Numbered {
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
async fn slow_connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    SockRef::from(&listener).set_recv_buffer_size(4096).expect("settable");
    let address = listener.local_addr().expect("bound");
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (near, (far, _)) = (near.expect("it listens"), far.expect("a connection"));
    SockRef::from(&near).set_send_buffer_size(4096).expect("settable");
    (near, far)
}

fn encode(message: &Numbered, buffer: &mut Buffer) -> io::Result<()> {
    io::Write::write_all(buffer, &[&message.0.to_be_bytes()[..], &[0; 98]].concat())
}

/// The connection accepts less than a buffer at a time: the remaining messages wait, are sent in order and
/// once, and are not sent if they are cancelled meanwhile.
#[test]
fn messages_wait_for_a_blocked_connection_and_can_be_cancelled() {
    const MESSAGES: u16 = 1_000;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (near, mut far) = slow_connection().await;
        let (outbox, mut inbox) = channel(Capacity::CLIENT);
        let dispatches: Vec<_> = (0..MESSAGES).map(|_| Dispatch::default()).collect();
        for (number, dispatch) in (0..).zip(&dispatches) {
            assert!(outbox.post(Numbered(number, dispatch.clone())));
        }
        let pool = Pool::default();
        let skip = |_: &Numbered| Ok(ControlFlow::Continue(()));
        let writing = write_posted(&near, &pool, &mut inbox, encode, skip, |_| {});
        let reading = async {
            // The write has begun by now, and is blocked.
            for _ in 0..50 {
                yield_now().await;
            }
            let left = dispatches.iter().filter(|dispatch| dispatch.has_begun()).count();
            assert!((1..500).contains(&left), "{left}");
            assert!(dispatches[left..].iter().step_by(2).all(Dispatch::cancel));
            let stays = |number: &u16| !dispatches[usize::from(*number)].is_cancelled();
            let expected: Vec<u16> = (0..MESSAGES).filter(stays).collect();
            let mut bytes = vec![0; 100 * expected.len()];
            let read = timeout(Duration::from_secs(10), far.read_exact(&mut bytes)).await;
            read.expect("all remaining messages arrive").expect("readable");
            let numbers = bytes.chunks(100).map(|message| u16::from_be_bytes([message[0], message[1]]));
            assert_eq!(numbers.collect::<Vec<_>>(), expected);
        };
        tokio::select! {
            _ = writing => panic!("the writer ends"),
            () = reading => {}
        }
    });
}

/// Guards against a connection that is closed with its answers because one iteration of the owner posts more
/// than its queue holds before the writer runs. The queue of a blocked connection keeps its smaller capacity.
#[test]
fn the_capacity_is_larger_for_a_peer_that_reads_than_for_a_blocked_one() {
    const BLOCKED_CAPACITY: usize = Capacity::CLIENT.others / 100;
    const ONE_ITERATION: u16 = 2 * BLOCKED_CAPACITY as u16;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (near, mut far) = slow_connection().await;
        let (outbox, mut inbox) = channel(Capacity::CLIENT);
        let post = |number| outbox.post(Numbered(number, Dispatch::default()));
        assert!((0..ONE_ITERATION).all(post), "the writer has not run");
        let pool = Pool::default();
        let skip = |_: &Numbered| Ok(ControlFlow::Continue(()));
        let writing = write_posted(&near, &pool, &mut inbox, encode, skip, |_| {});
        let peer = async {
            let mut bytes = vec![0; 100 * usize::from(ONE_ITERATION)];
            let read = timeout(Duration::from_secs(10), far.read_exact(&mut bytes)).await;
            read.expect("all messages arrive").expect("readable");
            assert!((0..ONE_ITERATION).all(post), "the writer waits for messages");
            // The peer reads no more, and the writer becomes blocked.
            for _ in 0..50 {
                yield_now().await;
            }
            assert!(!post(0), "a blocked queue accepts no message beyond its capacity");
        };
        tokio::select! {
            _ = writing => panic!("the writer ends"),
            () = peer => {}
        }
    });
}
