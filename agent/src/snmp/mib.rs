//! The objects of STEPRELAY-MIB with their values at the time of a snapshot.

use std::collections::BTreeMap;

use rasn::types::Integer;
use rasn_smi::v1::Gauge;
use rasn_smi::v2::{ApplicationSyntax, Counter64, SimpleSyntax};
use rasn_snmp::v2::ObjectSyntax;
use steprelay_core::lifecycle::State;
use steprelay_core::Breach;
use steprelay_decisions::Readiness;

use crate::ops::line::cluster_metrics;
use crate::ports::{SignallingFigures, Snapshot};

/// netSnmpPlaypen 47: the subtree for MIBs of organisations without an enterprise number of their own.
const ROOT: [u32; 10] = [1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 47];

/// Values by object identifier, in the order that GETNEXT follows.
pub type Objects = BTreeMap<Vec<u32>, ObjectSyntax>;

/// Returns the objects of the MIB. `classes` are the names of the classes in the order of the settings.
pub fn objects(
    snapshot: &Snapshot,
    classes: &[String],
    signalling: &SignallingFigures,
    bad_requests: u64,
) -> Objects {
    let mut objects = Objects::new();
    let mut put = |rest: &[u32], value| {
        objects.insert([&ROOT, rest].concat(), value);
    };
    let counts = &snapshot.counts;
    let outcomes = [
        counts.offered,
        counts.established,
        counts.refused,
        counts.failed,
        counts.invalid,
        counts.abandoned,
        counts.released,
        counts.cut,
        counts.released_unknown,
        counts.releases_lost,
        counts.answered_late,
        counts.repeated,
        snapshot.io_counts.dispatches,
    ];
    for (arc, count) in (1..).zip(outcomes) {
        put(&[1, arc, 0], counter(count));
    }
    put(&[2, 1, 0], gauge(snapshot.unanswered as u64));
    put(&[2, 2, 0], gauge(snapshot.established as u64));
    put(&[2, 3, 0], gauge(snapshot.concurrent() as u64));
    for (index, (name, class_counts)) in (1..).zip(classes.iter().zip(&counts.classes)) {
        let columns = [
            text(name),
            counter(class_counts.success),
            counter(class_counts.overload),
            counter(class_counts.error),
        ];
        for (column, value) in (2..).zip(columns) {
            put(&[8, 1, 1, column, index], value);
        }
    }
    put(&[3, 2, 0], gauge(snapshot.targets as u64));
    put(&[3, 3, 0], gauge(snapshot.targets_disabled as u64));
    for (entry, sent, bound) in &snapshot.servers {
        let state = match entry.state {
            Readiness::Ready => 1,
            Readiness::Draining => 2,
            Readiness::Gone => 3,
        };
        let columns = [
            gauge(entry.number.into()),
            integer(state),
            counter(sent.attempts),
            counter(sent.established),
            counter(sent.full),
            counter(sent.failed),
            integer(if bound.is_some() { 1 } else { 2 }),
            // In thousandths of a set-up per second.
            gauge(bound.map_or(0, |bound| (bound * 1000.0) as u64)),
        ];
        for (column, value) in (2..).zip(columns) {
            put(&[3, 1, 1, column, entry.server.0], value);
        }
    }
    for (arc, breach) in (1..).zip(Breach::ALL) {
        put(&[4, arc, 0], counter(counts.breaches(breach)));
    }
    put(&[5, 1, 0], counter(bad_requests));
    put(&[5, 2, 0], counter(counts.evicted_clients));
    put(&[5, 3, 0], counter(snapshot.io_counts.reloads_taken));
    put(&[5, 4, 0], counter(snapshot.io_counts.reloads_refused));
    let lifecycle = match snapshot.lifecycle {
        State::Starting => 1,
        State::Serving => 2,
        State::Standby => 3,
        State::Stopping => 4,
    };
    put(&[5, 5, 0], integer(lifecycle));
    for (arc, (_, value)) in (1..).zip(snapshot.fleet.iter().flat_map(cluster_metrics)) {
        // The first six values and those of maintenance (10, 11) are gauges, the others are counters.
        let is_gauge = matches!(arc, 1..=6 | 10 | 11);
        put(&[9, arc, 0], if is_gauge { gauge(value) } else { counter(value) });
    }
    for (index, peer) in (1..).zip(&signalling.peers) {
        let [setting_up, established, releasing, blocked, other] =
            peer.circuits.map(|count| gauge(count as u64));
        let columns = [
            text(&peer.name),
            integer(if peer.is_client { 1 } else { 2 }),
            integer(peer.state),
            gauge(peer.active as u64),
            gauge(peer.inactive as u64),
            setting_up,
            established,
            releasing,
            blocked,
            other,
            counter(peer.counts.seized_by_peer),
            counter(peer.counts.seized_by_us),
            counter(peer.counts.overflowed),
            counter(peer.counts.dual_seizures),
            counter(peer.counts.resets),
            counter(peer.counts.disregarded),
            counter(peer.counts.alerts),
        ];
        for (column, value) in (2..).zip(columns) {
            put(&[7, 1, 1, column, index], value);
        }
    }
    if !signalling.peers.is_empty() {
        put(&[7, 3, 0], counter(signalling.records_lost));
    }
    for (code, count) in &signalling.errors {
        put(&[7, 2, 1, 2, (*code).into()], counter(*count));
    }
    objects
}

fn counter(count: u64) -> ObjectSyntax {
    ObjectSyntax::ApplicationWide(ApplicationSyntax::BigCounter(Counter64(count)))
}

fn gauge(value: u64) -> ObjectSyntax {
    let value = Gauge(value.try_into().unwrap_or(u32::MAX));
    ObjectSyntax::ApplicationWide(ApplicationSyntax::Unsigned(value))
}

fn text(value: &str) -> ObjectSyntax {
    ObjectSyntax::Simple(SimpleSyntax::String(value.as_bytes().to_vec().into()))
}

fn integer(value: i32) -> ObjectSyntax {
    ObjectSyntax::Simple(SimpleSyntax::Integer(Integer::from(value)))
}
