//! Case 9: the notice board is crowded, and answers each question after a while. A check server drains; must
//! the call agent keep new work from it?

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::agent::{Agent, Config};
use crate::board::{self, Board};
use crate::caller::Caller;
use crate::record::Record;
use crate::server::{Manner, Server, What};
use crate::{wire, Verdict};

/// How long a question waits at the crowded board.
const SLOW: u64 = 3_800;
/// The board is asked so long before the server drains.
const QUIET: u64 = 2_000;
/// How long the server drains before it stops.
const DRAIN: u64 = 9_500;
/// What the board has to tell counts as told so long after it was put there, whether it arrived or not; new
/// work may go to the server for the settings' time more, and 50 ms.
const TOLD_AT_LAST: u64 = 7_000;
const GRACE: u64 = 500 + 50;

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let drains = Server::start("server-0", "127.0.9.1", 20, Manner::Sound, record);
    let stays = Server::start("server-1", "127.0.9.2", 20, Manner::Sound, record);
    let board = Board::start("127.0.9.3", record);
    if trouble {
        board.answers_after(SLOW);
    }
    let config = Config {
        listen: wire::free_address("127.0.9.4"),
        board: Some(board.address.clone()),
        servers: vec![(1, drains.address.clone(), 0), (2, stays.address.clone(), 1)],
        seed: 9,
        memory_mb: 192,
    };
    let Some(agent) = Agent::start(&config, folder, "agent", record) else {
        return Verdict::CouldNotRun("the call agent does not serve".into());
    };
    let Some(caller) = Caller::dial("caller", &config.listen, record) else {
        return Verdict::CouldNotRun("no connection to the call agent".into());
    };
    sleep(Duration::from_millis(QUIET));
    board.put("server-0 drains", &[board::server(1, &drains.address, 1, 0)]);
    let put_at = record.now();
    let mut number = 1;
    while record.now() < put_at + DRAIN {
        caller.offer(&format!("9a{number:014x}"), "standard-check", 8_000);
        number += 1;
        sleep(Duration::from_millis(100));
    }
    drop(agent);
    let limit = put_at + TOLD_AT_LAST + GRACE;
    let late: Vec<u64> = drains
        .events()
        .iter()
        .filter(|event| event.what == What::Offered && event.at > limit)
        .map(|event| event.at - put_at)
        .collect();
    let stood = stays.events().iter().filter(|event| event.what == What::Answered).count();
    match late.as_slice() {
        [] if stood == 0 => Verdict::CouldNotRun("no call stood at the other server".into()),
        [] => Verdict::Held(format!("none of {} set-ups came late; {stood} stood elsewhere", number - 1)),
        [first, ..] => Verdict::Broken(format!(
            "{} set-ups came to the draining server after it counted as told, the first {first} ms and \
             the last {} ms after the event",
            late.len(),
            late.last().unwrap_or(first)
        )),
    }
}
