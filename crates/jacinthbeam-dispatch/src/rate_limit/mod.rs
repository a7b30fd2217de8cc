//! Rate limits that backend servers state in their responses.
//!
//! A server in need states how many requests per second it takes from all hosts together. The statement holds until the server sends a
//! response without one. A host that knows of a limit sends only with a permit of one of the hosts that issue them for this server, see
//! [`issuer`].

pub mod issuer;

use std::time::{Duration, Instant};

use jacinthbeam_types::prelude::*;

pub use issuer::PermitIssuer;

/// A server's statement about its rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// The limit; `None` if the server states none.
    pub rate: Option<Rate>,
    /// A statement replaces those with an earlier time.
    pub as_of: Instant,
}

impl Statement {
    /// The statement of a response, given when its request was sent and when its head arrived.
    ///
    /// When the server wrote the response lies between the two. The bound is chosen so that a response that was overtaken on its way doesn't
    /// withdraw a limit: a response without a limit counts as of its request.
    pub fn of_response(rate: Option<Rate>, sent: Instant, received: Instant) -> Self {
        Self { rate, as_of: if rate.is_some() { received } else { sent } }
    }

    /// A statement that another host sent, given its age when it was sent, and a time that is known for that moment.
    ///
    /// In the answer to a request this is the time of the request, so that a statement doesn't get newer on its way there and back. Otherwise a
    /// limit that hosts tell each other often enough would never be older than a response that withdraws it.
    pub fn relayed(rate: Option<Rate>, age: Duration, sent: Instant) -> Self {
        Self { rate, as_of: sent.checked_sub(age).unwrap_or(sent) }
    }

    /// Age of the statement.
    pub fn age(self, now: Instant) -> Duration {
        now.saturating_duration_since(self.as_of)
    }
}

/// Whether a request may be sent to a server, by its rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The server states no limit.
    Unlimited,
    /// A permit is required.
    PermitRequired,
    /// A permit was denied a short time ago, and none can be had for this long.
    Blocked(Duration),
}

/// The rate limit of one server, as known to one host.
#[derive(Debug, Clone, Copy, Default)]
pub struct KnownLimit {
    newest: Option<Statement>,
    blocked_until: Option<Instant>,
}

impl KnownLimit {
    /// The limit in force; `None` if there is none.
    pub fn rate(&self) -> Option<Rate> {
        self.newest.and_then(|newest| newest.rate)
    }

    /// The newest statement; `None` before the first response.
    pub fn newest(&self) -> Option<Statement> {
        self.newest
    }

    /// Applies a statement. Returns whether it changes the limit in force.
    pub fn apply(&mut self, statement: Statement) -> bool {
        if self.newest.is_some_and(|newest| statement.as_of <= newest.as_of) {
            return false;
        }
        let changed = self.rate() != statement.rate;
        self.newest = Some(statement);
        if changed {
            self.blocked_until = None;
        }
        changed
    }

    /// Whether a request may be sent.
    pub fn admission(&self, now: Instant) -> Admission {
        if self.rate().is_none() {
            return Admission::Unlimited;
        }
        let left = self.blocked_until.map(|until| until.saturating_duration_since(now));
        match left.filter(|left| !left.is_zero()) {
            Some(left) => Admission::Blocked(left),
            None => Admission::PermitRequired,
        }
    }

    /// Records that a permit was denied, and that none can be had for `wait`.
    pub fn on_denied(&mut self, now: Instant, wait: Duration) {
        self.blocked_until = Some(now + wait);
    }
}
