//! Streams come in pieces of any size: each codec's messages are the same however a stream was cut.

use proptest::prelude::*;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Duration;

use super::{m3ua, platform};
use crate::ports::conn::{write_all, Incoming, Split};
use crate::ports::pool::{Pool, LONGEST_MESSAGE};

/// What a reader makes of a stream that arrives in these pieces: its messages, and whether it broke.
fn read_in(split: fn(&[u8]) -> Split, pieces: &[&[u8]]) -> (Vec<Vec<u8>>, bool) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let reading = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
        let (near, (far, _)) = (near.expect("it listens"), far.expect("a connection"));
        near.set_nodelay(true).expect("settable");
        let writing = async {
            for piece in pieces {
                // A reader that has given up says so by its end.
                if write_all(&near, piece).await.is_err() {
                    return;
                }
                // The reader comes by before the next piece does.
                tokio::time::sleep(Duration::from_micros(50)).await;
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

fn cut(bytes: &[u8], cuts: Vec<prop::sample::Index>) -> Vec<&[u8]> {
    let mut at: Vec<_> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
    at.extend([0, bytes.len()]);
    at.sort_unstable();
    at.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).filter(|piece| !piece.is_empty()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn a_stream_of_lines_is_the_same_in_any_pieces(
        lines in prop::collection::vec("[ -~é]{0,40}", 1..12),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let bytes: Vec<u8> = lines.iter().flat_map(|line| [line.as_bytes(), b"\n"].concat()).collect();
        let whole: Vec<_> = lines.iter().map(|line| [line.as_bytes(), b"\n"].concat()).collect();
        prop_assert_eq!(read_in(platform::message::split, &cut(&bytes, cuts)), (whole, false));
    }

    #[test]
    fn a_stream_of_m3ua_is_the_same_in_any_pieces(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..12),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let framed = |body: &Vec<u8>| {
            // Lengths are multiples of four.
            let body = &body[..body.len() / 4 * 4];
            [&[1, 0, 1, 1][..], &(8 + body.len() as u32).to_be_bytes(), body].concat()
        };
        let whole: Vec<_> = bodies.iter().map(framed).collect();
        prop_assert_eq!(read_in(m3ua::split, &cut(&whole.concat(), cuts)), (whole, false));
    }
}

#[test]
fn a_line_without_end_breaks_the_stream_at_the_longest() {
    let line = vec![b'x'; LONGEST_MESSAGE + 1];
    assert_eq!(read_in(platform::message::split, &[&line]), (Vec::new(), true));
    let whole = [&line[..LONGEST_MESSAGE], b"\n"].concat();
    assert_eq!(read_in(platform::message::split, &[&whole[..9], &whole[9..]]), (vec![whole.clone()], false));
}
