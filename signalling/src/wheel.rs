//! A hierarchical timer wheel: setting and cancelling a timer take constant time.
//!
//! Five levels of 64 slots cover 2^30 ticks of one millisecond; a timer beyond this horizon is linked again
//! when the horizon is reached. A timer is in the highest level at which the slots of its due tick and of the
//! current tick differ, in a doubly linked list, so that its key can unlink it. Invariant: no occupied slot
//! lies before `next_tick`, so the first occupied slot over all levels is the next one to process.

use crate::Micros;

/// The length of a tick in microseconds. Timers fire up to one tick late and never early.
pub const TICK: Micros = 1_000;

const SLOT_BITS: u32 = 6;
const SLOTS: usize = 1 << SLOT_BITS;
const LEVELS: usize = 5;
/// A mask of the bits of a tick that the levels cover.
const HORIZON: u64 = (1 << (SLOT_BITS * LEVELS as u32)) - 1;
/// The index that ends a list.
const NONE: u32 = u32::MAX;

/// The key of a timer. After the timer has fired or was cancelled, the key is stale and cancels nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Entry<T> {
    /// `None` marks a free entry.
    value: Option<T>,
    /// The tick at which the timer is due.
    due: u64,
    slot: u16,
    /// Incremented when the entry is freed, so that keys of earlier timers are stale.
    generation: u32,
    previous: u32,
    next: u32,
}

/// A timer wheel with a value of type `T` for each timer.
#[derive(Debug)]
pub struct Wheel<T> {
    /// Every tick before this one has been processed.
    next_tick: u64,
    entries: Vec<Entry<T>>,
    /// The first free entry; the others are linked by `next`.
    free: u32,
    /// The first and the last entry of each slot's list.
    first: [u32; LEVELS * SLOTS],
    last: [u32; LEVELS * SLOTS],
    /// One bit for each slot of a level, set where its list is not empty.
    occupied: [u64; LEVELS],
    len: usize,
}

impl<T> Wheel<T> {
    /// An empty wheel whose current time is `now`.
    pub fn new(now: Micros) -> Self {
        Wheel {
            next_tick: tick(now),
            entries: Vec::new(),
            free: NONE,
            first: [NONE; LEVELS * SLOTS],
            last: [NONE; LEVELS * SLOTS],
            occupied: [0; LEVELS],
            len: 0,
        }
    }

    /// The number of timers that are set.
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets a timer. A timer whose time has passed fires at the next call of [`Wheel::expire`].
    pub fn set(&mut self, at: Micros, value: T) -> Key {
        let index = if self.free == NONE {
            self.entries.push(Entry {
                value: None,
                due: 0,
                slot: 0,
                generation: 0,
                previous: NONE,
                next: NONE,
            });
            (self.entries.len() - 1) as u32
        } else {
            let index = self.free;
            self.free = self.entries[index as usize].next;
            index
        };
        let entry = &mut self.entries[index as usize];
        entry.value = Some(value);
        // Rounded up, so that no timer fires early.
        entry.due = tick(at + TICK - 1);
        let generation = entry.generation;
        self.link(index);
        self.len += 1;
        Key { index, generation }
    }

    /// Cancels a timer and returns its value; `None` where it has fired or was cancelled before.
    pub fn cancel(&mut self, key: Key) -> Option<T> {
        let entry = self.entries.get(key.index as usize)?;
        if entry.generation != key.generation || entry.value.is_none() {
            return None;
        }
        self.unlink(key.index);
        Some(self.free_entry(key.index))
    }

    /// A lower bound of the time at which the next timer fires; `None` where no timer is set.
    pub fn next(&self) -> Option<Micros> {
        self.next_slot().map(|(tick, ..)| tick as Micros * TICK)
    }

    /// Removes the next due timer and returns its value. Timers fire in the order of their ticks; timers of
    /// one tick fire in the order in which they were set.
    pub fn expire(&mut self, now: Micros) -> Option<T> {
        let target = tick(now);
        while let Some((start, level, slot)) = self.next_slot().filter(|(start, ..)| *start <= target) {
            self.next_tick = self.next_tick.max(start);
            let index = self.first[level * SLOTS + slot];
            self.unlink(index);
            if level == 0 && self.entries[index as usize].due <= start {
                return Some(self.free_entry(index));
            }
            // The timer moves down towards level 0. A timer beyond the horizon is linked again.
            if level == 0 {
                self.next_tick = start + 1;
            }
            self.link(index);
        }
        self.next_tick = self.next_tick.max(target);
        None
    }

    /// The first occupied slot, as its start tick, level and slot number. Of two slots with the same start,
    /// the higher level comes first, since its timers have to move to the lower one.
    fn next_slot(&self) -> Option<(u64, usize, usize)> {
        let mut found: Option<(u64, usize, usize)> = None;
        for level in (0..LEVELS).rev() {
            let shift = SLOT_BITS * level as u32;
            let at = (self.next_tick >> shift) as usize % SLOTS;
            let ahead = self.occupied[level] >> at;
            if ahead == 0 {
                continue;
            }
            let slot = at + ahead.trailing_zeros() as usize;
            let start =
                (self.next_tick >> (shift + SLOT_BITS) << (shift + SLOT_BITS)) | (slot as u64) << shift;
            // The slot of the current tick may have started earlier.
            let start = start.max(self.next_tick);
            if found.is_none_or(|(earliest, ..)| start < earliest) {
                found = Some((start, level, slot));
            }
        }
        found
    }

    fn link(&mut self, index: u32) {
        let due = self.entries[index as usize].due;
        let due = due.clamp(self.next_tick, self.next_tick | HORIZON);
        let differ = (due ^ self.next_tick) | (SLOTS as u64 - 1);
        let level = ((u64::BITS - 1 - differ.leading_zeros()) / SLOT_BITS) as usize;
        let slot = (due >> (SLOT_BITS * level as u32)) as usize % SLOTS;
        let list = level * SLOTS + slot;
        let last = self.last[list];
        let entry = &mut self.entries[index as usize];
        (entry.slot, entry.previous, entry.next) = (list as u16, last, NONE);
        match last {
            NONE => self.first[list] = index,
            last => self.entries[last as usize].next = index,
        }
        self.last[list] = index;
        self.occupied[level] |= 1 << slot;
    }

    fn unlink(&mut self, index: u32) {
        let Entry { slot, previous, next, .. } = self.entries[index as usize];
        let list = usize::from(slot);
        match previous {
            NONE => self.first[list] = next,
            previous => self.entries[previous as usize].next = next,
        }
        match next {
            NONE => self.last[list] = previous,
            next => self.entries[next as usize].previous = previous,
        }
        if self.first[list] == NONE {
            self.occupied[list / SLOTS] &= !(1 << (list % SLOTS));
        }
    }

    /// Frees an unlinked entry and returns its value.
    fn free_entry(&mut self, index: u32) -> T {
        self.len -= 1;
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        entry.next = std::mem::replace(&mut self.free, index);
        entry.value.take().expect("a linked entry holds a value")
    }
}

fn tick(at: Micros) -> u64 {
    at.max(0) as u64 / TICK as u64
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use proptest::prelude::*;

    use super::*;

    #[derive(Clone, Debug)]
    enum Step {
        Set(i64),
        Cancel(usize),
        Advance(i64),
    }

    fn step() -> impl Strategy<Value = Step> {
        // Delays of every magnitude, so that every level and the horizon are covered.
        let span = prop_oneof![0..100i64, 0..70_000i64, 0..20_000_000i64, 0..4_000_000_000_000i64];
        prop_oneof![
            4 => span.clone().prop_map(Step::Set),
            1 => any::<usize>().prop_map(Step::Cancel),
            3 => span.prop_map(Step::Advance),
        ]
    }

    proptest! {
        /// Compares the wheel with a model: an ordered map by due tick and order of setting.
        #[test]
        fn fires_the_same_timers_as_an_ordered_map(
            start in 0..1i64 << 50,
            steps in prop::collection::vec(step(), 1..120),
        ) {
            let mut now = start;
            let (mut wheel, mut model, mut keys) = (Wheel::new(now), BTreeMap::new(), Vec::new());
            for (serial, step) in steps.into_iter().enumerate() {
                match step {
                    Step::Set(after) => {
                        let due = (now + after + TICK - 1) / TICK;
                        keys.push((wheel.set(now + after, serial), (due, serial)));
                        model.insert((due, serial), ());
                    }
                    Step::Cancel(which) if !keys.is_empty() => {
                        let (key, named) = keys[which % keys.len()];
                        prop_assert_eq!(wheel.cancel(key).is_some(), model.remove(&named).is_some());
                    }
                    Step::Cancel(_) => {}
                    Step::Advance(by) => {
                        now += by;
                        let mut fired = Vec::new();
                        while let Some(serial) = wheel.expire(now) {
                            fired.push(serial);
                        }
                        let later = model.split_off(&(now / TICK + 1, 0));
                        let due: Vec<usize> = model.into_keys().map(|(_, serial)| serial).collect();
                        model = later;
                        fired.sort_unstable();
                        let mut expected = due;
                        expected.sort_unstable();
                        prop_assert_eq!(fired, expected);
                    }
                }
                prop_assert_eq!(wheel.len(), model.len());
                match (wheel.next(), model.keys().next()) {
                    (Some(next), Some(&(due, _))) => prop_assert!(next <= due * TICK),
                    (next, first) => prop_assert_eq!(next.is_some(), first.is_some()),
                }
            }
        }
    }

    #[test]
    fn timers_fire_in_order_of_their_times() {
        let mut wheel = Wheel::new(0);
        let times = [70_000_000, 3_000, 500_000_000, 64_000, 3_000, 4_096_000, 65_000];
        for (index, at) in times.into_iter().enumerate() {
            wheel.set(at, index);
        }
        let mut fired = Vec::new();
        while let Some(next) = wheel.next() {
            while let Some(index) = wheel.expire(next) {
                fired.push(index);
            }
        }
        assert_eq!(fired, [1, 4, 3, 6, 5, 0, 2]);
    }
}
