//! Who holds a stream: rendezvous hashing with weights. Each member draws a number for each stream, and the
//! highest hold it; a member that comes or goes moves only what it held or will hold.

/// A member that may hold something.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// How much of the whole it is to hold, against the others; above 0.
    pub weight: f64,
    /// What it holds now, in records.
    pub load: usize,
}

/// A member holds no more than this multiple of its part, while others can.
const MAX_LOAD_FACTOR: f64 = 1.25;
/// Loads below this are no loads: parts of little say nothing.
const MIN_COUNTED_LOAD: usize = 1_000;

/// The names of those that are to hold a stream of a member in `zone`: other zones first, each zone once
/// while there are more, then by what they draw. Whoever has too much is passed over while others are
/// there.
pub fn select_holders<'a>(
    stream: u64,
    zone: &str,
    candidates: &[Candidate<'a>],
    replicas: usize,
) -> Vec<&'a str> {
    let total: f64 = candidates.iter().map(|candidate| candidate.load as f64).sum();
    let weights: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let is_overloaded = |candidate: &Candidate| {
        let part = total * candidate.weight / weights.max(f64::MIN_POSITIVE);
        candidate.load > MIN_COUNTED_LOAD && candidate.load as f64 > MAX_LOAD_FACTOR * part
    };
    let mut remaining: Vec<(bool, f64, &Candidate)> = candidates
        .iter()
        .map(|candidate| (is_overloaded(candidate), score(stream, candidate), candidate))
        .collect();
    remaining.sort_by(|one, other| {
        one.0.cmp(&other.0).then(other.1.total_cmp(&one.1)).then(one.2.name.cmp(other.2.name))
    });
    let mut zones = vec![zone];
    let mut chosen = Vec::new();
    while chosen.len() < replicas && !remaining.is_empty() {
        let candidate = match remaining.iter().position(|(_, _, candidate)| !zones.contains(&candidate.zone))
        {
            Some(candidate) => candidate,
            // Each zone has one: the next round begins, our own zone being last.
            None if zones.len() > 1 => {
                zones = vec![zone];
                remaining.iter().position(|(_, _, candidate)| candidate.zone != zone).unwrap_or_default()
            }
            None => 0,
        };
        let (_, _, candidate) = remaining.remove(candidate);
        zones.push(candidate.zone);
        chosen.push(candidate.name);
    }
    chosen
}

/// What a member draws for a stream: the higher the weight, the higher as a rule.
fn score(stream: u64, candidate: &Candidate) -> f64 {
    let mut hash = mix(stream);
    for byte in candidate.name.bytes() {
        hash = mix(hash ^ u64::from(byte));
    }
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -candidate.weight / uniform.ln()
}

fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
