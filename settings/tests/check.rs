//! Validation of settings: an invalid value is reported with its key.

use serde_json::{json, Value};
use steprelay_settings::{check, site_settings};

/// Valid settings of a made-up deployment.
fn valid_settings() -> Value {
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
        "unknownSection": {"unknown": ["keys", 1]},
    })
}

#[test]
fn an_invalid_value_is_reported_with_its_key() {
    assert_eq!(check(&valid_settings()), Ok(()));
    let table = [
        ("/groupSize", json!(-1), "groupSize: -1 is not a non-negative integer"),
        ("/groupSize", json!("7"), "groupSize: \"7\" is not a non-negative integer"),
        ("/me", json!(7), "me: 7 is not below groupSize, which is 7"),
        ("/overShareWorth", json!(1.5), "overShareWorth: 1.5 is not a fraction from 0 to 1"),
        ("/discovery", json!("poll"), "discovery: \"poll\" is not one of automatic, subscribe"),
        ("/services", json!({}), "services: is not a list"),
        ("/services/1", json!(3), "services[1]: is not an object"),
        ("/services/1/name", json!(""), "services[1].name: \"\" is not a non-empty string"),
        ("/services/1/name", json!("query"), "services[1].name: 'query' is used twice"),
        ("/services/0/sloMs", json!(1e300), "services[0].sloMs: 1e+300 is not a time in milliseconds"),
        (
            "/services/0/hardLimitMs",
            json!("9 s"),
            "services[0].hardLimitMs: \"9 s\" is not a time in milliseconds",
        ),
        ("/services/0/importance", json!(-2), "services[0].importance: -2 is not a non-negative number"),
        (
            "/services/0/idempotency",
            json!("safe"),
            "services[0].idempotency: \"safe\" is not one of idempotent, deduplicated, at_most_once",
        ),
        ("/parties/0/quotaRps", json!([]), "parties[0].quotaRps: [] is not a non-negative number"),
        ("/policyLimits", json!([]), "policyLimits: is not an object"),
        ("/policyLimits/cancel", json!(1), "policyLimits.cancel: 1 is not true or false"),
        ("/policyLimits/tryLimit", json!(2.5), "policyLimits.tryLimit: 2.5 is not a non-negative integer"),
        (
            "/policyLimits/dialTimeoutMs",
            json!(-5),
            "policyLimits.dialTimeoutMs: -5 is not a time in milliseconds",
        ),
        ("/rules/startCapacity", json!(30), "rules.startCapacity: 30 is not a fraction from 0 to 1"),
        ("/rules/fallMultiple", json!(true), "rules.fallMultiple: true is not a non-negative number"),
        ("/specifics/widths", json!([1]), "specifics.widths: has 1 entries for 2 classes"),
        ("/specifics/meanHoldMs/1", json!(-1), "specifics.meanHoldMs[1]: -1 is not a time in milliseconds"),
        ("/specifics/allowedPools/0", json!(0), "specifics.allowedPools[0]: is not a list"),
        ("/report/fields/2", json!("mood"), "report.fields: unknown report field \"mood\""),
        ("/clientHabits/marksRetry", json!("no"), "clientHabits.marksRetry: \"no\" is not true or false"),
    ];
    for (pointer, value, message) in table {
        let mut settings = valid_settings();
        *settings.pointer_mut(pointer).expect("the pointer leads to a value") = value;
        assert_eq!(check(&settings).expect_err(pointer).to_string(), message);
    }
    let mut unnamed = valid_settings();
    unnamed["services"][0].as_object_mut().expect("an object").remove("name");
    assert_eq!(check(&unnamed).expect_err("unnamed").to_string(), "services[0].name: is missing");
    assert!(check(&json!([])).is_err());
}

/// No default, such as a value of some deployment, replaces a missing setting.
#[test]
fn a_missing_setting_gets_no_default() {
    let bare = json!({"services": [{"name": "query"}]});
    assert_eq!(check(&bare), Ok(()));
    let site = site_settings(&bare);
    let (limits, rules) = (site.decisions.limits, site.decisions.rules);
    assert_eq!((limits.max_attempts, limits.max_retry_after, site.decisions.retry_delay), (0, 0, 0));
    assert_eq!(
        (rules.start_capacity, rules.overload_multiple, rules.ramp_time, rules.overload_duration),
        (0.0, 0.0, 0, 0)
    );
    assert_eq!((site.deadlines, site.dial_timeout, site.max_open, site.drain_grace), (vec![0], 0, 0, 0));
    assert!(!limits.may_cancel && !limits.may_probe && !limits.may_send_retry_after);
}

#[test]
fn the_settings_show_whether_reports_cover_processors() {
    let of =
        |report: Value| site_settings(&json!({"services": [{"name": "query"}], "report": report})).decisions;
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
    assert!(!of(Value::Null).load_unreported, "no report settings");
}
