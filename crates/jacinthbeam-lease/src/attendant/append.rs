//! One append to the log at a time.

use std::{fmt, time::Instant};

use jacinthbeam_types::prelude::*;

use crate::attendant::Cx;

/// Numbers the appends of one attendant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AppendId(pub u64);

impl fmt::Display for AppendId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The last append and what became of it.
///
/// The next one waits until the fold shows what the last one did. Repeats would be harmless, since each
/// record names the epochs it is based on and a second copy is void; the wait keeps them few while the log is
/// slow.
#[derive(Debug, Clone, Default)]
pub(super) struct Appends {
    last: AppendId,
    pending: Option<Pending>,
}

#[derive(Debug, Clone, Copy)]
enum Pending {
    /// No answer yet.
    Sent,
    /// Written, but perhaps not read yet.
    Written(Offset),
    /// Nobody knows. A read that starts later and reaches the end of the stream will tell.
    Unknown(Instant),
}

impl Appends {
    /// Whether the log answers, and the fold shows what became of the last append.
    pub(super) fn is_ready(&self, now: Instant, cx: &Cx<'_>) -> bool {
        let settled = match self.pending {
            None => true,
            Some(Pending::Sent) => false,
            Some(Pending::Written(offset)) => cx.state.next > offset,
            Some(Pending::Unknown(since)) => cx.log_read > Some(since),
        };
        settled && cx.log_is_fresh(now)
    }

    /// A number for a new append, which takes the place of the last one.
    pub(super) fn begin(&mut self) -> AppendId {
        self.last.0 += 1;
        self.pending = Some(Pending::Sent);
        self.last
    }

    pub(super) fn written(&mut self, id: AppendId, offset: Offset) {
        if id == self.last {
            self.pending = Some(Pending::Written(offset));
        }
    }

    pub(super) fn failed(&mut self, id: AppendId, now: Instant) {
        if id == self.last {
            self.pending = Some(Pending::Unknown(now));
        }
    }

    /// The append that has no answer yet.
    pub(super) fn outstanding(&self) -> Option<AppendId> {
        matches!(self.pending, Some(Pending::Sent)).then_some(self.last)
    }
}
