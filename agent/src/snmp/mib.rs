//! The objects of STEPRELAY-MIB with their values at one moment.

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

/// netSnmpPlaypen 47: a place for MIBs whose organisation has no number of its own.
const ROOT: [u32; 10] = [1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 47];

pub type Objects = BTreeMap<Vec<u32>, ObjectSyntax>;

/// `classes` are the settings' names, in order.
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
        snapshot.tallies.dispatches,
    ];
    for (place, count) in (1..).zip(outcomes) {
        put(&[1, place, 0], counter(count));
    }
    put(&[2, 1, 0], gauge(snapshot.unanswered as u64));
    put(&[2, 2, 0], gauge(snapshot.standing as u64));
    put(&[2, 3, 0], gauge(snapshot.concurrent() as u64));
    for (index, (name, of_class)) in (1..).zip(classes.iter().zip(&counts.classes)) {
        let columns =
            [text(name), counter(of_class.success), counter(of_class.overload), counter(of_class.error)];
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
            // In thousandths of a set-up a second.
            gauge(bound.map_or(0, |bound| (bound * 1000.0) as u64)),
        ];
        for (column, value) in (2..).zip(columns) {
            put(&[3, 1, 1, column, entry.server.0], value);
        }
    }
    for (place, breach) in (1..).zip(Breach::ALL) {
        put(&[4, place, 0], counter(counts.breaches(breach)));
    }
    put(&[5, 1, 0], counter(bad_requests));
    put(&[5, 2, 0], counter(counts.evicted_clients));
    put(&[5, 3, 0], counter(snapshot.tallies.reloads_taken));
    put(&[5, 4, 0], counter(snapshot.tallies.reloads_refused));
    let duty = match snapshot.duty {
        State::Starting => 1,
        State::Serving => 2,
        State::Standby => 3,
        State::Stopping => 4,
    };
    put(&[5, 5, 0], integer(duty));
    for (place, (_, value)) in (1..).zip(snapshot.fleet.iter().flat_map(cluster_metrics)) {
        // The first six and the work are of the moment, the others only grow.
        let of_the_moment = matches!(place, 1..=6 | 10 | 11);
        put(&[9, place, 0], if of_the_moment { gauge(value) } else { counter(value) });
    }
    for (index, peer) in (1..).zip(&signalling.peers) {
        let [setting_up, standing, releasing, blocked, other] =
            peer.circuits.map(|count| gauge(count as u64));
        let columns = [
            text(&peer.name),
            integer(if peer.is_client { 1 } else { 2 }),
            integer(peer.state),
            gauge(peer.active as u64),
            gauge(peer.inactive as u64),
            setting_up,
            standing,
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
        put(&[7, 3, 0], counter(signalling.kept_lost));
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
