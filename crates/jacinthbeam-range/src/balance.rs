//! Load balancing: which narrow ranges to move so that no owner is much more loaded than the others.
//!
//! Two load patterns decide the design. In the first, a few hundred adjacent keys receive a third of
//! all requests, and other keys become hot within seconds. An even division of the keys gives them all
//! to one or two owners. Moving the narrowest window that carries the surplus spreads the load while
//! few keys change owners, and each move makes its keys unavailable only until their running requests
//! end.
//!
//! In the second, a single key receives a third of all requests. It can't be split, so all other keys
//! are moved away from its owner, and the key itself moves to a faster server if its owner is slow.

use std::collections::BTreeMap;

use jacinthbeam_types::prelude::*;

use crate::{
    demand::{DECAY_TIME, Rates},
    key::{Key, KeyRange},
    map::{Map, Owner},
};

/// A server that can own keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The server.
    pub owner: Owner,
    /// Requests a second that it can serve: its slots divided by the service time.
    pub capacity: f64,
    /// Whether it is cold, so that a single hot key may exceed the rate that it accepts.
    pub cold: bool,
    /// Whether it states a rate limit or asks hosts to pause, so that what exceeds its capacity is refused.
    pub refuses_excess: bool,
}

/// A proposed change of owner.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// The keys to move, all of one owner.
    pub range: KeyRange,
    /// Their new owner.
    pub to: Owner,
}

/// Ratio of an owner's load to its share above which keys are moved away from it. With a lower ratio the
/// error of the counts (some 20 % for an average server) would cause moves that gain nothing.
const OVERLOAD_RATIO: f64 = 1.25;

/// Ratio of an owner's load to its share up to which it receives keys. With a ratio of 1, the rest of a
/// surplus would stay where it is, since every other owner would lack less than [`MIN_MOVED_COUNT`].
const FILL_RATIO: f64 = 1.15;

/// Number of standard errors (square roots of the count) by which a load must exceed its share to count
/// as a surplus, among [`FEW_OWNERS`].
const MIN_STANDARD_ERRORS: f64 = 2.0;

/// Number of owners of a small service.
const FEW_OWNERS: f64 = 20.0;

/// The number of standard errors among `owners`.
///
/// The largest of `n` random deviations grows as the square root of `2 ln n`. With one bound for all sizes, some of a thousand owners would
/// look overloaded in every check.
fn min_standard_errors(owners: usize) -> f64 {
    let largest = |owners: f64| (2.0 * owners.ln()).sqrt();
    MIN_STANDARD_ERRORS + largest((owners as f64).max(FEW_OWNERS)) - largest(FEW_OWNERS)
}

/// Fraction of its warm capacity up to which a cold server is assigned load.
pub const COLD_CAPACITY_SHARE: f64 = 0.5;

/// Fraction of its rate limit up to which a rate-limited server is assigned load.
pub const LIMITED_CAPACITY_SHARE: f64 = 0.5;

/// Smallest decayed count that is worth a move: one request a second over
/// [`crate::demand::DECAY_TIME`].
const MIN_MOVED_COUNT: f64 = 4.0;

/// The same for the keys of an owner that refuses the excess.
const MIN_MOVED_COUNT_REFUSED: f64 = 1.0;

/// A key that overwhelms its owner moves only to a server with this many times the capacity. The move
/// delays the key's requests until the old owner has answered what it had, which takes up to a second of
/// the few that a burst lasts. Capacities are also known only roughly: that of one server was measured
/// as 11 to 18 requests a second within four seconds. A factor of 1.2 gave no improvement.
const MIN_SPEEDUP: f64 = 1.5;

/// Index into the list of candidates. Balancing some hundred owners compares their loads some hundred
/// times, and looking each one up by its id took most of the leader's processor time.
type Index = usize;

/// Loads of the candidates as they would be after the moves proposed so far.
struct Plan<'a> {
    rates: &'a Rates,
    candidates: &'a [Candidate],
    /// Decayed request count of each candidate.
    load: Vec<f64>,
    /// Count that each would have if all used the same fraction of their capacity.
    share: Vec<f64>,
    /// Ranges that each owns according to the map.
    ranges: Vec<Vec<KeyRange>>,
}

impl<'a> Plan<'a> {
    fn new(map: &Map, rates: &'a Rates, candidates: &'a [Candidate]) -> Self {
        let capacity: f64 = candidates.iter().map(|c| c.capacity).sum();
        let total = rates.total();
        let share =
            |c: &Candidate| if capacity > 0.0 { total * c.capacity / capacity } else { 0.0 };
        let indexes: BTreeMap<&ServerId, Index> =
            candidates.iter().enumerate().map(|(at, c)| (&c.owner.server, at)).collect();
        let mut ranges = vec![Vec::new(); candidates.len()];
        for assignment in map.assignments() {
            let owner = assignment.owner.as_ref().and_then(|owner| indexes.get(&owner.server));
            if let Some(at) = owner {
                ranges[*at].push(assignment.range);
            }
        }
        Self {
            rates,
            candidates,
            load: ranges
                .iter()
                .map(|owned| owned.iter().map(|range| rates.count_in(*range)).sum())
                .collect(),
            share: candidates.iter().map(share).collect(),
            ranges,
        }
    }

    fn surplus(&self, at: Index) -> f64 {
        self.load[at] - self.share[at]
    }

    /// Count that a candidate can receive.
    fn headroom(&self, at: Index) -> f64 {
        self.share[at] * FILL_RATIO - self.load[at]
    }

    /// Smallest count that is worth a move away from a candidate.
    fn min_moved(&self, from: Index) -> f64 {
        match self.candidates[from].refuses_excess {
            true => MIN_MOVED_COUNT_REFUSED,
            false => MIN_MOVED_COUNT,
        }
    }

    /// The candidate that is furthest below its share, other than `excluded`.
    fn least_loaded(&self, excluded: Option<Index>) -> Option<Index> {
        let others = (0..self.candidates.len()).filter(|at| Some(*at) != excluded);
        others.min_by(|a, b| self.surplus(*a).total_cmp(&self.surplus(*b)))
    }

    /// The candidate that exceeds its share by the highest ratio, if that is significant. Skips `stuck`.
    fn most_overloaded(&self, stuck: &[Index]) -> Option<Index> {
        let others = (0..self.candidates.len()).filter(|at| !stuck.contains(at));
        let ratio = |at: &Index| self.load[*at] / self.share[*at].max(f64::EPSILON);
        let worst = others.max_by(|a, b| ratio(a).total_cmp(&ratio(b)))?;
        let (load, share) = (self.load[worst], self.share[worst]);
        let bound = min_standard_errors(self.candidates.len()) * share.max(1.0).sqrt();
        let is_significant = load - share > bound;
        (load > share * OVERLOAD_RATIO && is_significant).then_some(worst)
    }

    /// What a candidate owns outside the `excluded` ranges.
    fn movable<'b>(
        &'b self,
        at: Index,
        excluded: &'b [KeyRange],
    ) -> impl Iterator<Item = KeyRange> + 'b {
        self.ranges[at].iter().flat_map(|range| subtract(*range, excluded))
    }

    /// The hottest key of a candidate, if its requests alone exceed the candidate's capacity, and the
    /// fastest warm server that isn't overloaded, if it has [`MIN_SPEEDUP`] times the capacity.
    fn overwhelming_key(&self, from: Index, excluded: &[KeyRange]) -> Option<(KeyRange, Index)> {
        let keys = self.movable(from, excluded).flat_map(|range| self.rates.keys(range));
        let (key, count) = keys.max_by(|a, b| a.1.total_cmp(&b.1))?;
        let capacity = |at: Index| self.candidates[at].capacity;
        if count <= capacity(from) * DECAY_TIME.as_secs_f64() {
            return None;
        }
        let has_room = |at: &Index| self.load[*at] <= self.share[*at] * OVERLOAD_RATIO;
        let eligible = (0..self.load.len()).filter(|at| !self.candidates[*at].cold && has_room(at));
        let fastest = eligible.max_by(|a, b| capacity(*a).total_cmp(&capacity(*b)))?;
        let range = KeyRange { first: key, last: key };
        (capacity(fastest) >= capacity(from) * MIN_SPEEDUP).then_some((range, fastest))
    }

    /// The window of a candidate's keys with the highest [`Window::value`] among those whose count
    /// doesn't exceed `wanted` by far.
    fn best_window(&self, from: Index, excluded: &[KeyRange], wanted: f64) -> Option<KeyRange> {
        let windows = self
            .movable(from, excluded)
            .filter_map(|range| best_window(&self.rates.keys(range).collect::<Vec<_>>(), wanted));
        windows.max_by(|a, b| a.value().total_cmp(&b.value())).map(|window| window.range)
    }

    /// Accounts for a move of `range`, and returns it.
    fn assign(&mut self, range: KeyRange, from: Option<Index>, to: Index) -> Move {
        let count = self.rates.count_in(range);
        if let Some(from) = from {
            self.load[from] -= count;
        }
        self.load[to] += count;
        Move { range, to: self.candidates[to].owner.clone() }
    }
}

/// Ratio of the load of the busiest owner to the mean of all owners. `None` while there is no load.
pub fn imbalance(map: &Map, rates: &Rates) -> Option<f64> {
    let mut load: BTreeMap<&ServerId, f64> = BTreeMap::new();
    for assignment in map.assignments() {
        let Some(owner) = &assignment.owner else { continue };
        *load.entry(&owner.server).or_default() += rates.count_in(assignment.range);
    }
    let total: f64 = load.values().sum();
    let highest = load.values().copied().fold(0.0, f64::max);
    (total > 0.0).then(|| highest * load.len() as f64 / total)
}

/// At most `max_moves` moves of keys away from overloaded owners. Keys in the `fixed` ranges don't move,
/// since they are moving already or have just moved.
pub fn rebalance(
    map: &Map,
    rates: &Rates,
    candidates: &[Candidate],
    fixed: &[KeyRange],
    max_moves: usize,
) -> Vec<Move> {
    let mut plan = Plan::new(map, rates, candidates);
    let mut moves: Vec<Move> = Vec::new();
    let mut excluded = fixed.to_vec();
    let mut stuck = Vec::new();
    while moves.len() < max_moves {
        let Some(from) = plan.most_overloaded(&stuck) else { break };
        let (range, to) = match plan.overwhelming_key(from, &excluded) {
            Some(key_and_server) => key_and_server,
            None => {
                let Some(to) = plan.least_loaded(Some(from)) else { break };
                let wanted = plan.surplus(from).min(plan.headroom(to));
                let window = plan.best_window(from, &excluded, wanted);
                let Some(range) = window.filter(|_| wanted >= plan.min_moved(from)) else {
                    stuck.push(from);
                    continue;
                };
                (range, to)
            }
        };
        excluded.push(range);
        moves.push(plan.assign(range, Some(from), to));
    }
    moves
}

/// New owners for ranges that must leave theirs.
///
/// Each range is first split by load and width. The load of one owner is then spread over several others
/// rather than doubling that of one, however close together its hot keys are, and the keys of a piece are
/// unavailable only until the requests for this piece have ended. Each piece is assigned to the candidate
/// that is furthest below its share at that moment; pieces without load are assigned to the one with the
/// fewest keys for its capacity.
pub fn place(map: &Map, rates: &Rates, candidates: &[Candidate], ranges: &[KeyRange]) -> Vec<Move> {
    let mut plan = Plan::new(map, rates, candidates);
    let width = |owned: &Vec<KeyRange>| owned.iter().map(|range| range.width()).sum();
    let mut keys: Vec<u32> = plan.ranges.iter().map(width).collect();
    let mut moves = Vec::new();
    let max_load = plan.share.iter().copied().fold(f64::INFINITY, f64::min).max(MIN_MOVED_COUNT)
        * PIECE_LOAD_SHARE;
    let max_pieces =
        (TOTAL_PIECE_BUDGET / candidates.len().max(1)).clamp(MIN_PIECE_LIMIT, MAX_PIECE_LIMIT);
    for range in ranges.iter().flat_map(|range| split_by_load(rates, *range, max_load, max_pieces))
    {
        let is_idle = rates.count_in(range) < MIN_MOVED_COUNT / 4.0;
        let to = if is_idle {
            let relative_width =
                |at: &Index| f64::from(keys[*at]) / candidates[*at].capacity.max(f64::EPSILON);
            (0..candidates.len()).min_by(|a, b| relative_width(a).total_cmp(&relative_width(b)))
        } else {
            plan.least_loaded(None)
        };
        let Some(to) = to else { break };
        keys[to] += range.width();
        moves.push(plan.assign(range, None, to));
    }
    moves
}

/// Approximate maximum number of keys in a piece, unless `max_pieces` requires wider ones: an eighth of
/// what each of twenty owners has.
const MAX_PIECE_WIDTH: u32 = 410;

/// Maximum load of a piece, as a fraction of the smallest owner's share.
const PIECE_LOAD_SHARE: f64 = 0.25;

/// Upper bound of the limit of pieces for one range, since each piece costs a call to two servers.
const MAX_PIECE_LIMIT: usize = 12;

/// Divided by the number of owners, the limit of pieces for one range. Among many owners, three are
/// enough to receive what one leaves. With more pieces, a map of 181 owners grew to 1,100 to 2,500
/// ranges while half of the owners were replaced, and each range costs a call in every renewal.
const TOTAL_PIECE_BUDGET: usize = 264;

/// Lower bound of the limit of pieces for one range.
const MIN_PIECE_LIMIT: usize = 3;

/// Splits a range into about `max_pieces` pieces at most. The load of a piece is at most `max_load` unless
/// it is that of a single key, and its width about [`MAX_PIECE_WIDTH`]; both grow if the range would need
/// too many pieces.
fn split_by_load(
    rates: &Rates,
    range: KeyRange,
    max_load: f64,
    max_pieces: usize,
) -> Vec<KeyRange> {
    let max_load = max_load.max(rates.count_in(range) / max_pieces as f64);
    let max_width = MAX_PIECE_WIDTH.max(range.width() / max_pieces as u32 * 2);
    let mut split = Vec::new();
    let mut first = range.first;
    let mut load = 0.0;
    for (key, count) in rates.keys(range) {
        if load > 0.0 && load + count > max_load {
            let piece = KeyRange { first, last: Key(key.0 - 1) };
            split.extend(piece.split_evenly(piece.width().div_ceil(max_width)));
            (first, load) = (key, 0.0);
        }
        load += count;
    }
    let piece = KeyRange { first, last: range.last };
    split.extend(piece.split_evenly(piece.width().div_ceil(max_width)));
    split
}

/// The parts of `range` that are in none of `excluded`.
pub(crate) fn subtract(range: KeyRange, excluded: &[KeyRange]) -> Vec<KeyRange> {
    let mut left = vec![range];
    for excluded in excluded {
        left = left
            .into_iter()
            .flat_map(|range| {
                if !range.overlaps(*excluded) {
                    return [Some(range), None];
                }
                [range.below(*excluded), range.above(*excluded)]
            })
            .flatten()
            .collect();
    }
    left
}

/// A run of keys that could move together.
struct Window {
    range: KeyRange,
    count: f64,
}

impl Window {
    /// Gain of the move less the cost of moving its keys: a twentieth of all keys counts as much as half
    /// a request a second.
    fn value(&self) -> f64 {
        self.count - f64::from(self.range.width()) / 1640.0
    }
}

/// The window with the highest value whose count is at least 1 and at most `wanted`. A window of a single
/// key may exceed `wanted` by half.
fn best_window(keys: &[(Key, f64)], wanted: f64) -> Option<Window> {
    let mut best: Option<Window> = None;
    let mut count = 0.0;
    let mut start = 0;
    for end in 0..keys.len() {
        count += keys[end].1;
        while start < end && count > wanted {
            count -= keys[start].1;
            start += 1;
        }
        if count > wanted * 1.5 {
            continue;
        }
        let range = KeyRange { first: keys[start].0, last: keys[end].0 };
        let window = Window { range, count };
        if best.as_ref().is_none_or(|best| window.value() > best.value()) {
            best = Some(window);
        }
    }
    best.filter(|window| window.count >= 1.0)
}
