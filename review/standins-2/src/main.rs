//! The cases 6 to 10 of the review: `standins-2 CASE FOLDER TEMPORARY`, by `review/N/run.sh`. `TROUBLE=0` in
//! the environment leaves the disruption out. Exit code 0: the rule held; 1: it was broken; 2: the case could
//! not run.

mod agent;
mod board;
mod caller;
mod cases;
mod proxy;
mod record;
mod server;
mod wire;

use std::path::PathBuf;

/// What came of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let mut given = std::env::args().skip(1);
    let (Some(case), Some(folder), Some(temporary)) = (given.next(), given.next(), given.next()) else {
        eprintln!("standins-2 CASE FOLDER TEMPORARY");
        std::process::exit(2);
    };
    let (folder, temporary) = (PathBuf::from(folder), PathBuf::from(temporary));
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = record::Record::new(&folder.join("record.txt"));
    record.note("case", &format!("{case}, {} the disruption", if trouble { "with" } else { "without" }));
    let verdict = match case.as_str() {
        "6" => cases::bad_client::long_numbers(trouble, &temporary, &record),
        "7" => cases::upgrade::run(trouble, &temporary, &record),
        "8" => cases::stale_release::run(trouble, &temporary, &record),
        "9" => cases::slow_board::run(trouble, &temporary, &record),
        "10" => cases::bad_client::repeats(trouble, &temporary, &record),
        other => Verdict::CouldNotRun(format!("there is no case {other}")),
    };
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    record.note("verdict", &text);
    println!("{text}");
    std::process::exit(code);
}
