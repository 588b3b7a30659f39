//! Choice of a stream's replica holders by weighted rendezvous hashing. Each member has a score for each
//! stream, and the members with the highest scores hold it. A member that joins or leaves moves only the
//! replicas that it will hold or held.

/// A member that may hold replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// The member's share of all replicas relative to the other members; above 0.
    pub weight: f64,
    /// The number of records that the member holds now.
    pub load: usize,
}

/// A member holds no more than this multiple of its share while other members have capacity.
const MAX_LOAD_FACTOR: f64 = 1.25;
/// Loads up to this number of records are ignored: shares of small totals are not significant.
const MIN_COUNTED_LOAD: usize = 1_000;

/// Chooses the names of the members that hold a stream of a member in `zone`. Members of other zones come
/// first, no zone holds a second replica before every other zone holds one, and within these limits
/// members that are not overloaded precede others, then higher scores lower ones.
pub fn select_holders<'a>(
    stream: u64,
    zone: &str,
    candidates: &[Candidate<'a>],
    replicas: usize,
) -> Vec<&'a str> {
    let total: f64 = candidates.iter().map(|candidate| candidate.load as f64).sum();
    let weights: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let is_overloaded = |candidate: &Candidate| {
        let share = total * candidate.weight / weights.max(f64::MIN_POSITIVE);
        candidate.load > MIN_COUNTED_LOAD && candidate.load as f64 > MAX_LOAD_FACTOR * share
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
        let index = match remaining.iter().position(|(_, _, candidate)| !zones.contains(&candidate.zone)) {
            Some(index) => index,
            // Every other zone holds a replica: the next round starts, with the primary's own zone last.
            None if zones.len() > 1 => {
                zones = vec![zone];
                remaining.iter().position(|(_, _, candidate)| candidate.zone != zone).unwrap_or_default()
            }
            None => 0,
        };
        let (_, _, candidate) = remaining.remove(index);
        zones.push(candidate.zone);
        chosen.push(candidate.name);
    }
    chosen
}

/// A member's score for a stream. A higher weight makes a higher score more likely.
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
