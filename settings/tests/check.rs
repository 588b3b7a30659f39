//! Settings that cannot be meant are said with their key.

use serde_json::{json, Value};
use steprelay_settings::{check, site};

/// Nobody's settings, of the shape that all have.
fn good() -> Value {
    json!({
        "groupSize": 7, "me": 6, "overShareWorth": 0.3, "discovery": "automatic",
        "services": [
            {"name": "query", "sloMs": 1100.0, "hardLimitMs": 7000, "importance": 1, "lateShare": 0.3,
                "idempotency": "idempotent"},
            {"name": "order", "sloMs": 900, "hardLimitMs": 4500, "importance": 5, "lateShare": 0,
                "idempotency": "at_most_once"},
        ],
        "parties": [{"name": "east", "quotaRps": 12.5}, {"name": "west", "quotaRps": 3}],
        "policyLimits": {"cancel": true, "peers": false, "mayProbe": true, "retryAfter": false,
            "maxRetryAfterMs": 1700, "tryLimit": 3.0, "dialTimeoutMs": 430, "connIdleMs": 60000,
            "maxOpen": 900},
        "rules": {"askEveryMs": 9000, "startCapacity": 0.35, "rampTimeMs": 11000, "fallMultiple": 3.5,
            "fallMs": 1300, "stopSendingWithinMs": 350},
        "specifics": {"clearWaitMs": 270, "t1Ms": 650, "widths": [1, 2], "meanHoldMs": [7000, 3000],
            "allowedPools": [[0, 1], [1]], "homeNo": -1},
        "report": {"how": "answers", "fields": ["spare", "total", "lat_ms"]},
        "clientHabits": {"marksRetry": false},
        "of another day": {"unknown": ["keys", 1]},
    })
}

#[test]
fn each_wrong_value_is_said_with_its_key() {
    assert_eq!(check(&good()), Ok(()));
    let table = [
        ("/groupSize", json!(-1), "groupSize: -1 is not a whole number from 0 on"),
        ("/groupSize", json!("7"), "groupSize: \"7\" is not a whole number from 0 on"),
        ("/me", json!(7), "me: 7 is none of 7, counted from 0"),
        ("/overShareWorth", json!(1.5), "overShareWorth: 1.5 is not a fraction from 0 to 1"),
        ("/discovery", json!("poll"), "discovery: \"poll\" is none of automatic, subscribe"),
        ("/services", json!({}), "services: is not a list"),
        ("/services/1", json!(3), "services[1]: is not an object"),
        ("/services/1/name", json!(""), "services[1].name: \"\" is not a name"),
        ("/services/1/name", json!("query"), "services[1].name: 'query' stands there twice"),
        ("/services/0/sloMs", json!(1e300), "services[0].sloMs: 1e+300 is not a time in milliseconds"),
        (
            "/services/0/hardLimitMs",
            json!("9 s"),
            "services[0].hardLimitMs: \"9 s\" is not a time in milliseconds",
        ),
        ("/services/0/importance", json!(-2), "services[0].importance: -2 is not a number from 0 on"),
        (
            "/services/0/idempotency",
            json!("safe"),
            "services[0].idempotency: \"safe\" is none of idempotent, deduplicated, at_most_once",
        ),
        ("/parties/0/quotaRps", json!([]), "parties[0].quotaRps: [] is not a number from 0 on"),
        ("/policyLimits", json!([]), "policyLimits: is not an object"),
        ("/policyLimits/cancel", json!(1), "policyLimits.cancel: 1 is not true or false"),
        ("/policyLimits/tryLimit", json!(2.5), "policyLimits.tryLimit: 2.5 is not a whole number from 0 on"),
        (
            "/policyLimits/dialTimeoutMs",
            json!(-5),
            "policyLimits.dialTimeoutMs: -5 is not a time in milliseconds",
        ),
        ("/rules/startCapacity", json!(30), "rules.startCapacity: 30 is not a fraction from 0 to 1"),
        ("/rules/fallMultiple", json!(true), "rules.fallMultiple: true is not a number from 0 on"),
        ("/specifics/widths", json!([1]), "specifics.widths: has 1 entries for 2 classes"),
        ("/specifics/meanHoldMs/1", json!(-1), "specifics.meanHoldMs[1]: -1 is not a time in milliseconds"),
        ("/specifics/allowedPools/0", json!(0), "specifics.allowedPools[0]: is not a list"),
        ("/report/fields/2", json!("mood"), "report.fields: no report that is known: \"mood\""),
        ("/clientHabits/marksRetry", json!("no"), "clientHabits.marksRetry: \"no\" is not true or false"),
    ];
    for (place, value, said) in table {
        let mut settings = good();
        *settings.pointer_mut(place).expect("it is there") = value;
        assert_eq!(check(&settings).expect_err(place).to_string(), said);
    }
    let mut unnamed = good();
    unnamed["services"][0].as_object_mut().expect("an object").remove("name");
    assert_eq!(check(&unnamed).expect_err("unnamed").to_string(), "services[0].name: is not there");
    assert!(check(&json!([])).is_err());
}

/// What is not told stays so: no figure of any deployment stands in for it.
#[test]
fn what_is_not_told_is_replaced_by_nothing() {
    let bare = json!({"services": [{"name": "query"}]});
    assert_eq!(check(&bare), Ok(()));
    let site = site(&bare);
    let (limits, rules) = (site.decisions.limits, site.decisions.rules);
    assert_eq!((limits.max_attempts, limits.max_retry_after, site.decisions.retry_delay), (0, 0, 0));
    assert_eq!(
        (rules.start_capacity, rules.overload_multiple, rules.ramp_time, rules.overload_duration),
        (0.0, 0.0, 0, 0)
    );
    assert_eq!((site.deadlines, site.dial_timeout, site.max_open, site.drain_grace), (vec![0], 0, 0, 0));
    assert!(!limits.cancel && !limits.probes && !limits.retry_after);
}

#[test]
fn what_reports_tell_of_processors_is_known_from_the_settings() {
    let of = |report: Value| site(&json!({"services": [{"name": "query"}], "report": report})).decisions;
    let unreported = [
        json!({"how": "none", "fields": ["spare", "total"]}),
        json!({"how": "none", "fields": ["spare", "lat_ms"]}),
        json!({"how": "answers", "fields": ["spare", "total"]}),
        json!({"how": "answers", "fields": ["x0", "x1"]}),
    ];
    assert!(unreported.into_iter().all(|report| of(report).load_unreported));
    for field in ["rif", "q", "busy", "lat_ms", "allowed", "cut_by", "latency_ms", "qps"] {
        assert!(
            !of(json!({"how": "answers", "fields": ["spare", "total", field]})).load_unreported,
            "{field}"
        );
    }
    assert!(!of(Value::Null).load_unreported, "not told");
}
