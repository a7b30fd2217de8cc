//! A backend server, as far as its grants go.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_range::{KeyRange, grantor::timing::HOLD};
use jacinthbeam_types::prelude::*;

pub struct Server {
    pub id: ServerId,
    /// The life that its entry shows.
    pub listed: ServerId,
    /// When the entry shows the present one.
    pub noticed_at: Option<Instant>,
    /// Number of the life, of all in the world.
    pub life: u32,
    pub place: usize,
    pub addr: SocketAddr,
    /// When it ends, if it has said so.
    pub leaves_at: Option<Instant>,
    /// Ranges, their tokens and the ends of their holds on this server's slow clock.
    held: Vec<(KeyRange, Token, Instant)>,
    /// Highest tokens seen.
    seen: Vec<(KeyRange, Token)>,
}

impl Server {
    pub fn new(id: ServerId, life: u32, place: usize) -> Self {
        let addr = format!("127.0.0.1:{}", 1000 + place).parse().unwrap();
        Self {
            listed: id.clone(),
            id,
            noticed_at: None,
            life,
            place,
            addr,
            leaves_at: None,
            held: Vec::new(),
            seen: Vec::new(),
        }
    }

    /// Starts again under its name, and has forgotten everything. Its entry shows that from `noticed_at` on.
    pub fn start_again(&mut self, life: u32, noticed_at: Instant) {
        self.id = ServerId::new(self.id.name().clone(), Some(Born(u64::from(life))));
        self.life = life;
        self.noticed_at = Some(noticed_at);
        self.held.clear();
        self.seen.clear();
    }

    fn has_seen_above(&self, range: KeyRange, token: Token) -> bool {
        self.seen.iter().any(|(seen, of)| seen.overlaps(range) && *of > token)
    }

    /// Takes a grant. Returns whether it holds the keys now.
    pub fn grant(&mut self, now: Instant, range: KeyRange, token: Token) -> bool {
        if self.has_seen_above(range, token) {
            return false;
        }
        self.seen.push((range, token));
        self.drop_held(range);
        self.held.push((range, token, now + HOLD.mul_f64(1.02)));
        self.forget(now);
        true
    }

    pub fn release(&mut self, now: Instant, range: KeyRange, token: Token) {
        self.seen.push((range, token));
        self.drop_held(range);
        self.forget(now);
    }

    fn drop_held(&mut self, range: KeyRange) {
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

    fn forget(&mut self, now: Instant) {
        self.held.retain(|(_, _, until)| *until > now - Duration::from_secs(1));
        // Only the highest token counts; without this the list would grow for ever.
        if self.seen.len() > 400 {
            self.seen.drain(..100);
        }
    }

    pub fn holds(&self, now: Instant) -> impl Iterator<Item = (KeyRange, Token)> + '_ {
        let held = self.held.iter().filter(move |(_, _, until)| *until > now);
        held.map(|(range, token, _)| (*range, *token))
    }
}
