//! A backend server that keeps the rules of grants: holds that expire, and fencing tokens.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_range::{KeyRange, grantor::timing::HOLD};
use jacinthbeam_types::prelude::*;

pub struct Server {
    pub id: ServerId,
    /// The id in its entry, which is that of a former incarnation for a while after a restart.
    pub listed_id: ServerId,
    /// When the entry will show the restart.
    pub noticed_at: Option<Instant>,
    /// Number of the incarnation, unique in the world.
    pub incarnation: u32,
    /// Position among the servers, which determines its address.
    pub index: usize,
    pub addr: SocketAddr,
    /// When it ends, if it is draining.
    pub leaves_at: Option<Instant>,
    /// Ranges with their tokens and the ends of their holds by this server's clock, which runs slow.
    held: Vec<(KeyRange, Token, Instant)>,
    /// Tokens seen, the latest last.
    seen: Vec<(KeyRange, Token)>,
}

impl Server {
    pub fn new(id: ServerId, incarnation: u32, index: usize) -> Self {
        let addr = format!("127.0.0.1:{}", 1000 + index).parse().unwrap();
        Self {
            listed_id: id.clone(),
            id,
            noticed_at: None,
            incarnation,
            index,
            addr,
            leaves_at: None,
            held: Vec::new(),
            seen: Vec::new(),
        }
    }

    /// Restarts under the same name, without any of its state. Its entry shows this from `noticed_at` on.
    pub fn restart(&mut self, incarnation: u32, noticed_at: Instant) {
        self.id = ServerId::new(self.id.name().clone(), Some(Born(u64::from(incarnation))));
        self.incarnation = incarnation;
        self.noticed_at = Some(noticed_at);
        self.held.clear();
        self.seen.clear();
    }

    fn has_seen_higher_token(&self, range: KeyRange, token: Token) -> bool {
        self.seen.iter().any(|(seen, seen_token)| seen.overlaps(range) && *seen_token > token)
    }

    /// Handles a grant. Returns whether it is accepted; a token below one seen for any of the keys is refused.
    pub fn grant(&mut self, now: Instant, range: KeyRange, token: Token) -> bool {
        if self.has_seen_higher_token(range, token) {
            return false;
        }
        self.seen.push((range, token));
        self.remove_from_held(range);
        self.held.push((range, token, now + HOLD.mul_f64(1.02)));
        self.prune(now);
        true
    }

    pub fn release(&mut self, now: Instant, range: KeyRange, token: Token) {
        self.seen.push((range, token));
        self.remove_from_held(range);
        self.prune(now);
    }

    fn remove_from_held(&mut self, range: KeyRange) {
        self.held = self
            .held
            .drain(..)
            .flat_map(|(held, token, until)| {
                let rest = match held.overlaps(range) {
                    true => [held.below(range), held.above(range)],
                    false => [Some(held), None],
                };
                rest.into_iter().flatten().map(move |rest| (rest, token, until))
            })
            .collect();
    }

    fn prune(&mut self, now: Instant) {
        self.held.retain(|(_, _, until)| *until > now - Duration::from_secs(1));
        // Keeps the list bounded. Only the highest token for a key counts, and tokens rise.
        if self.seen.len() > 400 {
            self.seen.drain(..100);
        }
    }

    /// Ranges whose holds haven't expired.
    pub fn holds(&self, now: Instant) -> impl Iterator<Item = (KeyRange, Token)> + '_ {
        let held = self.held.iter().filter(move |(_, _, until)| *until > now);
        held.map(|(range, token, _)| (*range, *token))
    }
}
