//! Whether settings can be meant. What is not there is "not told"; what is there and cannot be is said with
//! its key, and is never replaced by a figure of our own.

use std::collections::BTreeSet;

use serde_json::Value;
use steprelay_decisions::Report;

use crate::{report_slot, whole};

/// What is wrong with the settings, and where.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{key}: {why}")]
pub struct SettingsError {
    pub key: String,
    pub why: String,
}

/// What a value may be.
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

/// No time that is told is longer, which is eleven days; and no number greater.
const LONGEST_MS: f64 = 1e9;
const GREATEST: f64 = 1e12;

use Kind::{Count, Flag, Fraction, Name, Number, OneOf, Time};

/// The keys that are read, as paths. `[]` stands for each entry of a list.
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

/// Lists with an entry for each class of call, and what their entries may be.
const OF_CLASSES: [(&str, Kind); 2] = [("widths", Count), ("meanHoldMs", Time)];

/// Finds the first thing that is wrong.
///
/// # Errors
/// A key holds something that it cannot.
pub fn check(all: &Value) -> Result<(), SettingsError> {
    if !all.is_object() {
        return Err(wrong("", "is not an object"));
    }
    for (path, kind) in KEYS {
        each(all, path, String::new(), &mut |key, value| one(key, value, kind))?;
    }
    for list in ["services", "parties"] {
        named_once(all, list)?;
    }
    let classes = all["services"].as_array().map_or(0, Vec::len);
    for (name, kind) in OF_CLASSES {
        let key = format!("specifics.{name}");
        for (place, value) in of_classes(&all["specifics"][name], &key, classes)?.iter().enumerate() {
            one(&format!("{key}[{place}]"), value, kind)?;
        }
    }
    let key = "specifics.allowedPools";
    for (place, pools) in of_classes(&all["specifics"]["allowedPools"], key, classes)?.iter().enumerate() {
        let key = format!("{key}[{place}]");
        let pools = pools.as_array().ok_or_else(|| wrong(&key, "is not a list"))?;
        pools.iter().try_for_each(|pool| one(&key, pool, Count))?;
    }
    let fields = &all["report"]["fields"];
    if !fields.is_null() {
        let fields = fields.as_array().ok_or_else(|| wrong("report.fields", "is not a list"))?;
        for field in fields {
            let name = field.as_str().unwrap_or_default();
            if report_slot(&mut Report::default(), name).is_none() {
                return Err(wrong("report.fields", format!("no report that is known: {field}")));
            }
        }
    }
    if let (Some(me), Some(size)) = (whole(&all["me"]), whole(&all["groupSize"])) {
        if size > 0 && me >= size {
            return Err(wrong("me", format!("{me} is none of {size}, counted from 0")));
        }
    }
    Ok(())
}

fn wrong(key: &str, why: impl Into<String>) -> SettingsError {
    SettingsError { key: key.into(), why: why.into() }
}

/// Hands on what stands at a path, wherever it does.
fn each(
    value: &Value,
    path: &str,
    so_far: String,
    take: &mut impl FnMut(&str, &Value) -> Result<(), SettingsError>,
) -> Result<(), SettingsError> {
    let (step, rest) = path.split_once('.').unwrap_or((path, ""));
    let (name, is_list) = step.strip_suffix("[]").map_or((step, false), |name| (name, true));
    let key = if so_far.is_empty() { name.to_string() } else { format!("{so_far}.{name}") };
    let found = &value[name];
    if found.is_null() {
        return Ok(());
    }
    if rest.is_empty() {
        return take(&key, found);
    }
    if is_list {
        let entries = found.as_array().ok_or_else(|| wrong(&key, "is not a list"))?;
        for (place, entry) in entries.iter().enumerate() {
            let key = format!("{key}[{place}]");
            if !entry.is_object() {
                return Err(wrong(&key, "is not an object"));
            }
            each(entry, rest, key, take)?;
        }
        return Ok(());
    }
    if !found.is_object() {
        return Err(wrong(&key, "is not an object"));
    }
    each(found, rest, key, take)
}

fn one(key: &str, value: &Value, kind: Kind) -> Result<(), SettingsError> {
    let number = || value.as_f64().filter(|number| number.is_finite());
    let within = |most: f64| number().is_some_and(|number| (0.0..=most).contains(&number));
    let (good, what) = match kind {
        Time => (within(LONGEST_MS), "a time in milliseconds"),
        Number => (within(GREATEST), "a number from 0 on"),
        Fraction => (within(1.0), "a fraction from 0 to 1"),
        Count => (whole(value).is_some(), "a whole number from 0 on"),
        Flag => (value.is_boolean(), "true or false"),
        Name => (value.as_str().is_some_and(|name| !name.is_empty()), "a name"),
        OneOf(words) => {
            if value.as_str().is_some_and(|word| words.contains(&word)) {
                return Ok(());
            }
            return Err(wrong(key, format!("{value} is none of {}", words.join(", "))));
        }
    };
    if good {
        return Ok(());
    }
    Err(wrong(key, format!("{value} is not {what}")))
}

/// Each entry has a name, and no two have the same one.
fn named_once(all: &Value, list: &str) -> Result<(), SettingsError> {
    let mut names = BTreeSet::new();
    for (place, entry) in all[list].as_array().into_iter().flatten().enumerate() {
        let key = format!("{list}[{place}].name");
        let name = entry["name"].as_str().ok_or_else(|| wrong(&key, "is not there"))?;
        if !names.insert(name) {
            return Err(wrong(&key, format!("'{}' stands there twice", name.escape_debug())));
        }
    }
    Ok(())
}

/// A list that has an entry for each class, or is not there.
fn of_classes<'a>(value: &'a Value, key: &str, classes: usize) -> Result<&'a [Value], SettingsError> {
    if value.is_null() {
        return Ok(&[]);
    }
    let entries = value.as_array().ok_or_else(|| wrong(key, "is not a list"))?;
    if entries.len() != classes {
        return Err(wrong(key, format!("has {} entries for {classes} classes", entries.len())));
    }
    Ok(entries)
}
