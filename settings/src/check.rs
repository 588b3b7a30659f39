//! Validates settings. A missing key is valid and leaves its setting unset. An invalid value is an error that
//! names its key; no default replaces it.

use std::collections::BTreeSet;

use serde_json::Value;
use steprelay_decisions::Report;

use crate::{report_slot, whole};

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct SettingsError {
    /// Path of the key, such as `services[1].name`.
    pub key: String,
    pub reason: String,
}

/// The valid values of a key.
#[derive(Clone, Copy)]
enum Kind {
    /// Milliseconds.
    Time,
    Number,
    /// From 0 to 1.
    Fraction,
    Count,
    Flag,
    Name,
    OneOf(&'static [&'static str]),
}

/// Maximum of a time, in milliseconds (eleven days).
const MAX_TIME_MS: f64 = 1e9;
/// Maximum of a number that is neither a time nor a count.
const MAX_NUMBER: f64 = 1e12;

use Kind::{Count, Flag, Fraction, Name, Number, OneOf, Time};

/// The keys that are read, as paths. `[]` denotes every entry of a list.
const KEYS: [(&str, Kind); 30] = [
    ("groupSize", Count),
    ("me", Count),
    ("overShareWorth", Fraction),
    ("discovery", OneOf(&["automatic", "subscribe"])),
    ("services[].name", Name),
    ("services[].sloMs", Time),
    ("services[].hardLimitMs", Time),
    ("services[].importance", Number),
    ("services[].lateShare", Fraction),
    ("services[].idempotency", OneOf(&["idempotent", "deduplicated", "at_most_once"])),
    ("parties[].name", Name),
    ("parties[].quotaRps", Number),
    ("policyLimits.cancel", Flag),
    ("policyLimits.peers", Flag),
    ("policyLimits.mayProbe", Flag),
    ("policyLimits.retryAfter", Flag),
    ("policyLimits.maxRetryAfterMs", Time),
    ("policyLimits.tryLimit", Count),
    ("policyLimits.dialTimeoutMs", Time),
    ("policyLimits.connIdleMs", Time),
    ("policyLimits.maxOpen", Count),
    ("rules.askEveryMs", Time),
    ("rules.startCapacity", Fraction),
    ("rules.rampTimeMs", Time),
    ("rules.fallMultiple", Number),
    ("rules.fallMs", Time),
    ("rules.stopSendingWithinMs", Time),
    ("specifics.clearWaitMs", Time),
    ("specifics.t1Ms", Time),
    ("clientHabits.marksRetry", Flag),
];

/// Lists with one entry for each class of calls, and the valid values of their entries.
const PER_CLASS_LISTS: [(&str, Kind); 2] = [("widths", Count), ("meanHoldMs", Time)];

/// Validates the settings.
///
/// # Errors
/// Returns the first invalid value that is found.
pub fn check(all: &Value) -> Result<(), SettingsError> {
    if !all.is_object() {
        return Err(invalid("", "is not an object"));
    }
    for (path, kind) in KEYS {
        check_path(all, path, String::new(), &mut |key, value| check_value(key, value, kind))?;
    }
    for list in ["services", "parties"] {
        check_unique_names(all, list)?;
    }
    let classes = all["services"].as_array().map_or(0, Vec::len);
    for (name, kind) in PER_CLASS_LISTS {
        let key = format!("specifics.{name}");
        for (index, value) in per_class_list(&all["specifics"][name], &key, classes)?.iter().enumerate() {
            check_value(&format!("{key}[{index}]"), value, kind)?;
        }
    }
    let key = "specifics.allowedPools";
    for (index, pools) in per_class_list(&all["specifics"]["allowedPools"], key, classes)?.iter().enumerate()
    {
        let key = format!("{key}[{index}]");
        let pools = pools.as_array().ok_or_else(|| invalid(&key, "is not a list"))?;
        pools.iter().try_for_each(|pool| check_value(&key, pool, Count))?;
    }
    let fields = &all["report"]["fields"];
    if !fields.is_null() {
        let fields = fields.as_array().ok_or_else(|| invalid("report.fields", "is not a list"))?;
        for field in fields {
            let name = field.as_str().unwrap_or_default();
            if report_slot(&mut Report::default(), name).is_none() {
                return Err(invalid("report.fields", format!("unknown report field {field}")));
            }
        }
    }
    if let (Some(me), Some(size)) = (whole(&all["me"]), whole(&all["groupSize"])) {
        if size > 0 && me >= size {
            return Err(invalid("me", format!("{me} is not below groupSize, which is {size}")));
        }
    }
    Ok(())
}

fn invalid(key: &str, reason: impl Into<String>) -> SettingsError {
    SettingsError { key: key.into(), reason: reason.into() }
}

/// Calls `check` with each value at a path and with its key.
fn check_path(
    value: &Value,
    path: &str,
    parent: String,
    check: &mut impl FnMut(&str, &Value) -> Result<(), SettingsError>,
) -> Result<(), SettingsError> {
    let (step, rest) = path.split_once('.').unwrap_or((path, ""));
    let (name, is_list) = step.strip_suffix("[]").map_or((step, false), |name| (name, true));
    let key = if parent.is_empty() { name.to_string() } else { format!("{parent}.{name}") };
    let found = &value[name];
    if found.is_null() {
        return Ok(());
    }
    if rest.is_empty() {
        return check(&key, found);
    }
    if is_list {
        let entries = found.as_array().ok_or_else(|| invalid(&key, "is not a list"))?;
        for (index, entry) in entries.iter().enumerate() {
            let key = format!("{key}[{index}]");
            if !entry.is_object() {
                return Err(invalid(&key, "is not an object"));
            }
            check_path(entry, rest, key, check)?;
        }
        return Ok(());
    }
    if !found.is_object() {
        return Err(invalid(&key, "is not an object"));
    }
    check_path(found, rest, key, check)
}

fn check_value(key: &str, value: &Value, kind: Kind) -> Result<(), SettingsError> {
    let number = || value.as_f64().filter(|number| number.is_finite());
    let within = |max: f64| number().is_some_and(|number| (0.0..=max).contains(&number));
    let (is_valid, expected) = match kind {
        Time => (within(MAX_TIME_MS), "a time in milliseconds"),
        Number => (within(MAX_NUMBER), "a non-negative number"),
        Fraction => (within(1.0), "a fraction from 0 to 1"),
        Count => (whole(value).is_some(), "a non-negative integer"),
        Flag => (value.is_boolean(), "true or false"),
        Name => (value.as_str().is_some_and(|name| !name.is_empty()), "a non-empty string"),
        OneOf(names) => {
            if value.as_str().is_some_and(|name| names.contains(&name)) {
                return Ok(());
            }
            return Err(invalid(key, format!("{value} is not one of {}", names.join(", "))));
        }
    };
    if is_valid {
        return Ok(());
    }
    Err(invalid(key, format!("{value} is not {expected}")))
}

/// Checks that each entry of a list has a name, and that no two names are equal.
fn check_unique_names(all: &Value, list: &str) -> Result<(), SettingsError> {
    let mut names = BTreeSet::new();
    for (index, entry) in all[list].as_array().into_iter().flatten().enumerate() {
        let key = format!("{list}[{index}].name");
        let name = entry["name"].as_str().ok_or_else(|| invalid(&key, "is missing"))?;
        if !names.insert(name) {
            return Err(invalid(&key, format!("'{}' is used twice", name.escape_debug())));
        }
    }
    Ok(())
}

/// Returns a list that has one entry for each class; an absent list is empty.
fn per_class_list<'a>(value: &'a Value, key: &str, classes: usize) -> Result<&'a [Value], SettingsError> {
    if value.is_null() {
        return Ok(&[]);
    }
    let entries = value.as_array().ok_or_else(|| invalid(key, "is not a list"))?;
    if entries.len() != classes {
        return Err(invalid(key, format!("has {} entries for {classes} classes", entries.len())));
    }
    Ok(entries)
}
