//! How many places of its concurrency a backend server gets at present.

use std::time::Instant;

use super::Options;

/// Grows by one place after some answers, shrinks by one at a shed.
///
/// A cold backend server is slow at first: with all its places taken at once every one of the first
/// requests would miss its deadline. One that sheds has less room than configured, whatever its
/// load endpoint says.
#[derive(Debug, Clone)]
pub(super) struct Ramp {
    limit: u32,
    answers: u32,
    changed: Instant,
}

impl Ramp {
    pub(super) fn new(options: &Options, now: Instant, cold: bool) -> Self {
        let limit = match cold {
            true => options.ramp_from.clamp(1, options.concurrency.max(1)),
            false => options.concurrency,
        };
        Self { limit, answers: 0, changed: now }
    }

    pub(super) fn limit(&self) -> u32 {
        self.limit
    }

    pub(super) fn answered(&mut self, options: &Options, now: Instant) {
        if self.limit >= options.concurrency {
            return;
        }
        self.answers += 1;
        let waited = now.saturating_duration_since(self.changed) >= options.ramp_step;
        if self.answers >= options.ramp_answers && waited {
            self.limit += 1;
            self.restart(now);
        }
    }

    pub(super) fn shed(&mut self, now: Instant) {
        self.limit = self.limit.saturating_sub(1).max(1);
        self.restart(now);
    }

    fn restart(&mut self, now: Instant) {
        self.answers = 0;
        self.changed = now;
    }
}
