//! What servers say besides whether a call stands.

use super::*;

fn read(with: &str) -> String {
    format!(r#"{{"op":"end","call":"00000000000000aa","with":{{{with}}},"why":34}}"#)
}

#[test]
fn a_report_counts_as_far_as_the_settings_tell_of_it() {
    let told = |names: &[&str]| {
        let mut report = Report::default();
        names.iter().for_each(|name| *report_slot(&mut report, name).expect("known") = Some(0.0));
        Some(report)
    };
    let lines = Report { free_lines: Some(12.0), total_lines: Some(40.0), ..Report::default() };
    let table = [
        ("x0:12;x1:40", told(&["x0", "x1"]), lines, 0),
        ("spare:12;total:40", told(&["x0", "x1"]), lines, 0),
        ("x0:12;x1:40;lat_ms:7", told(&["spare", "total"]), lines, 1),
        ("x0:12;x1:40;allowed:3;cut_by:1", told(&["spare", "total", "lat_ms"]), lines, 2),
        ("x0:12;x1:40;lat_ms:-1", told(&["x0", "x1", "lat_ms"]), lines, 1),
        ("x0:12;x1:40;lat_ms:inf;q:NaN", None, lines, 2),
        ("x0:12;x1:40;lat_ms:soon;weather:3", None, lines, 2),
        ("x0:12;x1:40;lat_ms:7", None, Report { wait_ms: Some(7.0), ..lines }, 0),
        ("x0:12;x1:40", told(&[]), Report::default(), 2),
        ("", told(&["x0"]), Report::default(), 0),
    ];
    for (load, told, report, unfit) in table {
        let line = read(&format!(r#""load":"{load}""#));
        let message = Message::read(line.as_bytes()).expect("it is one");
        assert_eq!(message.report(told), (report, unfit), "{load}");
    }
}

#[test]
fn a_full_processor_may_say_how_long_its_wait_is() {
    let table = [
        (r#""note":"swamped""#, None),
        (r#""note":"swamped","waited":"2750""#, Some(2_750_000)),
        (r#""note":"swamped","waited":2750.5"#, Some(2_750_500)),
        (r#""waited":0,"note":"swamped""#, Some(0)),
        (r#""note":"swamped","waited":"-3""#, None),
        (r#""note":"swamped","waited":"inf""#, None),
        (r#""note":"swamped","waited":"long""#, None),
    ];
    for (with, wait) in table {
        let line = read(with);
        let message = Message::read(line.as_bytes()).expect("it is one");
        assert_eq!(message.noted(), Cause::ProcessorFull { wait }, "{with}");
    }
    let line = read(r#""note":"blocked","waited":"9""#);
    assert_eq!(Message::read(line.as_bytes()).expect("it is one").noted(), Cause::NoLine);
}
