//! Decides what happens to each message. Decisions are stateless and can be made in any order.

use serde::{Deserialize, Serialize};

use crate::frames;
use crate::matching;
use crate::plan::{Action, Framing, Plan};

/// One direction of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Direction {
    /// The index of the link in the plan, and the connection's number on the link.
    pub link: usize,
    pub connection: u64,
    pub to_upstream: bool,
}

/// A decision, as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    #[serde(rename = "way")]
    pub direction: Direction,
    pub index: u64,
    /// The index of the rule that applied, if one did.
    pub rule: Option<usize>,
    pub action: Action,
}

/// Applies a plan.
#[derive(Clone, Debug)]
pub struct Decider {
    plan: Plan,
}

impl Decider {
    pub fn new(plan: Plan) -> Self {
        Decider { plan }
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    pub fn framing(&self, link: usize) -> Framing {
        self.plan.links.get(link).map_or(Framing::Lines, |link| link.framing)
    }

    /// Decides what happens to the message with this index in its direction.
    pub fn decide(&self, direction: Direction, index: u64, message: &[u8]) -> Decision {
        let framing = self.framing(direction.link);
        let matched = self.plan.rules.iter().enumerate().find(|(rule_index, rule)| {
            let matches = &rule.matches;
            let name = self.plan.links.get(direction.link).map(|link| link.name.as_str());
            matches.link.as_deref().is_none_or(|wanted| Some(wanted) == name)
                && matches.connection.is_none_or(|wanted| wanted == direction.connection)
                && matches.to_upstream.is_none_or(|wanted| wanted == direction.to_upstream)
                && matches.index.is_none_or(|wanted| wanted == index)
                && matches.from.is_none_or(|from| index >= from)
                && matches.until.is_none_or(|until| index < until)
                && matching::matches(matches, framing, message)
                && self.uniform_draw(direction, index, *rule_index) < rule.probability
        });
        match matched {
            Some((rule_index, rule)) => {
                Decision { direction, index, rule: Some(rule_index), action: rule.action.clone() }
            }
            None => Decision { direction, index, rule: None, action: Action::Pass },
        }
    }

    /// Applies an action that concerns the octets of the message alone, and returns the messages to forward
    /// in its place.
    pub fn apply(&self, decision: &Decision, message: Vec<u8>) -> Vec<Vec<u8>> {
        let framing = self.framing(decision.direction.link);
        match &decision.action {
            Action::Drop | Action::Reset | Action::HalfClose | Action::Silence => Vec::new(),
            Action::Repeat(times) => vec![message; usize::from(*times)],
            Action::Corrupt(octets) => vec![self.corrupted(decision, framing, message, *octets)],
            Action::Truncate(most) => vec![frames::truncate(framing, &message, *most)],
            Action::Replace(bytes) => vec![bytes.clone()],
            Action::Pass | Action::Delay(_) | Action::Swap => vec![message],
        }
    }

    fn corrupted(&self, decision: &Decision, framing: Framing, mut message: Vec<u8>, octets: u16) -> Vec<u8> {
        let body = frames::body_range(framing, &message);
        if body.is_empty() {
            return message;
        }
        for octet in 0..u64::from(octets) {
            let hash = self.draw(decision.direction, decision.index, u64::MAX - octet);
            let at = body.start + (hash as usize >> 8) % body.len();
            let changed = message[at] ^ (1 + (hash as u8 & 0x7e));
            // A line feed would end the line early.
            message[at] = if framing == Framing::Lines && changed == b'\n' { b'?' } else { changed };
        }
        message
    }

    /// A pseudorandom number in [0, 1) that belongs to this message and rule.
    fn uniform_draw(&self, direction: Direction, index: u64, rule: usize) -> f64 {
        (self.draw(direction, index, rule as u64) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn draw(&self, direction: Direction, index: u64, salt: u64) -> u64 {
        let parts = [direction.link as u64, direction.connection, direction.to_upstream.into(), index, salt];
        parts.into_iter().fold(mix(self.plan.seed), |hash, part| mix(hash ^ mix(part)))
    }
}

/// The SplitMix64 mixing function, so that neighbouring inputs give independent outputs.
pub(crate) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
