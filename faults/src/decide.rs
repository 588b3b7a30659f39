//! What becomes of a message. Nothing here has a state: a decision can be asked for in any order.

use serde::{Deserialize, Serialize};

use crate::facts;
use crate::frames;
use crate::plan::{Action, Framing, Plan};

/// One way of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Way {
    /// The link's place in the plan, and the connection's number on it.
    pub link: usize,
    pub connection: u64,
    pub to_upstream: bool,
}

/// A decision, as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    pub way: Way,
    pub index: u64,
    /// The place of the rule that it follows from.
    pub rule: Option<usize>,
    pub action: Action,
}

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

    /// What becomes of the `index`th message of a way.
    pub fn decide(&self, way: Way, index: u64, message: &[u8]) -> Decision {
        let framing = self.framing(way.link);
        let found = self.plan.rules.iter().enumerate().find(|(place, rule)| {
            let wanted = &rule.matches;
            let name = self.plan.links.get(way.link).map(|link| link.name.as_str());
            wanted.link.as_deref().is_none_or(|wanted| Some(wanted) == name)
                && wanted.connection.is_none_or(|wanted| wanted == way.connection)
                && wanted.to_upstream.is_none_or(|wanted| wanted == way.to_upstream)
                && wanted.index.is_none_or(|wanted| wanted == index)
                && wanted.from.is_none_or(|from| index >= from)
                && wanted.until.is_none_or(|until| index < until)
                && facts::fit(wanted, framing, message)
                && self.falls(way, index, *place) < rule.probability
        });
        match found {
            Some((place, rule)) => Decision { way, index, rule: Some(place), action: rule.action.clone() },
            None => Decision { way, index, rule: None, action: Action::Pass },
        }
    }

    /// The messages that are passed on in place of one, where the action is about its octets alone.
    pub fn carry_out(&self, decision: &Decision, message: Vec<u8>) -> Vec<Vec<u8>> {
        let framing = self.framing(decision.way.link);
        match &decision.action {
            Action::Drop | Action::Reset | Action::HalfClose | Action::Silence => Vec::new(),
            Action::Repeat(times) => vec![message; usize::from(*times)],
            Action::Garble(octets) => vec![self.garbled(decision, framing, message, *octets)],
            Action::Truncate(most) => vec![frames::truncated(framing, &message, *most)],
            Action::Replace(bytes) => vec![bytes.clone()],
            Action::Pass | Action::Delay(_) | Action::Swap => vec![message],
        }
    }

    fn garbled(&self, decision: &Decision, framing: Framing, mut message: Vec<u8>, octets: u16) -> Vec<u8> {
        let body = frames::body(framing, &message);
        if body.is_empty() {
            return message;
        }
        for octet in 0..u64::from(octets) {
            let drawn = self.draw(decision.way, decision.index, u64::MAX - octet);
            let at = body.start + (drawn as usize >> 8) % body.len();
            let changed = message[at] ^ (1 + (drawn as u8 & 0x7e));
            // A line feed would end the line too early.
            message[at] = if framing == Framing::Lines && changed == b'\n' { b'?' } else { changed };
        }
        message
    }

    /// A number from 0 to 1 that belongs to this message and rule.
    fn falls(&self, way: Way, index: u64, rule: usize) -> f64 {
        (self.draw(way, index, rule as u64) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn draw(&self, way: Way, index: u64, salt: u64) -> u64 {
        let parts = [way.link as u64, way.connection, way.to_upstream.into(), index, salt];
        parts.into_iter().fold(mix(self.plan.seed), |drawn, part| mix(drawn ^ mix(part)))
    }
}

/// A step of a well-known mixer, so that neighbouring numbers draw independently.
pub(crate) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
