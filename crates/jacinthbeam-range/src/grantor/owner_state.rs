//! What the leader knows about one backend server that owns keys.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use super::timing::{CLOCK_DRIFT_FACTOR, GIVE_UP_AFTER, GRANT_RETRY_DELAY, HOLD, MARGIN};
use crate::{key::KeyRange, map::Owner};

/// How a round of grants to one server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered every call.
    Answered,
    /// A call got no answer.
    Silent,
    /// Another incarnation of a server answered at the address: this one has ended.
    Ended,
    /// The right to grant had expired, and the remaining calls were not sent.
    NotSent,
    /// The connection that the calls were meant for is gone, or there was none. Another one has
    /// been open since this time, and none of the remaining calls was sent over it.
    Opened(Instant),
}

/// State of one server's grants since this host began to lead.
#[derive(Debug)]
pub(super) struct OwnerState {
    pub(super) owner: Owner,
    /// When the present connection was known to be open. Identifies the connection.
    connected_at: Option<Instant>,
    /// Lowest token for grants over the present connection.
    ///
    /// A new connection may lead to another incarnation of the server, which the list doesn't show
    /// yet. That incarnation has not seen the tokens of its predecessor and would hold keys under
    /// the very same token. A request still running in the old incarnation could then not be told
    /// from one of the new incarnation. A grant and its renewals therefore go over one connection,
    /// and over the next one under a token that no incarnation has seen.
    min_token: Token,
    /// End of the last call that may have granted something: answered, or timed out with its
    /// connection reset.
    last_call: Option<Instant>,
    next_round: Option<Instant>,
    /// Whether the server refused a token in its last round. It is then sent nothing, new ranges
    /// included, before the next round is due.
    refused: bool,
    /// When the first call since the last answer went unanswered.
    silent_since: Option<Instant>,
    /// Whether a round of grants is in flight.
    pub(super) round_in_flight: bool,
    /// Start of the latest round.
    round_started: Option<Instant>,
    /// Start of the latest round in which the server accepted a grant and refused none.
    accepted_at: Option<Instant>,
    /// Whether this incarnation of the server is known to have ended.
    pub(super) ended: bool,
    /// Whether the server gets no more grants, so that its hold expires.
    pub(super) given_up: bool,
    /// Whether the server has been off the list since it was given up.
    unlisted: bool,
    /// Grants that the server confirmed.
    confirmed: BTreeSet<(KeyRange, Token)>,
}

impl OwnerState {
    pub(super) fn new(owner: Owner) -> Self {
        Self {
            owner,
            connected_at: None,
            min_token: Token(0),
            last_call: None,
            next_round: None,
            refused: false,
            silent_since: None,
            round_in_flight: false,
            round_started: None,
            accepted_at: None,
            ended: false,
            given_up: false,
            unlisted: false,
            confirmed: BTreeSet::new(),
        }
    }

    /// Whether the server has confirmed this range, which the map has under `token`.
    pub(super) fn has_confirmed(&self, range: KeyRange, token: Token) -> bool {
        let token = self.token(token);
        self.confirmed.iter().any(|(held, of)| *of == token && held.covers(range))
    }

    /// State for an incarnation under whose name grants with tokens below `min_token` may already
    /// have been sent.
    pub(super) fn with_min_token(owner: Owner, min_token: Token) -> Self {
        Self { min_token, ..Self::new(owner) }
    }

    /// The connection that grants may be sent over.
    pub(super) fn connection(&self) -> Option<Instant> {
        self.connected_at
    }

    /// Whether a connection to the server is being opened and none is known yet.
    pub(super) fn is_connecting(&self) -> bool {
        self.round_in_flight && self.connected_at.is_none()
    }

    /// Whether the store has confirmed this leader by a request sent at `confirmed_at`, after the
    /// present connection was open. Also true if no connection is known.
    ///
    /// A server keeps the tokens that it has seen for as long as it runs, and a connection ends
    /// with the incarnation that it was opened to. If the connection predates any successor's
    /// record, its server sees the successor's first grant and then refuses this leader's. A later
    /// connection may reach an incarnation that started after that grant: it would accept this
    /// leader's grants, and two servers would hold the same keys.
    pub(super) fn is_connection_confirmed(&self, confirmed_at: Instant) -> bool {
        self.connected_at.is_none_or(|at| at < confirmed_at)
    }

    /// The token to grant a range under that the map has under `token`.
    pub(super) fn token(&self, token: Token) -> Token {
        token.max(self.min_token)
    }

    /// Whether a range with this token was assigned after the present connection was opened.
    pub(super) fn is_newer_than_connection(&self, token: Token) -> bool {
        token > self.min_token
    }

    /// Another connection was open at `at`. `fresh` returns a token above all that were given out.
    pub(super) fn on_connected(&mut self, at: Instant, fresh: impl FnOnce() -> Token) {
        if self.connected_at.replace(at).is_some() {
            self.min_token = fresh();
            self.confirmed.clear();
        }
    }

    /// Marks a round of grants as in flight. None of its calls is sent before `now`.
    pub(super) fn begin_round(&mut self, now: Instant) {
        self.round_in_flight = true;
        self.round_started = Some(now);
    }

    /// Lower bound for the time at which the last accepted grant was sent.
    pub(super) fn accepted_at(&self) -> Option<Instant> {
        self.accepted_at.filter(|_| !self.ended)
    }

    /// Whether a round of renewals is due.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.next_round.is_none_or(|at| now >= at)
    }

    /// Whether new ranges may be granted before the next round is due.
    pub(super) fn accepts_new_ranges(&self) -> bool {
        self.is_responsive() && !self.refused
    }

    /// Whether the server answered the last calls, or was not called yet.
    pub(super) fn is_responsive(&self) -> bool {
        self.silent_since.is_none() && !self.ended && !self.given_up
    }

    pub(super) fn on_round_end(
        &mut self,
        now: Instant,
        outcome: Outcome,
        last_call: Option<Instant>,
        confirmed: &[(KeyRange, Token)],
        refused: bool,
        renew_every: Duration,
    ) {
        self.round_in_flight = false;
        if !confirmed.is_empty() && !refused {
            self.accepted_at = self.accepted_at.max(self.round_started);
        }
        self.refused = refused;
        self.last_call = self.last_call.max(last_call);
        self.confirmed.extend(confirmed.iter().copied());
        match outcome {
            Outcome::Answered => {
                self.silent_since = None;
                self.next_round = Some(now + if refused { GRANT_RETRY_DELAY } else { renew_every });
            }
            Outcome::Silent => {
                // A server that answers some of the calls is alive. If it were given up because
                // some answers are lost on the way, all its keys would be unserved for a whole
                // hold.
                if !confirmed.is_empty() {
                    self.silent_since = None;
                }
                self.silent_since.get_or_insert(now);
                self.next_round = Some(now + GRANT_RETRY_DELAY);
            }
            Outcome::Ended => self.ended = true,
            Outcome::NotSent => self.next_round = Some(now + GRANT_RETRY_DELAY),
            Outcome::Opened(_) => self.next_round = Some(now),
        }
    }

    /// Drops confirmations that the present map no longer contains, so that the set doesn't grow
    /// with each move.
    pub(super) fn retain_confirmed(&mut self, held: &[(KeyRange, Token)]) {
        let min_token = self.min_token;
        let is_current = |range: KeyRange, token| {
            held.iter().any(|(other, of)| min_token.max(*of) == token && other.overlaps(range))
        };
        self.confirmed.retain(|(range, token)| is_current(*range, *token));
    }

    /// Whether the server has been silent long enough to be given up.
    pub(super) fn is_lost(&self, now: Instant) -> bool {
        let lost = |since: Instant| now.saturating_duration_since(since) >= GIVE_UP_AFTER;
        self.silent_since.is_some_and(lost)
    }

    /// Whether every grant to the server has expired, given that no more are sent.
    ///
    /// `predecessors_until` is the time until which earlier leaders may have renewed its grants.
    pub(super) fn has_lapsed(&self, now: Instant, predecessors_until: Instant) -> bool {
        if self.ended {
            return true;
        }
        let last = self.last_call.map_or(predecessors_until, |call| call.max(predecessors_until));
        !self.round_in_flight && now >= last + longest_hold()
    }

    /// Counts the calls to another incarnation of the same name as calls to this one.
    pub(super) fn inherit_calls(&mut self, other: &Self) {
        self.last_call = self.last_call.max(other.last_call);
    }

    /// Whether a server that was given up has returned: it had left the list, and is on it again.
    ///
    /// One that stays on the list may accept grants while its answers are lost. If grants to it
    /// were resumed each time, its hold would never expire.
    pub(super) fn is_back(&mut self, listed: bool) -> bool {
        self.unlisted |= self.given_up && !listed;
        self.unlisted && listed && !self.ended
    }

    /// Resumes grants to a server that was given up.
    pub(super) fn resume(&mut self) {
        self.given_up = false;
        self.unlisted = false;
        self.silent_since = None;
        self.confirmed.clear();
    }
}

/// Longest time that a grant can last after its arrival, on the slowest clock and with a margin.
pub fn longest_hold() -> Duration {
    HOLD.mul_f64(CLOCK_DRIFT_FACTOR) + MARGIN
}
