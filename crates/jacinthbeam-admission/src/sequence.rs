//! Recognizes messages that arrive late or twice.

use std::time::{Duration, Instant};

/// The newest message of one sender.
#[derive(Debug, Clone, Copy, Default)]
pub struct Newest {
    seen: Option<(u32, Instant)>,
}

/// How an accepted message relates to the one before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepted {
    /// The first message of a process.
    First,
    /// A later message of the same process.
    Next {
        /// By how much the sequence increased; more than 1 if messages were lost.
        steps: u32,
        /// Time since the message before it.
        elapsed: Duration,
    },
}

impl Newest {
    /// Accepts a message that is newer than all before it; `None` if it is late or a duplicate.
    ///
    /// A lower sequence is accepted if nothing was accepted for `restart_after`: the process was restarted and counts from the beginning.
    pub fn accept(
        &mut self,
        sequence: u32,
        now: Instant,
        restart_after: Duration,
    ) -> Option<Accepted> {
        let accepted = match self.seen {
            None => Accepted::First,
            Some((seen, at)) => {
                let elapsed = now.saturating_duration_since(at);
                match sequence.checked_sub(seen) {
                    Some(steps) if steps > 0 => Accepted::Next { steps, elapsed },
                    _ if elapsed >= restart_after => Accepted::First,
                    _ => return None,
                }
            }
        };
        self.seen = Some((sequence, now));
        Some(accepted)
    }
}
