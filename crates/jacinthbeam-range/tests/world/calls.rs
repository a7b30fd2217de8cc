//! Calls of hosts to servers, over connections that end with the life of the server.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_range::{
    Event, KeyRange, Owner,
    grantor::{Outcome, RangeGrant},
};
use jacinthbeam_types::prelude::*;

use super::{Message, World};

/// Longest wait for the answer to a grant; after it the connection is reset.
const GRANT_WITHIN: Duration = Duration::from_millis(600);

/// A connection of a host to an address.
pub struct Line {
    pub(super) opened: Instant,
    /// Number of the life that it was opened to.
    pub(super) life: u32,
}

/// Grants to one server, one after the other.
pub struct Round {
    pub(super) to: Owner,
    pub(super) calls: Vec<RangeGrant>,
    pub(super) next: usize,
    pub(super) over: Option<Instant>,
    pub(super) until: Instant,
    pub(super) epoch: Epoch,
    pub(super) last_call: Option<Instant>,
    pub(super) confirmed: Vec<(KeyRange, Token)>,
    pub(super) refused: Vec<KeyRange>,
}

impl World {
    /// The open connection to an address. One whose life has ended may not have been noticed yet.
    fn line(&mut self, n: usize, addr: SocketAddr) -> Option<(Instant, u32)> {
        let there = self.servers.values().find(|server| server.addr == addr);
        let there = there.map(|server| (server.id.name().clone(), server.life));
        let unnoticed = self.rng.bool();
        if let Some(line) = self.lines.get(&(n, addr)) {
            let lives = there.as_ref().is_some_and(|(_, life)| *life == line.life);
            if lives || unnoticed {
                return Some((line.opened, line.life));
            }
        }
        self.lines.remove(&(n, addr));
        let (_, life) = there.filter(|(name, _)| self.reaches(n, name))?;
        self.lines.insert((n, addr), Line { opened: self.now, life });
        Some((self.now, life))
    }

    /// Sends the next grant of a round if the right to do so still holds, and the connection is the one that is meant.
    pub(super) fn on_round(&mut self, n: usize, round: Round) {
        if round.next == round.calls.len() {
            return self.end_round(n, round, Outcome::Answered);
        }
        let Some((opened, life)) = self.line(n, round.to.addr) else {
            return self
                .send(GRANT_WITHIN, Message::Grant { host: n, round, life: 0, arrived: false });
        };
        if round.over != Some(opened) {
            return self.end_round(n, round, Outcome::Opened(opened));
        }
        if self.now >= round.until || self.hosts[n].epoch() != Some(round.epoch) {
            return self.end_round(n, round, Outcome::NotSent);
        }
        let odds = self.odds.lost_grant;
        let cut = !self.reaches(n, round.to.server.name());
        let lost = cut || self.chance(odds);
        if lost {
            // Perhaps it arrives all the same, and only the answer is lost.
            let arrived = !cut && self.rng.bool();
            let after =
                if arrived { Duration::from_millis(self.rng.u64(1..500)) } else { GRANT_WITHIN };
            return self.send(after, Message::Grant { host: n, round, life, arrived });
        }
        let after = self.short();
        self.send(after, Message::Grant { host: n, round, life, arrived: true });
    }

    pub(super) fn on_grant(&mut self, n: usize, mut round: Round, life: u32, arrived: bool) {
        let call = round.calls[round.next].clone();
        let (now, addr) = (self.now, round.to.addr);
        // The process reads its clock when the call has ended; a host that stands still reads it later.
        round.last_call = Some(now + Duration::from_millis(3));
        let server = self.servers.values_mut().find(|server| server.addr == addr);
        let Some(server) = server.filter(|server| arrived && server.life == life) else {
            // The connection is reset, and another one is opened the next time.
            self.lines.remove(&(n, addr));
            return self.end_round(n, round, Outcome::Silent);
        };
        if server.id.name() != round.to.server.name() {
            return self.end_round(n, round, Outcome::Ended);
        }
        let refused = self.rng.f64() < self.odds.refuse;
        match !refused && server.grant(now, call.range, call.token) {
            true => {
                round.confirmed.push((call.range, call.token));
                let RangeGrant { range, token, .. } = &call;
                if !self.taken.contains(&(*range, *token, life)) {
                    let to = &round.to.server;
                    self.tell(format!("{range} is granted to {to} under token {token}"));
                }
                self.note_taken(life, call.range, call.token);
            }
            false => round.refused.push(call.range),
        }
        round.next += 1;
        self.send(Duration::from_millis(1), Message::Round { host: n, round });
    }

    fn end_round(&mut self, n: usize, round: Round, outcome: Outcome) {
        let Round { to, last_call, confirmed, refused, .. } = round;
        self.feed(n, Event::Granted { server: to.server, outcome, last_call, confirmed, refused });
    }

    pub(super) fn on_release(
        &mut self,
        n: usize,
        id: &ServerId,
        range: KeyRange,
        token: Token,
        answered: bool,
    ) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(id.name()) else {
            let answer =
                Message::Released { host: n, range, token, handover: None, answered: false };
            return self.send(Duration::from_millis(500), answer);
        };
        server.release(now, range, token);
        self.tell(format!("{range} is taken back from {id} under token {token}"));
        let after = Duration::from_millis(self.rng.u64(1..400));
        let handover = Some(format!("from {id}"));
        self.send(after, Message::Released { host: n, range, token, handover, answered });
    }
}
