//! What CI passes over: the tests that are named, one by one, and nothing else.

use std::path::PathBuf;
use std::process::Command;

/// What `.ci/known-red` says to the runner for this list, or why it refuses it.
fn known_red(name: &str, list: &str) -> Result<String, String> {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let (lists, names) = (folder.join(format!("{name}-list")), folder.join(format!("{name}-names")));
    std::fs::write(&lists, list).expect("written");
    let tests = "a_story: test\na_story_of_two: test\nparts::twice: test\nparts::twice: test\nb: benchmark\n";
    std::fs::write(&names, tests).expect("written");
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../.ci/known-red");
    let output = Command::new(script).args([&lists, &names]).output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_string();
    match output.status.success() {
        true => Ok(text(&output.stdout)),
        false => Err(text(&output.stderr).rsplit_once(": ").map(|(_, why)| why.into()).unwrap_or_default()),
    }
}

#[test]
fn only_what_is_named_in_full_with_cause_and_issue_is_passed_over() {
    assert_eq!(known_red("none", ""), Ok(String::new()));
    let one = "a_story; a list that stops sending; issue 26\n";
    assert_eq!(known_red("one", one), Ok("--exact --skip a_story".into()));
    let two = format!("{one}\na_story_of_two;why;26\n");
    assert_eq!(known_red("two", &two), Ok("--exact --skip a_story --skip a_story_of_two".into()));
    for (name, list, why) in [
        ("part", "a_sto; why; 26", "0 tests have the name 'a_sto'"),
        ("twice", "parts::twice; why; 26", "2 tests have the name 'parts::twice'"),
        ("bench", "b; why; 26", "0 tests have the name 'b'"),
        ("cause", "a_story; ; 26", "'a_story' has no cause or no issue"),
        ("issue", "a_story; why", "'a_story' has no cause or no issue"),
    ] {
        assert_eq!(known_red(name, list), Err(why.into()));
    }
    assert!(known_red("many", &one.repeat(4)).is_err(), "three at most");
}
