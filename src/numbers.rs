//! What the controller remembers about called numbers. A number is kept as a fingerprint, so that its length
//! costs no memory, and the number of entries is limited: what callers dial cannot exhaust the memory.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Stands for a called number. Two numbers have the same one with a probability of about 2^-64.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NumberFingerprint(u64);

impl NumberFingerprint {
    pub fn of(called_number: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        called_number.hash(&mut hasher);
        NumberFingerprint(hasher.finish())
    }
}

/// A limited number of entries about called numbers.
#[derive(Debug)]
pub struct NumberTable<T> {
    entries: BTreeMap<NumberFingerprint, T>,
    capacity: usize,
}

impl<T> NumberTable<T> {
    /// `capacity`: maximum number of entries; 0 sets no limit.
    pub fn new(capacity: usize) -> Self {
        let capacity = if capacity > 0 { capacity } else { usize::MAX };
        NumberTable { entries: BTreeMap::new(), capacity }
    }

    pub fn get(&self, number: NumberFingerprint) -> Option<&T> {
        self.entries.get(&number)
    }

    /// Sets the entry of a number. A full table keeps its entries and takes no further number.
    pub fn set(&mut self, number: NumberFingerprint, value: T) {
        if self.entries.len() < self.capacity || self.entries.contains_key(&number) {
            self.entries.insert(number, value);
        }
    }

    pub fn remove(&mut self, number: NumberFingerprint) {
        self.entries.remove(&number);
    }

    /// Keeps the entries for which `is_kept` holds.
    pub fn retain(&mut self, is_kept: impl Fn(&T) -> bool) {
        self.entries.retain(|_, value| is_kept(value));
    }
}
