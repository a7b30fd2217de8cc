//! Which narrow ranges to move so that no owner has much more to do than the others.
//!
//! The pattern it answers: a few hundred keys that lie side by side take a third of all requests and change within seconds.
//! An even division of the keys gives them all to one or two owners. Moving the narrowest window that carries the surplus
//! spreads them with few keys changing hands, and each move costs its keys only the time until their running requests end.
//!
//! The other one: a single key takes a third. It can't be divided, so its owner is relieved of all other keys, and the key itself goes
//! to a faster server if its owner is a slow one.

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
    /// Who it is.
    pub owner: Owner,
    /// Requests a second that it can work off: its slots over the time that a request takes.
    pub capacity: f64,
    /// Whether it is cold, so that a key alone may be more than it takes.
    pub cold: bool,
}

/// A proposed change of owner.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// Keys of one owner.
    pub range: KeyRange,
    /// Who gets them.
    pub to: Owner,
}

/// An owner is relieved when it has this much more than its share. Below it the error of the counts (some 20 % of an
/// ordinary server's) would cause moves that gain nothing.
const SURPLUS: f64 = 1.25;

/// An owner is given work up to this much more than its share. Up to the share alone, the last of a surplus would find only
/// owners that lack less than is worth moving, and stay.
const FILLED: f64 = 1.15;

/// A surplus counts only if it is this many standard errors of the count (its square root) above the share.
const CERTAINTY: f64 = 2.0;

/// Part of its capacity that a server which has just started is given work for.
pub const COLD_CAPACITY_SHARE: f64 = 0.5;

/// Smallest count worth moving: a request a second, as [`crate::demand::DECAY_TIME`] counts it.
const WORTH_MOVING: f64 = 4.0;

/// A key that overwhelms its owner moves to a server that can do this much more. The move costs its requests the time until the
/// old owner has answered what it had, up to a second of the few that a burst lasts, and a capacity is not well known: one
/// server's was measured as 11 to 18 a second within four seconds. A factor of 1.2 gained nothing on the users' bench.
const FASTER: f64 = 1.5;

/// A candidate by its place among all. A look at some hundred owners compares their loads some hundred times, and looking each one up by its
/// name took most of the time of the host that grants.
type At = usize;

/// Loads and capacities of the candidates, as they would be after the moves proposed so far.
struct Plan<'a> {
    rates: &'a Rates,
    candidates: &'a [Candidate],
    /// What is asked of each.
    load: Vec<f64>,
    /// Count that each would have if all had the same share of their capacity.
    share: Vec<f64>,
    /// The ranges that each has by the map.
    held: Vec<Vec<KeyRange>>,
}

impl<'a> Plan<'a> {
    fn new(map: &Map, rates: &'a Rates, candidates: &'a [Candidate]) -> Self {
        let capacity: f64 = candidates.iter().map(|c| c.capacity).sum();
        let total = rates.total();
        let share =
            |c: &Candidate| if capacity > 0.0 { total * c.capacity / capacity } else { 0.0 };
        let places: BTreeMap<&ServerId, At> =
            candidates.iter().enumerate().map(|(at, c)| (&c.owner.server, at)).collect();
        let mut held = vec![Vec::new(); candidates.len()];
        for of in map.assignments() {
            let owner = of.owner.as_ref().and_then(|owner| places.get(&owner.server));
            if let Some(at) = owner {
                held[*at].push(of.range);
            }
        }
        Self {
            rates,
            candidates,
            load: held
                .iter()
                .map(|of| of.iter().map(|range| rates.count_in(*range)).sum())
                .collect(),
            share: candidates.iter().map(share).collect(),
            held,
        }
    }

    fn surplus(&self, at: At) -> f64 {
        self.load[at] - self.share[at]
    }

    /// Count that a candidate can take over.
    fn room(&self, at: At) -> f64 {
        self.share[at] * FILLED - self.load[at]
    }

    /// The candidate that has most room below its share, other than `not`.
    fn roomiest(&self, not: Option<At>) -> Option<At> {
        let others = (0..self.candidates.len()).filter(|at| Some(*at) != not);
        others.min_by(|a, b| self.surplus(*a).total_cmp(&self.surplus(*b)))
    }

    /// The candidate that is furthest above its share, if that is worth a move.
    fn busiest(&self, done: &[At]) -> Option<At> {
        let open = (0..self.candidates.len()).filter(|at| !done.contains(at));
        let relative = |at: &At| self.load[*at] / self.share[*at].max(f64::EPSILON);
        let worst = open.max_by(|a, b| relative(a).total_cmp(&relative(b)))?;
        let (load, share) = (self.load[worst], self.share[worst]);
        let certain = load - share > CERTAINTY * share.max(1.0).sqrt();
        (load > share * SURPLUS && certain).then_some(worst)
    }

    /// Ranges of a candidate that may move.
    fn free<'b>(&'b self, at: At, taken: &'b [KeyRange]) -> impl Iterator<Item = KeyRange> + 'b {
        self.held[at].iter().flat_map(|range| subtract(*range, taken))
    }

    /// A key that alone asks for more than its owner can do, and a server that can do much more of it.
    fn single(&self, from: At, taken: &[KeyRange]) -> Option<(KeyRange, At)> {
        let keys = self.free(from, taken).flat_map(|range| self.rates.keys(range));
        let (key, count) = keys.max_by(|a, b| a.1.total_cmp(&b.1))?;
        let capacity = |at: At| self.candidates[at].capacity;
        if count <= capacity(from) * DECAY_TIME.as_secs_f64() {
            return None;
        }
        let has_room = |at: &At| self.load[*at] <= self.share[*at] * SURPLUS;
        let free = (0..self.load.len()).filter(|at| !self.candidates[*at].cold && has_room(at));
        let fastest = free.max_by(|a, b| capacity(*a).total_cmp(&capacity(*b)))?;
        let range = KeyRange { first: key, last: key };
        (capacity(fastest) >= capacity(from) * FASTER).then_some((range, fastest))
    }

    /// The narrowest window of a candidate's keys whose count comes up to `wanted` without far exceeding it.
    fn narrowest(&self, from: At, taken: &[KeyRange], wanted: f64) -> Option<KeyRange> {
        let windows = self
            .free(from, taken)
            .filter_map(|range| window(&self.rates.keys(range).collect::<Vec<_>>(), wanted));
        windows.max_by(|a, b| a.value().total_cmp(&b.value())).map(|window| window.range)
    }

    fn give(&mut self, range: KeyRange, from: Option<At>, to: At) -> Move {
        let count = self.rates.count_in(range);
        if let Some(from) = from {
            self.load[from] -= count;
        }
        self.load[to] += count;
        Move { range, to: self.candidates[to].owner.clone() }
    }
}

/// Requests for the busiest owner's keys over the mean of all owners. `None` while nothing is asked.
pub fn imbalance(map: &Map, rates: &Rates) -> Option<f64> {
    let mut load: BTreeMap<&ServerId, f64> = BTreeMap::new();
    for held in map.assignments() {
        let Some(owner) = &held.owner else { continue };
        *load.entry(&owner.server).or_default() += rates.count_in(held.range);
    }
    let total: f64 = load.values().sum();
    let most = load.values().copied().fold(0.0, f64::max);
    (total > 0.0).then(|| most * load.len() as f64 / total)
}

/// Moves that relieve the busiest owners, at most `most`. `fixed` ranges stay where they are, since they are on their way
/// already or have just come.
pub fn rebalance(
    map: &Map,
    rates: &Rates,
    candidates: &[Candidate],
    fixed: &[KeyRange],
    most: usize,
) -> Vec<Move> {
    let mut plan = Plan::new(map, rates, candidates);
    let mut moves: Vec<Move> = Vec::new();
    let mut taken = fixed.to_vec();
    let mut done = Vec::new();
    while moves.len() < most {
        let Some(from) = plan.busiest(&done) else { break };
        let (range, to) = match plan.single(from, &taken) {
            Some(single) => single,
            None => {
                let Some(to) = plan.roomiest(Some(from)) else { break };
                let wanted = plan.surplus(from).min(plan.room(to));
                let window = plan.narrowest(from, &taken, wanted);
                let Some(range) = window.filter(|_| wanted >= WORTH_MOVING) else {
                    done.push(from);
                    continue;
                };
                (range, to)
            }
        };
        taken.push(range);
        moves.push(plan.give(range, Some(from), to));
    }
    moves
}

/// New owners for ranges that must leave theirs, each to the candidate with most room at that moment.
///
/// A range is cut first, by its load and its width: the load of one owner then reaches several others in place of doubling
/// that of one, however close together its hot keys lie, and the keys of a piece are away only until the piece's own requests
/// have ended. Ranges that nobody asks for go by their width.
pub fn place(map: &Map, rates: &Rates, candidates: &[Candidate], ranges: &[KeyRange]) -> Vec<Move> {
    let mut plan = Plan::new(map, rates, candidates);
    let width = |held: &Vec<KeyRange>| held.iter().map(|range| range.width()).sum();
    let mut keys: Vec<u32> = plan.held.iter().map(width).collect();
    let mut moves = Vec::new();
    let most = plan.share.iter().copied().fold(f64::INFINITY, f64::min).max(WORTH_MOVING) * PIECE;
    let pieces = (PIECES_TIMES_OWNERS / candidates.len().max(1)).clamp(FEWEST_PIECES, MOST_PIECES);
    for range in ranges.iter().flat_map(|range| cut(rates, *range, most, pieces)) {
        let unasked = rates.count_in(range) < WORTH_MOVING / 4.0;
        let to = if unasked {
            let filled =
                |at: &At| f64::from(keys[*at]) / candidates[*at].capacity.max(f64::EPSILON);
            (0..candidates.len()).min_by(|a, b| filled(a).total_cmp(&filled(b)))
        } else {
            plan.roomiest(None)
        };
        let Some(to) = to else { break };
        keys[to] += range.width();
        moves.push(plan.give(range, None, to));
    }
    moves
}

/// Widest range that changes its owner as one: an eighth of what one of twenty owners has.
const WIDEST_PIECE: u32 = 410;

/// Load of a piece, as a part of the smallest owner's share.
const PIECE: f64 = 0.25;

/// Most pieces of one range, since each is a call to two servers.
const MOST_PIECES: usize = 12;

/// Pieces of one range times the owners, at the most, but for [`FEWEST_PIECES`]: among many owners three of them take what one leaves. In
/// more pieces a map of 181 owners came to 1,100 to 2,500 ranges on a day on which half of them were replaced, each a call in every renewal.
const PIECES_TIMES_OWNERS: usize = 264;

/// Pieces of one range among however many owners.
const FEWEST_PIECES: usize = 3;

/// Cuts a range into some `pieces` at the most, of at most `most` load unless one key alone has more, and of about [`WIDEST_PIECE`] keys.
fn cut(rates: &Rates, range: KeyRange, most: f64, pieces: usize) -> Vec<KeyRange> {
    let most = most.max(rates.count_in(range) / pieces as f64);
    let widest = WIDEST_PIECE.max(range.width() / pieces as u32 * 2);
    let mut cut = Vec::new();
    let mut first = range.first;
    let mut load = 0.0;
    for (key, count) in rates.keys(range) {
        if load > 0.0 && load + count > most {
            let piece = KeyRange { first, last: Key(key.0 - 1) };
            cut.extend(piece.split_evenly(piece.width().div_ceil(widest)));
            (first, load) = (key, 0.0);
        }
        load += count;
    }
    let piece = KeyRange { first, last: range.last };
    cut.extend(piece.split_evenly(piece.width().div_ceil(widest)));
    cut
}

/// What of `range` is in none of `taken`.
pub(crate) fn subtract(range: KeyRange, taken: &[KeyRange]) -> Vec<KeyRange> {
    let mut left = vec![range];
    for taken in taken {
        left = left
            .into_iter()
            .flat_map(|range| {
                if !range.overlaps(*taken) {
                    return [Some(range), None];
                }
                [range.below(*taken), range.above(*taken)]
            })
            .flatten()
            .collect();
    }
    left
}

struct Window {
    range: KeyRange,
    count: f64,
}

impl Window {
    /// What the move brings, less what its keys cost: a twentieth of all keys weighs as much as half a request a second.
    fn value(&self) -> f64 {
        self.count - f64::from(self.range.width()) / 1640.0
    }
}

/// The best run of adjacent keys whose count is at most `wanted`, or the lightest single key if each exceeds it by no more
/// than half.
fn window(keys: &[(Key, f64)], wanted: f64) -> Option<Window> {
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
