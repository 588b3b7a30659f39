//! Tests that each codec reads the same messages whatever the sizes of the pieces in which a stream arrives.

use proptest::prelude::*;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Duration;

use super::{m3ua, platform};
use crate::ports::conn::{write_all, Incoming, Split};
use crate::ports::pool::{Pool, MAX_MESSAGE_LEN};

/// Sends a stream in pieces of these sizes, repeated in turn; returns the messages that a reader gets and
/// whether reading failed.
fn read_in_pieces(split: fn(&[u8]) -> Split, mut bytes: &[u8], sizes: &[usize]) -> (Vec<Vec<u8>>, bool) {
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
                // A reader that has failed closes its end of the connection.
                if piece.is_empty() || write_all(&near, piece).await.is_err() {
                    break;
                }
                bytes = rest;
                // Lets the runtime poll the sockets and the reader read this piece before the next is sent.
                for _ in 0..2 {
                    tokio::task::yield_now().await;
                }
            }
            drop(near);
        };
        let pool = Pool::default();
        let receiving = async {
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
        let (received, ()) = tokio::join!(receiving, writing);
        received
    };
    runtime.block_on(reading)
}

fn line(body: &[u8]) -> Vec<u8> {
    let text = body.iter().map(|byte| b' ' + byte % 90);
    text.chain([b'\n']).collect()
}

fn m3ua_message(body: &[u8]) -> Vec<u8> {
    // The length of an M3UA message is a multiple of four.
    let body = &body[..body.len() / 4 * 4];
    [&[1, 0, 1, 1][..], &(8 + body.len() as u32).to_be_bytes(), body].concat()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn a_stream_yields_the_same_messages_in_pieces_of_any_size(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..12),
        sizes in prop::collection::vec(1..60usize, 1..6),
    ) {
        type Codec = (fn(&[u8]) -> Split, fn(&[u8]) -> Vec<u8>);
        let codecs: [Codec; 2] = [(platform::message::split, line), (m3ua::split, m3ua_message)];
        for (split, framed) in codecs {
            let whole: Vec<_> = bodies.iter().map(|body| framed(body)).collect();
            prop_assert_eq!(read_in_pieces(split, &whole.concat(), &sizes), (whole, false));
        }
    }
}

#[test]
fn a_line_longer_than_the_longest_message_ends_the_stream() {
    let line = vec![b'x'; MAX_MESSAGE_LEN + 1];
    assert_eq!(read_in_pieces(platform::message::split, &line, &[line.len()]), (Vec::new(), true));
    let whole = [&line[..MAX_MESSAGE_LEN], b"\n"].concat();
    assert_eq!(
        read_in_pieces(platform::message::split, &whole, &[9, MAX_MESSAGE_LEN]),
        (vec![whole.clone()], false)
    );
}
