//! Demand for each key, from two decayed counts: a slow one, which is accurate, and a fast one, which
//! detects changes early.

use std::{collections::BTreeMap, ops::Add, time::Duration};

use crate::{
    key::{Key, KeyRange},
    map::Map,
};

/// Time constant of the decay of the fast count. See [`Rates`].
///
/// After one second, a key with 27 requests a second has a fast count of 17, accurate to a fifth. With
/// 0.6 s, 1.3 s and 1.8 s about as many requests of a burst were refused (15.5, 14.6 and 14.4 against 15.4,
/// in simulations without network, with bursts for 60 keys).
pub(super) const FAST_DECAY_TIME: Duration = Duration::from_millis(900);

/// Deviation of a range's fast count from its expected value, in square roots of that value, above which
/// the demand counts as changed.
///
/// The decayed count of a steady rate has a standard error of its square root over 1.4, so that this is
/// some 4 standard errors: one check in 10,000 exceeds it by chance. Twenty owners are checked 50 times a
/// second, and checks less than a second apart see the same requests, so that a change is falsely
/// detected every few minutes.
const CHANGE_THRESHOLD: f64 = 2.8;

/// Sum of the fast counts of all keys from which they are used: the sum is then accurate to a sixth.
const MIN_FAST_TOTAL: f64 = 20.0;

/// Decayed counts of requests for one key.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayedCount {
    /// Decayed by [`super::DECAY_TIME`].
    pub(super) slow: f64,
    /// Decayed by [`FAST_DECAY_TIME`].
    pub(super) fast: f64,
}

/// Demand for each key, as the count to which a steady rate converges when decayed by
/// [`super::DECAY_TIME`].
///
/// The slow count is the best estimate of a steady rate, but lags behind changes: a key that has become hot
/// isn't recognized for two seconds, and after a burst its former owner looks busy and receives no keys for
/// ten. A range whose demand has certainly changed is therefore estimated by its fast count alone. Together
/// with the moves of single keys that overwhelm their owner, this reduces refusals by two fifths under a low
/// load with two bursts (from 0.015 to 0.009 of all requests).
#[derive(Debug, Clone, Default)]
pub struct Rates {
    keys: BTreeMap<Key, f64>,
}

impl Add for DecayedCount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self { slow: self.slow + other.slow, fast: self.fast + other.fast }
    }
}

impl Rates {
    /// Chooses between the slow and the fast count of each key, by the ranges of the map.
    pub(super) fn of_counts(counts: &BTreeMap<Key, DecayedCount>, map: &Map) -> Self {
        let Some(fast) = FastEstimator::of(counts.values()) else {
            return Self { keys: counts.iter().map(|(key, count)| (*key, count.slow)).collect() };
        };
        let mut keys = BTreeMap::new();
        for assignment in map.assignments() {
            let inside = || counts.range(assignment.range.first..=assignment.range.last);
            let all = inside().fold(DecayedCount::default(), |sum, (_, count)| sum + *count);
            let has_changed = fast.differs(all);
            let rate = |count: DecayedCount| match has_changed || fast.has_fallen(count) {
                true => fast.estimate(count),
                false => count.slow,
            };
            keys.extend(inside().map(|(key, count)| (*key, rate(*count))));
        }
        Self { keys }
    }

    /// Sum of the counts of all keys in a range.
    pub fn count_in(&self, range: KeyRange) -> f64 {
        self.keys.range(range.first..=range.last).map(|(_, count)| count).sum()
    }

    /// The keys of a range for which there is demand, ascending, with their counts.
    pub fn keys(&self, range: KeyRange) -> impl Iterator<Item = (Key, f64)> + '_ {
        self.keys.range(range.first..=range.last).map(|(key, count)| (*key, *count))
    }

    /// Sum of the counts of all keys.
    pub fn total(&self) -> f64 {
        self.keys.values().sum()
    }
}

/// Estimates slow counts from fast ones.
///
/// The ratio between the two is measured over all keys, so that a change that concerns all keys alike isn't
/// taken for a change of any of them: callers that send more or less, a failure domain that is cut off,
/// reports that are lost while another host becomes the leader. With a constant ratio, some ranges would
/// look changed at such a moment and others not, and keys would move without need: this lowered the
/// rated value of the answers by 0.005 under a load without hot keys.
#[derive(Debug, Clone, Copy)]
struct FastEstimator {
    /// Slow count of all keys divided by their fast count.
    slow_per_fast: f64,
}

impl FastEstimator {
    fn of<'a>(counts: impl Iterator<Item = &'a DecayedCount>) -> Option<Self> {
        let all = counts.fold(DecayedCount::default(), |sum, count| sum + *count);
        (all.fast >= MIN_FAST_TOTAL).then(|| Self { slow_per_fast: all.slow / all.fast })
    }

    /// Whether the fast count differs from the slow one by more than chance.
    fn differs(self, count: DecayedCount) -> bool {
        let expected = count.slow / self.slow_per_fast;
        (count.fast - expected).abs() > CHANGE_THRESHOLD * expected.max(1.0).sqrt()
    }

    /// Whether a hot key has cooled down. Its range may not show it for some seconds, because of the other
    /// keys.
    fn has_fallen(self, count: DecayedCount) -> bool {
        self.estimate(count) < count.slow && self.differs(count)
    }

    /// The slow count that corresponds to the fast one.
    fn estimate(self, count: DecayedCount) -> f64 {
        count.fast * self.slow_per_fast
    }
}
