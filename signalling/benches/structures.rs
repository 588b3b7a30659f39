//! Benchmarks of the timer wheel against a binary heap, and of the prefix trie against a scan, with the same
//! operations.
//!
//! `cargo bench -p steprelay-signalling --bench structures`. Only ratios within one run are comparable.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};

use divan::Bencher;
use steprelay_signalling::trie::PrefixTrie;
use steprelay_signalling::wheel::Wheel;

fn main() {
    println!("seed {SEED}; {} cores", std::thread::available_parallelism().map_or(0, usize::from));
    divan::main();
}

const SEED: u64 = 0x9e37_79b9_7f4a_7c15;
const SIZES: [usize; 4] = [10, 1_000, 100_000, 1_000_000];
/// The operations of one measured round.
const OPERATIONS_PER_ROUND: usize = 1_000;

/// A xorshift generator, so that both implementations get the same values.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A timer duration between 15 s and 60 s, the range of most timers of Q.764.
    fn duration(&mut self) -> i64 {
        15_000_000 + (self.next() % 45_000_000) as i64
    }
}

/// The average time in microseconds after which a timer is cancelled, as that of a call which proceeds.
const MEAN_HOLD_US: i64 = 8_000_000;
/// Operations per timer before the measurement: by then the heap has reached the cancelled entries it holds.
const WARM_UP_OPERATIONS_PER_TIMER: usize = 8;

/// Sets a timer and cancels another, as a call does that is answered in time; a few timers expire.
#[divan::bench(args = SIZES, max_time = 3)]
fn wheel_set_and_cancel(bencher: Bencher, live: usize) {
    let (mut random, mut now, mut wheel) = (Random(SEED), 0, Wheel::new(0));
    let mut keys: Vec<_> = (0..live).map(|index| wheel.set(random.duration(), index)).collect();
    let mut round = |operations: usize| {
        for operation in 0..operations {
            let index = random.next() as usize % live;
            wheel.cancel(keys[index]);
            keys[index] = wheel.set(now + random.duration(), index);
            now += MEAN_HOLD_US / live as i64;
            while let Some(index) = wheel.expire(now) {
                keys[index] = wheel.set(now + random.duration(), index);
            }
            std::hint::black_box(operation);
        }
    };
    round(WARM_UP_OPERATIONS_PER_TIMER * live);
    bencher.bench_local(|| round(OPERATIONS_PER_ROUND));
}

/// The same with a heap, which drops cancelled entries as they reach its top.
#[divan::bench(args = SIZES, max_time = 3)]
fn heap_set_and_cancel(bencher: Bencher, live: usize) {
    let (mut random, mut now, mut heap) = (Random(SEED), 0, BinaryHeap::new());
    let mut serial = 0u64;
    let mut cancelled = HashSet::new();
    let mut keys: Vec<u64> = (0..live)
        .map(|index| {
            serial += 1;
            heap.push(Reverse((random.duration(), serial, index)));
            serial
        })
        .collect();
    let mut round = |operations: usize| {
        for operation in 0..operations {
            let index = random.next() as usize % live;
            cancelled.insert(keys[index]);
            serial += 1;
            keys[index] = serial;
            heap.push(Reverse((now + random.duration(), serial, index)));
            now += MEAN_HOLD_US / live as i64;
            while heap.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
                let Some(Reverse((_, key, index))) = heap.pop() else { break };
                if !cancelled.remove(&key) {
                    serial += 1;
                    keys[index] = serial;
                    heap.push(Reverse((now + random.duration(), serial, index)));
                }
            }
            std::hint::black_box(operation);
        }
    };
    round(WARM_UP_OPERATIONS_PER_TIMER * live);
    bencher.bench_local(|| round(OPERATIONS_PER_ROUND));
}

const PREFIXES: [usize; 4] = [1, 10, 1_000, 100_000];

fn prefixes(count: usize) -> Vec<(String, u32)> {
    let mut random = Random(SEED);
    let mut found = std::collections::BTreeMap::new();
    while found.len() < count {
        let digits = 2 + random.next() % 7;
        let prefix = (0..digits).map(|_| char::from(b'0' + (random.next() % 10) as u8)).collect::<String>();
        found.insert(prefix, found.len() as u32);
    }
    found.into_iter().collect()
}

fn numbers() -> Vec<String> {
    let mut random = Random(SEED ^ 1);
    (0..OPERATIONS_PER_ROUND)
        .map(|_| (0..11).map(|_| char::from(b'0' + (random.next() % 10) as u8)).collect())
        .collect()
}

#[divan::bench(args = PREFIXES)]
fn trie_longest(bencher: Bencher, count: usize) {
    let trie = PrefixTrie::new(prefixes(count)).expect("distinct prefixes of digits");
    let numbers = numbers();
    bencher.bench_local(|| numbers.iter().filter(|number| trie.longest(number).is_some()).count());
}

#[divan::bench(args = PREFIXES, max_time = 2)]
fn scan_longest(bencher: Bencher, count: usize) {
    let prefixes = prefixes(count);
    let numbers = numbers();
    bencher.bench_local(|| {
        let longest = |number: &String| {
            let matching = prefixes.iter().filter(|(prefix, _)| number.starts_with(prefix));
            matching.max_by_key(|(prefix, _)| prefix.len()).map(|(_, value)| *value)
        };
        numbers.iter().filter(|number| longest(number).is_some()).count()
    });
}
