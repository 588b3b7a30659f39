//! Analysis of called numbers: the longest prefix of a number, and whether further digits could match a
//! longer one.
//!
//! The trie is immutable once built. A node holds one bit for each digit that has a child, and the index of
//! its first child. The children of a node are contiguous, so the index of a child is found by counting bits.

/// The digits of a called number: `a` to `e` are the codes 10 to 14 of Q.763, `f` its end-of-pulsing signal.
pub const DIGITS: &[u8; 16] = b"0123456789abcdef";

#[derive(Clone, Copy, Debug, Default)]
struct Node {
    /// One bit for each digit that has a child.
    digits: u16,
    /// The index of the first child.
    children: u32,
    /// One more than the index of the node's value; 0 where the node has no value.
    value: u32,
}

/// An invalid prefix.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PrefixError {
    #[error("prefix '{0}' contains a character other than 0 to 9 and a to f")]
    InvalidDigit(String),
    #[error("prefix '{0}' is given twice")]
    Duplicate(String),
}

/// The analysis of the digits of a called number received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Analysis<'a, T> {
    /// The value of the longest matching prefix.
    pub longest: Option<&'a T>,
    /// Whether further digits could match a longer prefix, which overlap signalling waits for.
    pub can_extend: bool,
}

/// A map of prefixes to values.
#[derive(Clone, Debug)]
pub struct PrefixTrie<T> {
    nodes: Vec<Node>,
    values: Vec<T>,
}

impl<T> PrefixTrie<T> {
    /// Builds the trie from prefixes in any order; the empty prefix matches every number.
    ///
    /// # Errors
    /// A prefix contains a character that is not a digit, or stands twice.
    pub fn new(prefixes: impl IntoIterator<Item = (String, T)>) -> Result<Self, PrefixError> {
        let mut entries = Vec::new();
        let mut values = Vec::new();
        for (prefix, value) in prefixes {
            let digits: Option<Vec<u8>> = prefix.bytes().map(digit).collect();
            let Some(digits) = digits else { return Err(PrefixError::InvalidDigit(prefix)) };
            values.push(value);
            entries.push((digits, values.len() as u32, prefix));
        }
        entries.sort();
        if let Some(duplicate) = entries.windows(2).find(|pair| pair[0].0 == pair[1].0) {
            return Err(PrefixError::Duplicate(duplicate[1].2.clone()));
        }
        // Built level by level: the entries of a node are contiguous in the sorted list.
        let mut nodes = vec![Node::default()];
        let mut level = vec![(0, 0..entries.len())];
        let mut depth = 0;
        while !level.is_empty() {
            let mut next_level = Vec::new();
            for (node, mut range) in level {
                if range.clone().next().is_some_and(|first| entries[first].0.len() == depth) {
                    nodes[node].value = entries[range.start].1;
                    range.start += 1;
                }
                nodes[node].children = nodes.len() as u32;
                while !range.is_empty() {
                    let digit = entries[range.start].0[depth];
                    let same = range.clone().take_while(|&entry| entries[entry].0[depth] == digit).count();
                    nodes[node].digits |= 1 << digit;
                    next_level.push((nodes.len(), range.start..range.start + same));
                    nodes.push(Node::default());
                    range.start += same;
                }
            }
            level = next_level;
            depth += 1;
        }
        Ok(PrefixTrie { nodes, values })
    }

    /// Analyses a number. A character that is not a digit ends the number.
    pub fn analyse(&self, number: &str) -> Analysis<'_, T> {
        let mut node = self.nodes[0];
        let mut longest = node.value;
        for digit in number.bytes().map(digit) {
            let Some(digit) = digit.filter(|digit| node.digits & 1 << digit != 0) else {
                return Analysis { longest: self.value(longest), can_extend: false };
            };
            let before = (node.digits & ((1 << digit) - 1)).count_ones();
            node = self.nodes[(node.children + before) as usize];
            if node.value > 0 {
                longest = node.value;
            }
        }
        Analysis { longest: self.value(longest), can_extend: node.digits != 0 }
    }

    /// The value of the longest prefix of a complete number.
    pub fn longest(&self, number: &str) -> Option<&T> {
        self.analyse(number).longest
    }

    /// The number of prefixes.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    fn value(&self, index: u32) -> Option<&T> {
        self.values.get((index as usize).checked_sub(1)?)
    }
}

/// The value of a digit in [`DIGITS`].
fn digit(character: u8) -> Option<u8> {
    match character {
        b'0'..=b'9' => Some(character - b'0'),
        b'a'..=b'f' => Some(character - b'a' + 10),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn agrees_with_a_scan_of_all_prefixes(
            prefixes in prop::collection::btree_map("[0-3f]{0,5}", any::<u32>(), 0..40),
            numbers in prop::collection::vec("[0-3f]{0,7}", 1..20),
        ) {
            let trie = PrefixTrie::new(prefixes.clone()).expect("valid prefixes without duplicates");
            for number in numbers {
                let matching = prefixes.iter().filter(|(prefix, _)| number.starts_with(*prefix));
                let longest = matching.max_by_key(|(prefix, _)| prefix.len()).map(|(_, value)| value);
                let longer = |prefix: &String| prefix.len() > number.len() && prefix.starts_with(&number);
                let can_extend = prefixes.keys().any(longer);
                prop_assert_eq!(trie.analyse(&number), Analysis { longest, can_extend });
            }
        }
    }

    #[test]
    fn invalid_prefixes_are_rejected() {
        let build = |prefixes: &[&str]| {
            PrefixTrie::new(prefixes.iter().map(|prefix| (prefix.to_string(), ()))).map(|trie| trie.len())
        };
        assert_eq!(build(&["603", "6x"]), Err(PrefixError::InvalidDigit("6x".into())));
        assert_eq!(build(&["603", "604", "603"]), Err(PrefixError::Duplicate("603".into())));
        assert_eq!(build(&[]), Ok(0));
        let none: PrefixTrie<()> = PrefixTrie::new(BTreeMap::new()).expect("an empty trie is valid");
        assert_eq!(none.analyse("1"), Analysis { longest: None, can_extend: false });
    }
}
