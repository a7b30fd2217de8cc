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
    demand::{FADE, Rates},
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
pub const COLD_SHARE: f64 = 0.5;

/// Smallest count worth moving: a request a second, as [`crate::demand::FADE`] counts it.
const WORTH_MOVING: f64 = 4.0;

/// A key that overwhelms its owner moves to a server that can do this much more. The move costs its requests the time until the
/// old owner has answered what it had, up to a second of the few that a burst lasts, and a capacity is not well known: one
/// server's was measured as 11 to 18 a second within four seconds. A factor of 1.2 gained nothing on the users' bench.
const FASTER: f64 = 1.5;

/// Loads and capacities of the candidates, as they would be after the moves proposed so far.
struct Plan<'a> {
    rates: &'a Rates,
    load: BTreeMap<ServerId, f64>,
    /// Count that a candidate would have if all had the same share of their capacity.
    share: BTreeMap<ServerId, f64>,
    candidates: &'a [Candidate],
}

impl<'a> Plan<'a> {
    fn new(map: &Map, rates: &'a Rates, candidates: &'a [Candidate]) -> Self {
        let capacity: f64 = candidates.iter().map(|c| c.capacity).sum();
        let total = rates.total();
        let id = |c: &Candidate| c.owner.server.clone();
        let load = |c: &Candidate| map.of_server(&c.owner.server).map(|h| rates.of(h.range)).sum();
        let share =
            |c: &Candidate| if capacity > 0.0 { total * c.capacity / capacity } else { 0.0 };
        Self {
            rates,
            load: candidates.iter().map(|c| (id(c), load(c))).collect(),
            share: candidates.iter().map(|c| (id(c), share(c))).collect(),
            candidates,
        }
    }

    fn surplus(&self, server: &ServerId) -> f64 {
        self.load[server] - self.share[server]
    }

    /// Count that a candidate can take over.
    fn room(&self, server: &ServerId) -> f64 {
        self.share[server] * FILLED - self.load[server]
    }

    /// The candidate that has most room below its share, other than `not`.
    fn roomiest(&self, not: Option<&ServerId>) -> Option<&'a Candidate> {
        let others = self.candidates.iter().filter(|c| Some(&c.owner.server) != not);
        others.max_by(|a, b| {
            let room = |c: &Candidate| -self.surplus(&c.owner.server);
            room(a).total_cmp(&room(b))
        })
    }

    /// The candidate that is furthest above its share, if that is worth a move.
    fn busiest(&self, done: &[ServerId]) -> Option<&'a Candidate> {
        let open = self.candidates.iter().filter(|c| !done.contains(&c.owner.server));
        let worst = open.max_by(|a, b| {
            let relative = |c: &Candidate| {
                self.load[&c.owner.server] / self.share[&c.owner.server].max(f64::EPSILON)
            };
            relative(a).total_cmp(&relative(b))
        })?;
        let (load, share) = (self.load[&worst.owner.server], self.share[&worst.owner.server]);
        let certain = load - share > CERTAINTY * share.max(1.0).sqrt();
        (load > share * SURPLUS && certain).then_some(worst)
    }

    /// A key that alone asks for more than its owner can do, and a server that can do much more of it.
    fn single(
        &self,
        map: &Map,
        from: &Candidate,
        taken: &[KeyRange],
    ) -> Option<(KeyRange, &'a Candidate)> {
        let free = map.of_server(&from.owner.server).flat_map(|held| without(held.range, taken));
        let keys = free.flat_map(|range| self.rates.keys(range));
        let (key, count) = keys.max_by(|a, b| a.1.total_cmp(&b.1))?;
        if count <= from.capacity * FADE.as_secs_f64() {
            return None;
        }
        let has_room = |c: &&Candidate| {
            let id = &c.owner.server;
            self.load[id] <= self.share[id] * SURPLUS
        };
        let free = self.candidates.iter().filter(has_room);
        let fastest = free.max_by(|a, b| a.capacity.total_cmp(&b.capacity))?;
        let range = KeyRange { first: key, last: key };
        (fastest.capacity >= from.capacity * FASTER).then_some((range, fastest))
    }

    fn give(&mut self, range: KeyRange, from: Option<&ServerId>, to: &ServerId) {
        let count = self.rates.of(range);
        if let Some(load) = from.and_then(|from| self.load.get_mut(from)) {
            *load -= count;
        }
        *self.load.get_mut(to).expect("moves go to candidates") += count;
    }
}

/// Requests for the busiest owner's keys over the mean of all owners. `None` while nothing is asked.
pub fn imbalance(map: &Map, rates: &Rates) -> Option<f64> {
    let mut load: BTreeMap<&ServerId, f64> = BTreeMap::new();
    for held in map.held() {
        let Some(owner) = &held.owner else { continue };
        *load.entry(&owner.server).or_default() += rates.of(held.range);
    }
    let total: f64 = load.values().sum();
    let most = load.values().copied().fold(0.0, f64::max);
    (total > 0.0).then(|| most * load.len() as f64 / total)
}

/// Moves that relieve the busiest owners, at most `most`. `fixed` ranges stay where they are, since they are on their way
/// already or have just come.
pub fn relieve(
    map: &Map,
    rates: &Rates,
    candidates: &[Candidate],
    fixed: &[KeyRange],
    most: usize,
) -> Vec<Move> {
    let mut plan = Plan::new(map, rates, candidates);
    let mut moves: Vec<Move> = Vec::new();
    let mut done = Vec::new();
    while moves.len() < most {
        let Some(busiest) = plan.busiest(&done) else { break };
        let from = busiest.owner.server.clone();
        let taken: Vec<KeyRange> =
            fixed.iter().copied().chain(moves.iter().map(|m| m.range)).collect();
        if let Some((range, to)) = plan.single(map, busiest, &taken) {
            plan.give(range, Some(&from), &to.owner.server);
            moves.push(Move { range, to: to.owner.clone() });
            continue;
        }
        let Some(to) = plan.roomiest(Some(&from)) else { break };
        let wanted = plan.surplus(&from).min(plan.room(&to.owner.server));
        let window = narrowest(map, rates, &from, &taken, wanted);
        match window.filter(|_| wanted >= WORTH_MOVING) {
            Some(range) => {
                plan.give(range, Some(&from), &to.owner.server);
                moves.push(Move { range, to: to.owner.clone() });
            }
            None => done.push(from),
        }
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
    let mut keys: BTreeMap<ServerId, u32> = candidates
        .iter()
        .map(|c| {
            let held = map.of_server(&c.owner.server);
            (c.owner.server.clone(), held.map(|h| h.range.width()).sum())
        })
        .collect();
    let mut moves = Vec::new();
    let most = plan.share.values().copied().fold(f64::INFINITY, f64::min).max(WORTH_MOVING) * PIECE;
    let pieces = (PIECES_TIMES_OWNERS / candidates.len().max(1)).clamp(FEWEST_PIECES, MOST_PIECES);
    for range in ranges.iter().flat_map(|range| cut(rates, *range, most, pieces)) {
        let unasked = rates.of(range) < WORTH_MOVING / 4.0;
        let to = if unasked {
            candidates.iter().min_by(|a, b| {
                let filled =
                    |c: &Candidate| f64::from(keys[&c.owner.server]) / c.capacity.max(f64::EPSILON);
                filled(a).total_cmp(&filled(b))
            })
        } else {
            plan.roomiest(None)
        };
        let Some(to) = to else { break };
        plan.give(range, None, &to.owner.server);
        *keys.get_mut(&to.owner.server).expect("every candidate has an entry") += range.width();
        moves.push(Move { range, to: to.owner.clone() });
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
    let most = most.max(rates.of(range) / pieces as f64);
    let widest = WIDEST_PIECE.max(range.width() / pieces as u32 * 2);
    let mut cut = Vec::new();
    let mut first = range.first;
    let mut load = 0.0;
    for (key, count) in rates.keys(range) {
        if load > 0.0 && load + count > most {
            let piece = KeyRange { first, last: Key(key.0 - 1) };
            cut.extend(piece.cut(piece.width().div_ceil(widest)));
            (first, load) = (key, 0.0);
        }
        load += count;
    }
    let piece = KeyRange { first, last: range.last };
    cut.extend(piece.cut(piece.width().div_ceil(widest)));
    cut
}

/// The narrowest window of `server`'s keys whose count comes up to `wanted` without far exceeding it, outside of `taken`.
fn narrowest(
    map: &Map,
    rates: &Rates,
    server: &ServerId,
    taken: &[KeyRange],
    wanted: f64,
) -> Option<KeyRange> {
    let free = map.of_server(server).map(|held| held.range);
    let windows = free
        .flat_map(|range| without(range, taken))
        .filter_map(|range| window(&rates.keys(range).collect::<Vec<_>>(), wanted));
    windows.max_by(|a, b| a.value().total_cmp(&b.value())).map(|window| window.range)
}

/// What of `range` is in none of `taken`.
pub(crate) fn without(range: KeyRange, taken: &[KeyRange]) -> Vec<KeyRange> {
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
