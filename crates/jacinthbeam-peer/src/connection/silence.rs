//! Decides from what was heard whether a connection has gone silent.

use std::time::Duration;

use tokio::time::Instant;

use crate::connection::Silence;

/// No connection is looked at more often, whatever the settings say.
const MIN_TICK: Duration = Duration::from_millis(5);

/// What to do about a connection now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
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
pub struct Watch {
    bounds: Silence,
    asked: Option<Instant>,
    checked: Instant,
}

impl Watch {
    /// Starts at the opening of the connection.
    pub fn new(bounds: Silence, now: Instant) -> Self {
        Self { bounds, asked: None, checked: now }
    }

    /// How often [`Watch::check`] is to be called while streams are open.
    pub fn every(&self) -> Duration {
        let shortest = self.bounds.ping_after.min(self.bounds.suspect_after);
        (shortest / 2).max(MIN_TICK)
    }

    /// `heard` is when bytes last arrived, `busy` whether streams are open. Any byte is a sign of life.
    ///
    /// Silence counts from the unanswered PING and not from the last byte: a handler may well need longer for
    /// its answer than a connection may be silent.
    ///
    /// If this process was paused, the answer may lie unread in the socket. Counting the pause as silence would
    /// give up every connection of a host that was paused for a moment, so the count starts again after it.
    pub fn check(&mut self, now: Instant, heard: Instant, busy: bool) -> Finding {
        let paused = now.duration_since(self.checked) > 2 * self.every();
        self.checked = now;
        if self.asked.is_some_and(|asked| heard >= asked) || !busy {
            self.asked = None;
        }
        if paused && self.asked.is_some() {
            self.asked = Some(now);
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
