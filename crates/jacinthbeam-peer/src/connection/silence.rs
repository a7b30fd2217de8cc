//! Decides from what was heard whether a connection has gone silent.

use std::time::Duration;

use tokio::time::Instant;

use crate::connection::Silence;

/// What to do about a connection now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Finding {
    /// Nothing.
    Well,
    /// Ask the other end for a sign of life.
    Ping,
    /// Send new requests elsewhere.
    Suspect,
    /// Give up what is in progress.
    Silent,
}

/// Follows one connection; does no I/O.
#[derive(Debug)]
pub(crate) struct Watch {
    bounds: Silence,
    asked: Option<Instant>,
}

impl Watch {
    pub(crate) fn new(bounds: Silence) -> Self {
        Self { bounds, asked: None }
    }

    /// How often [`Watch::check`] is to be called while streams are open.
    pub(crate) fn every(&self) -> Duration {
        self.bounds.ping_after.min(self.bounds.suspect_after) / 2
    }

    /// `heard` is when bytes last arrived, `busy` whether streams are open. Any byte is a sign of life.
    ///
    /// Silence counts from the unanswered PING and not from the last byte: a handler may well need longer for
    /// its answer than a connection may be silent.
    pub(crate) fn check(&mut self, now: Instant, heard: Instant, busy: bool) -> Finding {
        if self.asked.is_some_and(|asked| heard >= asked) || !busy {
            self.asked = None;
        }
        let Some(asked) = self.asked else {
            if busy && now.duration_since(heard) >= self.bounds.ping_after {
                self.asked = Some(now);
                return Finding::Ping;
            }
            return Finding::Well;
        };
        let silent = now.duration_since(asked);
        if silent >= self.bounds.give_up_after {
            Finding::Silent
        } else if silent >= self.bounds.suspect_after {
            Finding::Suspect
        } else {
            Finding::Well
        }
    }
}
