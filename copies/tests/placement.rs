//! Placement of replicas: even spread, moves when a member joins, zones and loads.

use std::collections::BTreeMap;

use steprelay_copies::placement::{select_holders, Candidate};

fn names(count: usize) -> Vec<(String, String)> {
    (0..count).map(|index| (format!("n{index}"), format!("z{}", index % 3))).collect()
}

fn candidates(names: &[(String, String)]) -> Vec<Candidate<'_>> {
    names.iter().map(|(name, zone)| Candidate { name, zone, weight: 1.0, load: 0 }).collect()
}

#[test]
fn holders_are_in_other_zones_and_evenly_spread() {
    let names = names(9);
    let candidates = candidates(&names);
    let mut held: BTreeMap<&str, usize> = BTreeMap::new();
    for stream in 0..9_000u64 {
        let own = format!("z{}", stream % 3);
        let chosen = select_holders(stream, &own, &candidates, 2);
        let zones: Vec<&str> = chosen
            .iter()
            .map(|name| {
                candidates.iter().find(|candidate| candidate.name == *name).expect("a candidate").zone
            })
            .collect();
        assert!(zones[0] != zones[1] && !zones.contains(&own.as_str()), "{own} {zones:?}");
        chosen.into_iter().for_each(|name| *held.entry(name).or_default() += 1);
    }
    assert!(held.values().all(|count| (1_800..2_200).contains(count)), "{held:?}");
    // More replicas than zones, and than members.
    assert_eq!(select_holders(1, "z0", &candidates, 4).len(), 4);
    assert_eq!(select_holders(1, "z0", &candidates[..1], 4), ["n0"]);
    assert!(select_holders(1, "z0", &[], 2).is_empty());
}

/// An added member takes its share from all others and nothing else moves; with a modulo, nearly everything
/// moves.
#[test]
fn an_added_member_moves_only_its_share() {
    let names = names(10);
    let (all, before) = (candidates(&names), candidates(&names[..9]));
    let (mut moved, mut by_modulo) = (0, 0);
    let streams = 10_000;
    for stream in 0..streams {
        let now = select_holders(stream, "z9", &all, 1);
        let then = select_holders(stream, "z9", &before, 1);
        assert!(now == then || now == ["n9"], "{then:?} to {now:?}");
        moved += usize::from(now != then);
        by_modulo += usize::from(stream % 10 != stream % 9);
    }
    assert!((900..1_100).contains(&moved), "{moved}");
    println!(
        "a tenth member: {moved} of {streams} streams move (ideal {}), by modulo {by_modulo}",
        streams / 10
    );
}

#[test]
fn weights_and_loads_affect_placement() {
    let names = names(3);
    let mut candidates = candidates(&names);
    candidates[0].weight = 2.0;
    let first = |candidates: &[Candidate], name: &str| {
        (0..4_000).filter(|stream| select_holders(*stream, "z9", candidates, 1) == [name]).count()
    };
    assert!((1_900..2_100).contains(&first(&candidates, "n0")), "half of the total weight");
    (candidates[0].load, candidates[1].load, candidates[2].load) = (60_000, 1_000, 1_000);
    assert_eq!(first(&candidates, "n0"), 0, "n0 is overloaded");
}
