//! Calls of hosts to servers, over connections that end with the server's incarnation.

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

/// Timeout of a grant, after which the connection is reset.
const GRANT_TIMEOUT: Duration = Duration::from_millis(600);

/// A connection of a host to an address.
pub struct Connection {
    pub(super) opened_at: Instant,
    /// Server incarnation that it was opened to.
    pub(super) incarnation: u32,
}

/// Grants to one server, sent one after the other.
pub struct GrantRound {
    pub(super) to: Owner,
    pub(super) grants: Vec<RangeGrant>,
    /// Index of the next grant to send.
    pub(super) next: usize,
    /// The connection that the grants must be sent over, by the time that it was opened.
    pub(super) connection: Option<Instant>,
    /// End of the host's right to grant.
    pub(super) until: Instant,
    pub(super) epoch: Epoch,
    pub(super) last_call: Option<Instant>,
    pub(super) confirmed: Vec<(KeyRange, Token)>,
    pub(super) refused: Vec<KeyRange>,
}

impl World {
    /// The open connection to an address, or a new one. A connection to an incarnation that has ended may
    /// still look open.
    fn connection(&mut self, n: usize, addr: SocketAddr) -> Option<(Instant, u32)> {
        let server = self.servers.values().find(|server| server.addr == addr);
        let server = server.map(|server| (server.id.name().clone(), server.incarnation));
        let looks_open = self.rng.bool();
        if let Some(connection) = self.connections.get(&(n, addr)) {
            let is_open = server
                .as_ref()
                .is_some_and(|(_, incarnation)| *incarnation == connection.incarnation);
            if is_open || looks_open {
                return Some((connection.opened_at, connection.incarnation));
            }
        }
        self.connections.remove(&(n, addr));
        let (_, incarnation) = server.filter(|(name, _)| self.reaches(n, name))?;
        self.connections.insert((n, addr), Connection { opened_at: self.now, incarnation });
        Some((self.now, incarnation))
    }

    /// Sends the next grant of a round if the host may still grant, and if the connection is still the one that
    /// the round was ordered for.
    pub(super) fn on_round(&mut self, n: usize, round: GrantRound) {
        if round.next == round.grants.len() {
            return self.end_round(n, round, Outcome::Answered);
        }
        let Some((opened, incarnation)) = self.connection(n, round.to.addr) else {
            return self.send(
                GRANT_TIMEOUT,
                Message::Grant { host: n, round, incarnation: 0, arrived: false },
            );
        };
        if round.connection != Some(opened) {
            return self.end_round(n, round, Outcome::Opened(opened));
        }
        if self.now >= round.until || self.hosts[n].epoch() != Some(round.epoch) {
            return self.end_round(n, round, Outcome::NotSent);
        }
        let probability = self.fault_rates.lost_grant;
        let cut = !self.reaches(n, round.to.server.name());
        let lost = cut || self.chance(probability);
        if lost {
            // The grant may arrive while only its answer is lost.
            let arrived = !cut && self.rng.bool();
            let after =
                if arrived { Duration::from_millis(self.rng.u64(1..500)) } else { GRANT_TIMEOUT };
            return self.send(after, Message::Grant { host: n, round, incarnation, arrived });
        }
        let after = self.network_delay();
        self.send(after, Message::Grant { host: n, round, incarnation, arrived: true });
    }

    pub(super) fn on_grant(
        &mut self,
        n: usize,
        mut round: GrantRound,
        incarnation: u32,
        arrived: bool,
    ) {
        let grant = round.grants[round.next].clone();
        let (now, addr) = (self.now, round.to.addr);
        // The host reads its clock after the call has ended.
        round.last_call = Some(now + Duration::from_millis(3));
        let server = self.servers.values_mut().find(|server| server.addr == addr);
        let Some(server) = server.filter(|server| arrived && server.incarnation == incarnation)
        else {
            // The connection is reset; the next round opens another one.
            self.connections.remove(&(n, addr));
            return self.end_round(n, round, Outcome::Silent);
        };
        if server.id.name() != round.to.server.name() {
            return self.end_round(n, round, Outcome::Ended);
        }
        let refused = self.rng.f64() < self.fault_rates.stale_token;
        match !refused && server.grant(now, grant.range, grant.token) {
            true => {
                round.confirmed.push((grant.range, grant.token));
                let RangeGrant { range, token, .. } = &grant;
                if !self.accepted_grants.contains(&(*range, *token, incarnation)) {
                    let to = &round.to.server;
                    self.trace(format!("{range} is granted to {to} under token {token}"));
                }
                self.record_accepted_grant(incarnation, grant.range, grant.token);
            }
            false => round.refused.push(grant.range),
        }
        round.next += 1;
        self.send(Duration::from_millis(1), Message::Round { host: n, round });
    }

    fn end_round(&mut self, n: usize, round: GrantRound, outcome: Outcome) {
        let GrantRound { to, last_call, confirmed, refused, .. } = round;
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
        self.trace(format!("{range} is taken back from {id} under token {token}"));
        let after = Duration::from_millis(self.rng.u64(1..400));
        let handover = Some(format!("from {id}"));
        self.send(after, Message::Released { host: n, range, token, handover, answered });
    }
}
