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
pub(super) struct Contact {
    pub(super) owner: Owner,
    /// When the present connection was known to be open.
    opened: Option<Instant>,
    /// Lowest token for grants over the present connection.
    ///
    /// Whoever answers on a new connection may be another life of the server, which the list doesn't show yet. It knows nothing of the
    /// tokens that the life before it took, and would hold keys under the very token that the other had; a request that the former life
    /// still works on could not be told from its own. So a grant and its renewals go over one connection, and over the next one
    /// under a token that no life has seen.
    lowest: Token,
    /// End of the last call that may have granted something: answered, or given up with its connection reset.
    last_call: Option<Instant>,
    next_round: Option<Instant>,
    /// The server refused a token a moment ago: it is asked again only at the next round.
    refused: bool,
    /// First of the calls without an answer since the last answer.
    silent_since: Option<Instant>,
    /// A round of grants is under way.
    pub(super) busy: bool,
    /// When the present round began, or the last one.
    begun: Option<Instant>,
    /// When the last round began of which the server took a call and refused none.
    took_at: Option<Instant>,
    /// This life of the server has surely ended.
    pub(super) ended: bool,
    /// No grant is sent any more, so that its hold runs out.
    pub(super) given_up: bool,
    /// The list has lacked the server since it was given up.
    unlisted: bool,
    /// What the server has confirmed.
    confirmed: BTreeSet<(KeyRange, Token)>,
}

impl Contact {
    pub(super) fn new(owner: Owner) -> Self {
        Self {
            owner,
            opened: None,
            lowest: Token(0),
            last_call: None,
            next_round: None,
            refused: false,
            silent_since: None,
            busy: false,
            begun: None,
            took_at: None,
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
    pub(super) fn above(owner: Owner, lowest: Token) -> Self {
        Self { lowest, ..Self::new(owner) }
    }

    /// The connection that calls may go over.
    pub(super) fn line(&self) -> Option<Instant> {
        self.opened
    }

    /// Whether no connection to the server is known yet, and one is being opened.
    pub(super) fn is_opening(&self) -> bool {
        self.busy && self.opened.is_none()
    }

    /// Whether the present connection was open before `proof`, or none is known.
    ///
    /// A server keeps the tokens that it saw for as long as it runs, and a connection ends with the life that it was opened to. Over
    /// one that was open when no successor had a record yet, a leader reaches the life that refuses it from its successor's first
    /// grant on. Over a later one it could reach a life that was born after that grant and has forgotten it, and two servers would
    /// hold the same keys.
    pub(super) fn is_proved(&self, proof: Instant) -> bool {
        self.opened.is_none_or(|at| at < proof)
    }

    /// The token under which a range is granted that the map has under `token`.
    pub(super) fn token(&self, token: Token) -> Token {
        token.max(self.lowest)
    }

    /// Whether the range with this token came after the present connection.
    pub(super) fn is_after_opening(&self, token: Token) -> bool {
        token > self.lowest
    }

    /// Another connection was open at `at`. `fresh` is a token above all that were given out.
    pub(super) fn on_opened(&mut self, at: Instant, fresh: impl FnOnce() -> Token) {
        if self.opened.replace(at).is_some() {
            self.lowest = fresh();
            self.confirmed.clear();
        }
    }

    /// A round of grants is ordered. None of its calls is sent before this.
    pub(super) fn begin_round(&mut self, now: Instant) {
        self.busy = true;
        self.begun = Some(now);
    }

    /// A time after which the server took a grant.
    pub(super) fn took_at(&self) -> Option<Instant> {
        self.took_at.filter(|_| !self.ended)
    }

    /// Whether a round of renewals may start now.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.next_round.is_none_or(|at| now >= at)
    }

    /// Whether grants of new ranges may go out before the next round.
    pub(super) fn takes_new(&self) -> bool {
        self.is_well() && !self.refused
    }

    /// Whether the server answered the last time it was asked, or was not asked yet.
    pub(super) fn is_well(&self) -> bool {
        self.silent_since.is_none() && !self.ended && !self.given_up
    }

    pub(super) fn on_round(
        &mut self,
        now: Instant,
        outcome: Outcome,
        last_call: Option<Instant>,
        confirmed: &[(KeyRange, Token)],
        refused: bool,
        renew_every: Duration,
    ) {
        self.busy = false;
        if !confirmed.is_empty() && !refused {
            self.took_at = self.took_at.max(self.begun);
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
    pub(super) fn forget_but(&mut self, held: &[(KeyRange, Token)]) {
        let lowest = self.lowest;
        let is_current = |range: KeyRange, token| {
            held.iter().any(|(other, of)| lowest.max(*of) == token && other.overlaps(range))
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
    pub(super) fn has_lapsed(&self, now: Instant, others_until: Instant) -> bool {
        if self.ended {
            return true;
        }
        let last = self.last_call.map_or(others_until, |call| call.max(others_until));
        !self.busy && now >= last + longest_hold()
    }

    /// Whether a server that was given up has come back: it had left the list, and is on it again.
    ///
    /// One that stays on the list may take grants whose answers are lost, and its hold would never run out if it were asked again.
    pub(super) fn is_back(&mut self, listed: bool) -> bool {
        self.unlisted |= self.given_up && !listed;
        self.unlisted && listed && !self.ended
    }

    /// Starts over with a server that was given up.
    pub(super) fn try_anew(&mut self) {
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
