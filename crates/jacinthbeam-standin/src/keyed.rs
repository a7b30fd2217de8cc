//! A backend server that takes grants of key ranges: what it holds, and what it refuses. State and rules only.

use std::time::{Duration, Instant};

use jacinthbeam_range::{Key, KeyRange};
use jacinthbeam_types::prelude::*;

/// Tokens that are remembered. A server that restarts has forgotten them all, so a bound harms no more than that.
const MOST_SEEN: usize = 1000;

/// The grants of one life of a server.
#[derive(Debug)]
pub struct Server {
    /// Drawn at its start.
    pub id: ServerId,
    held: Vec<Grant>,
    seen: Vec<(KeyRange, Token)>,
    /// Requests that it ran, by key.
    pub ran: Vec<Option<Key>>,
    /// Requests and calls that came for another life or for keys that it doesn't hold.
    pub refused: u32,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    range: KeyRange,
    token: Token,
    until: Instant,
}

/// A higher token was seen on one of the keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HigherSeen;

impl Server {
    /// A server that holds nothing.
    pub fn new(id: ServerId) -> Self {
        Self { id, held: Vec::new(), seen: Vec::new(), ran: Vec::new(), refused: 0 }
    }

    /// Takes a grant that lasts for `hold` from now.
    pub fn grant(
        &mut self,
        now: Instant,
        range: KeyRange,
        token: Token,
        hold: Duration,
    ) -> Result<(), HigherSeen> {
        if self.seen.iter().any(|(seen, of)| seen.overlaps(range) && *of > token) {
            return Err(HigherSeen);
        }
        self.note(range, token);
        self.let_go(now, range);
        self.held.push(Grant { range, token, until: now + hold });
        Ok(())
    }

    /// Gives keys back. Returns what to hand over, if any of them were held.
    pub fn release(&mut self, now: Instant, range: KeyRange, token: Token) -> Option<String> {
        let held = self.holds(now).any(|(held, _)| held.overlaps(range));
        self.note(range, token);
        self.let_go(now, range);
        held.then(|| format!("{}-{range}", self.id))
    }

    /// Whether `key` is held now.
    pub fn has(&self, now: Instant, key: Key) -> bool {
        self.holds(now).any(|(range, _)| range.contains(key))
    }

    /// The ranges that are held now, and their tokens.
    pub fn holds(&self, now: Instant) -> impl Iterator<Item = (KeyRange, Token)> + '_ {
        let held = self.held.iter().filter(move |grant| grant.until > now);
        held.map(|grant| (grant.range, grant.token))
    }

    fn note(&mut self, range: KeyRange, token: Token) {
        self.seen.push((range, token));
        if self.seen.len() > MOST_SEEN {
            self.seen.remove(0);
        }
    }

    fn let_go(&mut self, now: Instant, range: KeyRange) {
        let rest = |grant: Grant| {
            let rest = match grant.range.overlaps(range) {
                true => [grant.range.below(range), grant.range.above(range)],
                false => [Some(grant.range), None],
            };
            rest.into_iter().flatten().map(move |range| Grant { range, ..grant })
        };
        self.held = self.held.drain(..).filter(|grant| grant.until > now).flat_map(rest).collect();
    }
}
