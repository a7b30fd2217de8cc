//! How much is asked of each key now, from counts of the last seconds and of the present.

use std::{collections::BTreeMap, ops::Add, time::Duration};

use crate::{
    key::{Key, KeyRange},
    map::Map,
};

/// Time after which a count for the present has lost 63 % of its weight. See [`Rates`].
///
/// In a second a key that is asked for 27 times shows 17 of them, right to a fifth. With 0.6 s, 1.3 s and 1.8 s about as many
/// requests of a burst were refused (15.5, 14.6 and 14.4 against 15.4, in plays without network of bursts for 60 keys).
pub(super) const RECENT_DECAY_TIME: Duration = Duration::from_millis(900);

/// Standard errors by which the present of a range has to differ from its last seconds to be believed.
///
/// A faded count of a steady rate has a standard error of its root over 1.4, so that this is some 4 of them: one look in 10,000 by
/// chance. Twenty owners are looked at 50 times a second, and looks less than a second apart see the same requests, so that one
/// of them is wrongly believed every few minutes.
const CHANGED: f64 = 2.8;

/// Requests of the present that say something of all keys together: their count is then right to a sixth.
const FEWEST: f64 = 20.0;

/// Requests for one key.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Count {
    /// Faded by [`super::DECAY_TIME`].
    pub(super) steady: f64,
    /// Faded by [`RECENT_DECAY_TIME`].
    pub(super) present: f64,
}

/// What is asked of each key, as a count that a steady rate would have after some times [`super::DECAY_TIME`].
///
/// The last seconds tell it best while it is steady. When a key begins to be asked for, its count over these seconds takes as
/// long to rise, and it is treated as one of many for two of them; when it ceases, its owner looks busy, and is given nothing to
/// do, for ten. So a range whose present is surely another one is counted by the present alone. With what the balance does for a
/// single key that takes two fifths off the refusals of a quiet day with two bursts (0.015 to 0.009 of all requests, 34 plays).
#[derive(Debug, Clone, Default)]
pub struct Rates {
    keys: BTreeMap<Key, f64>,
}

impl Add for Count {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self { steady: self.steady + other.steady, present: self.present + other.present }
    }
}

impl Rates {
    /// Each key of the map's ranges by what is believed of it.
    pub(super) fn of_counts(counts: &BTreeMap<Key, Count>, map: &Map) -> Self {
        let Some(now) = Present::of(counts.values()) else {
            return Self { keys: counts.iter().map(|(key, count)| (*key, count.steady)).collect() };
        };
        let mut keys = BTreeMap::new();
        for held in map.assignments() {
            let inside = || counts.range(held.range.first..=held.range.last);
            let all = inside().fold(Count::default(), |sum, (_, count)| sum + *count);
            let changed = now.differs(all);
            let rate = |count: Count| match changed || now.has_fallen(count) {
                true => now.estimate(count),
                false => count.steady,
            };
            keys.extend(inside().map(|(key, count)| (*key, rate(*count))));
        }
        Self { keys }
    }

    /// Count of all keys in a range.
    pub fn count_in(&self, range: KeyRange) -> f64 {
        self.keys.range(range.first..=range.last).map(|(_, count)| count).sum()
    }

    /// The keys of a range that were asked for, ascending, with their counts.
    pub fn keys(&self, range: KeyRange) -> impl Iterator<Item = (Key, f64)> + '_ {
        self.keys.range(range.first..=range.last).map(|(key, count)| (*key, *count))
    }

    /// Count of all keys.
    pub fn total(&self) -> f64 {
        self.keys.values().sum()
    }
}

/// How many requests of the last seconds one of the present stands for.
///
/// Taken from all keys together, so that what changes for all of them alike is no change of any: callers that press more or less, a
/// failure domain that is cut off, reports that are lost while the duty changes hands. Without it such a moment makes some ranges
/// look changed and leaves others, and keys move for nothing: 0.005 less worth on a day without hot keys (18 plays).
#[derive(Debug, Clone, Copy)]
struct Present {
    stands_for: f64,
}

impl Present {
    fn of<'a>(counts: impl Iterator<Item = &'a Count>) -> Option<Self> {
        let all = counts.fold(Count::default(), |sum, count| sum + *count);
        (all.present >= FEWEST).then(|| Self { stands_for: all.steady / all.present })
    }

    /// Whether a count of the present differs from that of the last seconds by more than chance.
    fn differs(self, count: Count) -> bool {
        let expected = count.steady / self.stands_for;
        (count.present - expected).abs() > CHANGED * expected.max(1.0).sqrt()
    }

    /// Whether a key that was asked for often has ceased to be. The other keys of its range would hide it for some seconds.
    fn has_fallen(self, count: Count) -> bool {
        self.estimate(count) < count.steady && self.differs(count)
    }

    fn estimate(self, count: Count) -> f64 {
        count.present * self.stands_for
    }
}
