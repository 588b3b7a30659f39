//! Parses the settings object of a call agent and of the simulator's adapter.
//!
//! Unknown keys are ignored, so that a deployment may add keys. A missing key leaves its setting unset; no
//! default replaces it. [`check`] finds invalid values.

mod check;

pub use check::{check, SettingsError};
use serde_json::Value;
use steprelay_decisions::{Class, Limits, Micros, Report, Rules, Settings, Tenant};

/// Converts milliseconds to microseconds, rounded.
pub fn micros(millis: f64) -> Micros {
    (millis * 1000.0).round() as Micros
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or_default()
}

fn time(value: &Value) -> Micros {
    micros(number(value))
}

/// Returns a non-negative integer, which may be written with a fraction of zero.
fn whole(value: &Value) -> Option<u32> {
    let number = value.as_f64().filter(|number| (0.0..=f64::from(u32::MAX)).contains(number));
    number.filter(|number| number.fract() == 0.0).map(|number| number as u32)
}

fn count(value: &Value) -> u32 {
    whole(value).unwrap_or_default()
}

fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or_default()
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Parses the controller's part of the settings.
pub fn decision_settings(all: &Value) -> Settings {
    let (limits, rules, specifics) = (&all["policyLimits"], &all["rules"], &all["specifics"]);
    let (allowed, holds) = (list(&specifics["allowedPools"]), list(&specifics["meanHoldMs"]));
    let class = |(index, class): (usize, &Value)| Class {
        slo: time(&class["sloMs"]),
        importance: number(&class["importance"]),
        late_factor: number(&class["lateShare"]),
        is_idempotent: class["idempotency"].as_str() == Some("idempotent"),
        allowed_servers: allowed
            .get(index)
            .and_then(Value::as_array)
            .map(|numbers| numbers.iter().filter_map(whole).collect()),
        mean_hold_time: holds.get(index).map_or(0, time),
    };
    Settings {
        group_size: count(&all["groupSize"]),
        index: count(&all["me"]),
        classes: list(&all["services"]).iter().enumerate().map(class).collect(),
        tenants: list(&all["parties"])
            .iter()
            .map(|tenant| Tenant { quota_per_s: number(&tenant["quotaRps"]) })
            .collect(),
        over_quota_factor: number(&all["overShareWorth"]),
        subscribe_to_list: all["discovery"].as_str() == Some("subscribe"),
        limits: Limits {
            may_cancel: flag(&limits["cancel"]),
            may_message_peers: flag(&limits["peers"]),
            may_probe: flag(&limits["mayProbe"]),
            may_send_retry_after: flag(&limits["retryAfter"]),
            max_retry_after: time(&limits["maxRetryAfterMs"]),
            max_attempts: count(&limits["tryLimit"]),
        },
        rules: Rules {
            list_poll_interval: time(&rules["askEveryMs"]),
            start_capacity: number(&rules["startCapacity"]),
            ramp_time: time(&rules["rampTimeMs"]),
            overload_multiple: number(&rules["fallMultiple"]),
            overload_duration: time(&rules["fallMs"]),
        },
        retry_delay: time(&specifics["clearWaitMs"]),
        t1: time(&specifics["t1Ms"]),
        load_unreported: is_load_unreported(&all["report"]),
        callers_mark_redials: flag(&all["clientHabits"]["marksRetry"]),
        home_number: whole(&specifics["homeNo"]),
        max_remembered_numbers: 0,
    }
}

/// Whether reports of this kind hold nothing about a processor. Returns `false` where the settings do not
/// say.
fn is_load_unreported(report: &Value) -> bool {
    let is_about_lines = |field: &Value| {
        let mut slots = Report::default();
        let slot =
            field.as_str().and_then(|name| report_slot(&mut slots, name)).map(|slot| *slot = Some(1.0));
        slot.is_none() || slots.free_lines.or(slots.total_lines).is_some()
    };
    report["how"] == "none"
        || report["fields"].as_array().is_some_and(|fields| fields.iter().all(is_about_lines))
}

/// All settings, including those that only a program with real sockets needs.
#[derive(Clone, Debug, Default)]
pub struct Site {
    pub decisions: Settings,
    pub class_names: Vec<String>,
    pub tenant_names: Vec<String>,
    /// Longest time that a caller of each class waits for an answer; 0 where it is not set.
    pub deadlines: Vec<Micros>,
    /// Lines that a call of each class occupies.
    pub lines_per_call: Vec<u32>,
    /// Timeout for establishing a connection.
    pub dial_timeout: Micros,
    /// Idle timeout after which the other side closes a connection.
    pub conn_idle: Micros,
    /// Maximum number of concurrent requests.
    pub max_open: usize,
    /// Grace period after the notice of a drain, in which the server may still be sent set-ups.
    pub drain_grace: Micros,
    /// The fields that load reports hold, each with some value; `None` where the settings do not say.
    pub report_fields: Option<Report>,
}

/// Parses all settings.
pub fn site_settings(all: &Value) -> Site {
    let names = |value: &Value| {
        list(value).iter().map(|named| named["name"].as_str().unwrap_or_default().to_string()).collect()
    };
    let limits = &all["policyLimits"];
    Site {
        decisions: decision_settings(all),
        class_names: names(&all["services"]),
        tenant_names: names(&all["parties"]),
        deadlines: list(&all["services"]).iter().map(|class| time(&class["hardLimitMs"])).collect(),
        lines_per_call: list(&all["specifics"]["widths"]).iter().map(count).collect(),
        dial_timeout: time(&limits["dialTimeoutMs"]),
        conn_idle: time(&limits["connIdleMs"]),
        max_open: count(&limits["maxOpen"]) as usize,
        drain_grace: time(&all["rules"]["stopSendingWithinMs"]),
        report_fields: all["report"]["fields"].as_array().map(|fields| report_fields(fields)),
    }
}

fn report_fields(fields: &[Value]) -> Report {
    let mut report = Report::default();
    for name in fields.iter().filter_map(Value::as_str) {
        report_slot(&mut report, name).into_iter().for_each(|slot| *slot = Some(0.0));
    }
    report
}

/// Returns the field of a report that holds the value of this name, and `None` for an unknown name. Of the
/// two names of each field, the first is the simulator's.
pub fn report_slot<'a>(report: &'a mut Report, name: &str) -> Option<&'a mut Option<f64>> {
    Some(match name {
        "spare" | "x0" => &mut report.free_lines,
        "total" | "x1" => &mut report.total_lines,
        "rif" | "inflight" => &mut report.inflight,
        "q" | "queue" => &mut report.queued,
        "busy" | "util" => &mut report.utilization,
        "lat_ms" | "latency_ms" => &mut report.wait_ms,
        "allowed" | "qps" => &mut report.allowed_rate,
        "cut_by" | "eps" => &mut report.shed_share,
        _ => return None,
    })
}
