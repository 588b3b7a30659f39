//! Streams come in pieces of any size: each codec's messages are the same however a stream was cut.

use proptest::prelude::*;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Duration;

use super::{m3ua, platform};
use crate::ports::conn::{write_all, Incoming, Split};
use crate::ports::pool::{Pool, MAX_MESSAGE_LEN};

/// What a reader makes of a stream that arrives in pieces of these sizes, over and over: its messages, and
/// whether it broke.
fn read_in(split: fn(&[u8]) -> Split, mut bytes: &[u8], sizes: &[usize]) -> (Vec<Vec<u8>>, bool) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let reading = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
        let (near, (far, _)) = (near.expect("it listens"), far.expect("a connection"));
        near.set_nodelay(true).expect("settable");
        let writing = async {
            for size in sizes.iter().cycle() {
                let (piece, rest) = bytes.split_at(bytes.len().min(*size));
                // A reader that has given up says so by its end.
                if piece.is_empty() || write_all(&near, piece).await.is_err() {
                    break;
                }
                bytes = rest;
                // The runtime looks at the sockets, and the reader at what came, before the next piece does.
                for _ in 0..2 {
                    tokio::task::yield_now().await;
                }
            }
            drop(near);
        };
        let pool = Pool::default();
        let taking = async {
            let mut incoming = Incoming::new(&far, &pool, split, Duration::from_secs(20));
            let mut messages = Vec::new();
            loop {
                match incoming.next().await {
                    Ok(Some(message)) => messages.push(message.to_vec()),
                    Ok(None) => return (messages, false),
                    Err(_) => return (messages, true),
                }
            }
        };
        let (taken, ()) = tokio::join!(taking, writing);
        taken
    };
    runtime.block_on(reading)
}

fn line(body: &[u8]) -> Vec<u8> {
    let text = body.iter().map(|byte| b' ' + byte % 90);
    text.chain([b'\n']).collect()
}

fn m3ua_message(body: &[u8]) -> Vec<u8> {
    // Lengths are multiples of four.
    let body = &body[..body.len() / 4 * 4];
    [&[1, 0, 1, 1][..], &(8 + body.len() as u32).to_be_bytes(), body].concat()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn a_stream_is_the_same_in_any_pieces(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..12),
        sizes in prop::collection::vec(1..60usize, 1..6),
    ) {
        type Codec = (fn(&[u8]) -> Split, fn(&[u8]) -> Vec<u8>);
        let codecs: [Codec; 2] = [(platform::message::split, line), (m3ua::split, m3ua_message)];
        for (split, framed) in codecs {
            let whole: Vec<_> = bodies.iter().map(|body| framed(body)).collect();
            prop_assert_eq!(read_in(split, &whole.concat(), &sizes), (whole, false));
        }
    }
}

#[test]
fn a_line_without_end_breaks_the_stream_at_the_longest() {
    let line = vec![b'x'; MAX_MESSAGE_LEN + 1];
    assert_eq!(read_in(platform::message::split, &line, &[line.len()]), (Vec::new(), true));
    let whole = [&line[..MAX_MESSAGE_LEN], b"\n"].concat();
    assert_eq!(
        read_in(platform::message::split, &whole, &[9, MAX_MESSAGE_LEN]),
        (vec![whole.clone()], false)
    );
}
