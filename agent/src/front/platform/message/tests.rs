//! Tests of the reports and refusal causes in messages of servers.

use super::*;

fn read(with: &str) -> String {
    format!(r#"{{"op":"end","call":"00000000000000aa","with":{{{with}}},"why":34}}"#)
}

#[test]
fn a_report_has_only_the_figures_that_the_settings_declare() {
    let declared = |names: &[&str]| {
        let mut report = Report::default();
        names.iter().for_each(|name| *report_slot(&mut report, name).expect("known") = Some(0.0));
        Some(report)
    };
    let lines = Report { free_lines: Some(12.0), total_lines: Some(40.0), ..Report::default() };
    let table = [
        ("x0:12;x1:40", declared(&["x0", "x1"]), lines, 0),
        ("spare:12;total:40", declared(&["x0", "x1"]), lines, 0),
        ("x0:12;x1:40;lat_ms:7", declared(&["spare", "total"]), lines, 1),
        ("x0:12;x1:40;allowed:3;cut_by:1", declared(&["spare", "total", "lat_ms"]), lines, 2),
        ("x0:12;x1:40;lat_ms:-1", declared(&["x0", "x1", "lat_ms"]), lines, 1),
        ("x0:12;x1:40;lat_ms:inf;q:NaN", None, lines, 2),
        ("x0:12;x1:40;lat_ms:soon;weather:3", None, lines, 2),
        ("x0:12;x1:40;lat_ms:7", None, Report { wait_ms: Some(7.0), ..lines }, 0),
        ("x0:12;x1:40", declared(&[]), Report::default(), 2),
        ("", declared(&["x0"]), Report::default(), 0),
    ];
    for (load, declared, report, ignored) in table {
        let line = read(&format!(r#""load":"{load}""#));
        let message = Message::read(line.as_bytes()).expect("a valid message");
        assert_eq!(message.report(declared), (report, ignored), "{load}");
    }
}

#[test]
fn a_refusal_for_a_full_processor_may_carry_its_wait() {
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
        let message = Message::read(line.as_bytes()).expect("a valid message");
        assert_eq!(message.refusal_cause(), Cause::ProcessorFull { wait }, "{with}");
    }
    let line = read(r#""note":"blocked","waited":"9""#);
    assert_eq!(Message::read(line.as_bytes()).expect("a valid message").refusal_cause(), Cause::NoLine);
}
