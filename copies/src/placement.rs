//! Who holds a stream: rendezvous hashing with weights. Each member draws a number for each stream, and the
//! highest hold it; a member that comes or goes moves only what it held or will hold.

/// A member that may hold something.
#[derive(Clone, Debug, PartialEq)]
pub struct Place<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// How much of the whole it is to hold, against the others; above 0.
    pub weight: f64,
    /// What it holds now, in records.
    pub load: usize,
}

/// A member holds no more than this multiple of its part, while others can.
const BOUND: f64 = 1.25;
/// Loads below this are no loads: parts of little say nothing.
const LIGHT: usize = 1_000;

/// The names of those that are to hold a stream of a member in `zone`: other zones first, each zone once
/// while there are more, then by what they draw. Whoever has too much is passed over while others are
/// there.
pub fn holders<'a>(stream: u64, zone: &str, places: &[Place<'a>], copies: usize) -> Vec<&'a str> {
    let total: f64 = places.iter().map(|place| place.load as f64).sum();
    let weights: f64 = places.iter().map(|place| place.weight).sum();
    let heavy = |place: &Place| {
        let part = total * place.weight / weights.max(f64::MIN_POSITIVE);
        place.load > LIGHT && place.load as f64 > BOUND * part
    };
    let mut left: Vec<(bool, f64, &Place)> =
        places.iter().map(|place| (heavy(place), drawn(stream, place), place)).collect();
    left.sort_by(|one, other| {
        one.0.cmp(&other.0).then(other.1.total_cmp(&one.1)).then(one.2.name.cmp(other.2.name))
    });
    let mut zones = vec![zone];
    let mut chosen = Vec::new();
    while chosen.len() < copies && !left.is_empty() {
        let place = match left.iter().position(|(_, _, place)| !zones.contains(&place.zone)) {
            Some(place) => place,
            // Each zone has one: the next round begins, our own zone being last.
            None if zones.len() > 1 => {
                zones = vec![zone];
                left.iter().position(|(_, _, place)| place.zone != zone).unwrap_or_default()
            }
            None => 0,
        };
        let (_, _, place) = left.remove(place);
        zones.push(place.zone);
        chosen.push(place.name);
    }
    chosen
}

/// What a member draws for a stream: the higher the weight, the higher as a rule.
fn drawn(stream: u64, place: &Place) -> f64 {
    let mut hash = mix(stream);
    for byte in place.name.bytes() {
        hash = mix(hash ^ u64::from(byte));
    }
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -place.weight / uniform.ln()
}

fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
