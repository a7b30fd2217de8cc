//! Connections that have gone silent for good while new ones work.

use std::time::{Duration, Instant};

/// What can be tuned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// A connection on which something is due and nothing has come for this long is suspect.
    pub suspect_after: Duration,
    /// An idle connection older than this is not used again. Shorter than the time after which
    /// anything in between forgets a connection.
    pub idle_at_most: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { suspect_after: Duration::from_millis(1_000), idle_at_most: Duration::from_secs(10) }
    }
}

/// Watches one connection on which a sign of life is due at all times while something is asked on it.
#[derive(Debug, Clone)]
pub struct Watch {
    opened: Instant,
    used: Instant,
    waiting_since: Option<Instant>,
}

impl Watch {
    /// Starts with a connection opened now.
    pub fn new(now: Instant) -> Self {
        Self { opened: now, used: now, waiting_since: None }
    }

    /// Something was sent that the other end has to react to.
    pub fn sent(&mut self, now: Instant) {
        self.used = now;
        self.waiting_since.get_or_insert(now);
    }

    /// Something came; `more_due` says whether the other end still owes something.
    pub fn heard(&mut self, now: Instant, more_due: bool) {
        self.used = now;
        self.waiting_since = more_due.then_some(now);
    }

    /// When the connection was opened.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// When it becomes suspect, if nothing comes.
    pub fn suspect_at(&self, options: &Options) -> Option<Instant> {
        self.waiting_since.map(|since| since + options.suspect_after)
    }

    /// Whether it has been silent for too long.
    pub fn is_suspect(&self, now: Instant, options: &Options) -> bool {
        self.suspect_at(options).is_some_and(|at| at <= now)
    }

    fn is_fresh(&self, now: Instant, options: &Options) -> bool {
        now.saturating_duration_since(self.used) < options.idle_at_most
    }
}

/// Silences seen towards one peer or backend server.
///
/// Whatever lost track of one connection has likely lost all that were open then. If each had to be
/// found out by a request of its own, as many requests would hang as there are connections.
#[derive(Debug, Clone, Default)]
pub struct Silences {
    last: Option<Instant>,
}

impl Silences {
    /// A connection was found silent: all that are open now are suspect.
    pub fn seen(&mut self, now: Instant) {
        self.last = self.last.max(Some(now));
    }

    /// Whether an idle connection may carry a new request.
    pub fn may_reuse(&self, now: Instant, watch: &Watch, options: &Options) -> bool {
        let after_silence = self.last.is_none_or(|last| watch.opened > last);
        after_silence && watch.waiting_since.is_none() && watch.is_fresh(now, options)
    }
}
