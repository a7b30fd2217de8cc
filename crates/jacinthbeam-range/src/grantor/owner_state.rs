//! What the granting host knows of one backend server that owns keys.

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
    /// Every call was answered by the server.
    Answered,
    /// A call got no answer.
    Silent,
    /// Another life of a server answered at the address: this one has ended.
    Ended,
    /// The right to send had lapsed; the rest of the calls was not sent.
    NotSent,
    /// The connection that the calls were meant for is gone, or there was none. Another one was open from then on, and none of the
    /// calls that are left was sent over it.
    Opened(Instant),
}

/// Dealings with one server since this host began to grant.
#[derive(Debug)]
pub(super) struct OwnerState {
    pub(super) owner: Owner,
    /// When the present connection was known to be open.
    connected_at: Option<Instant>,
    /// Lowest token for grants over the present connection.
    ///
    /// Whoever answers on a new connection may be another life of the server, which the list doesn't show yet. It knows nothing of the
    /// tokens that the life before it took, and would hold keys under the very token that the other had; a request that the former life
    /// still works on could not be told from its own. So a grant and its renewals go over one connection, and over the next one
    /// under a token that no life has seen.
    min_token: Token,
    /// End of the last call that may have granted something: answered, or given up with its connection reset.
    last_call: Option<Instant>,
    next_round: Option<Instant>,
    /// The server refused a token a moment ago: it is asked again only at the next round.
    refused: bool,
    /// First of the calls without an answer since the last answer.
    silent_since: Option<Instant>,
    /// A round of grants is under way.
    pub(super) round_in_flight: bool,
    /// When the present round began, or the last one.
    round_started: Option<Instant>,
    /// When the last round began of which the server took a call and refused none.
    accepted_at: Option<Instant>,
    /// This life of the server has surely ended.
    pub(super) ended: bool,
    /// No grant is sent any more, so that its hold runs out.
    pub(super) given_up: bool,
    /// The list has lacked the server since it was given up.
    unlisted: bool,
    /// What the server has confirmed.
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

    /// Whether the server has taken the range that the map has under `token`.
    pub(super) fn has_confirmed(&self, range: KeyRange, token: Token) -> bool {
        let token = self.token(token);
        self.confirmed.iter().any(|(held, of)| *of == token && held.covers(range))
    }

    /// The same for a life to whose name grants under tokens below `lowest` may have gone.
    pub(super) fn with_min_token(owner: Owner, min_token: Token) -> Self {
        Self { min_token, ..Self::new(owner) }
    }

    /// The connection that calls may go over.
    pub(super) fn connection(&self) -> Option<Instant> {
        self.connected_at
    }

    /// Whether no connection to the server is known yet, and one is being opened.
    pub(super) fn is_connecting(&self) -> bool {
        self.round_in_flight && self.connected_at.is_none()
    }

    /// Whether the present connection was open before `proof`, or none is known.
    ///
    /// A server keeps the tokens that it saw for as long as it runs, and a connection ends with the life that it was opened to. Over
    /// one that was open when no successor had a record yet, a leader reaches the life that refuses it from its successor's first
    /// grant on. Over a later one it could reach a life that was born after that grant and has forgotten it, and two servers would
    /// hold the same keys.
    pub(super) fn is_connection_confirmed(&self, confirmed_at: Instant) -> bool {
        self.connected_at.is_none_or(|at| at < confirmed_at)
    }

    /// The token under which a range is granted that the map has under `token`.
    pub(super) fn token(&self, token: Token) -> Token {
        token.max(self.min_token)
    }

    /// Whether the range with this token came after the present connection.
    pub(super) fn is_newer_than_connection(&self, token: Token) -> bool {
        token > self.min_token
    }

    /// Another connection was open at `at`. `fresh` is a token above all that were given out.
    pub(super) fn on_connected(&mut self, at: Instant, fresh: impl FnOnce() -> Token) {
        if self.connected_at.replace(at).is_some() {
            self.min_token = fresh();
            self.confirmed.clear();
        }
    }

    /// A round of grants is ordered. None of its calls is sent before this.
    pub(super) fn begin_round(&mut self, now: Instant) {
        self.round_in_flight = true;
        self.round_started = Some(now);
    }

    /// A time after which the server took a grant.
    pub(super) fn accepted_at(&self) -> Option<Instant> {
        self.accepted_at.filter(|_| !self.ended)
    }

    /// Whether a round of renewals may start now.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.next_round.is_none_or(|at| now >= at)
    }

    /// Whether grants of new ranges may go out before the next round.
    pub(super) fn accepts_new_ranges(&self) -> bool {
        self.is_responsive() && !self.refused
    }

    /// Whether the server answered the last time it was asked, or was not asked yet.
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
                // A server that answers some of the calls is there. Given up, all its keys would be away for a whole hold
                // because a part of the answers is lost on the way.
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

    /// Keeps only what the present map still says, so that the set doesn't grow with each move.
    pub(super) fn retain_confirmed(&mut self, held: &[(KeyRange, Token)]) {
        let min_token = self.min_token;
        let is_current = |range: KeyRange, token| {
            held.iter().any(|(other, of)| min_token.max(*of) == token && other.overlaps(range))
        };
        self.confirmed.retain(|(range, token)| is_current(*range, *token));
    }

    /// Whether the silence has lasted long enough to give the server up.
    pub(super) fn is_lost(&self, now: Instant) -> bool {
        let lost = |since: Instant| now.saturating_duration_since(since) >= GIVE_UP_AFTER;
        self.silent_since.is_some_and(lost)
    }

    /// Whether nothing that was granted to the server can be in force any more, given that nothing more is granted.
    ///
    /// `others_until` is the time until which somebody else may still have renewed its grants.
    pub(super) fn has_lapsed(&self, now: Instant, predecessors_until: Instant) -> bool {
        if self.ended {
            return true;
        }
        let last = self.last_call.map_or(predecessors_until, |call| call.max(predecessors_until));
        !self.round_in_flight && now >= last + longest_hold()
    }

    /// Whether a server that was given up has come back: it had left the list, and is on it again.
    ///
    /// One that stays on the list may take grants whose answers are lost, and its hold would never run out if it were asked again.
    pub(super) fn is_back(&mut self, listed: bool) -> bool {
        self.unlisted |= self.given_up && !listed;
        self.unlisted && listed && !self.ended
    }

    /// Starts over with a server that was given up.
    pub(super) fn resume(&mut self) {
        self.given_up = false;
        self.unlisted = false;
        self.silent_since = None;
        self.confirmed.clear();
    }
}

/// How long a grant can last from its arrival on the slowest clock, and the margin.
pub fn longest_hold() -> Duration {
    HOLD.mul_f64(CLOCK_DRIFT_FACTOR) + MARGIN
}
