//! Inputs that are queued for the control thread, and the order in which they are processed. No I/O.

use std::{collections::VecDeque, fmt, time::Instant};

/// Inputs in a batch, apart from store state. At an assumed maximum of 700 inputs a second, 1.4 ms each, a batch takes 45 ms of the
/// seconds within which a change has to take effect.
const BATCH_SIZE: usize = 32;

/// Maximum number of queued load reports: what 128 hosts send in a second. A report is useful for about as long, so a backlog drops
/// the oldest ones.
const MAX_QUEUED_REPORTS: usize = 512;

/// Kind of an input, which decides the order in which inputs are processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InputKind {
    /// Carries or requests the state of the store, on which all other decisions are based.
    StoreState,
    /// A timer tick; while one is queued, later ones are dropped, since they add nothing.
    Tick,
    /// A load report of a host; the next one follows soon.
    Report,
    /// Anything else.
    Other,
}

/// A queued input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting<I> {
    /// The input.
    pub input: I,
    /// When it arrived.
    pub since: Instant,
}

/// Queue of inputs for the control thread.
///
/// Store state is processed before anything else, however long the queue is. In a single queue it waited behind all the work for the keys
/// that the host grants: with a backlog of three seconds, a host used an old configuration for 2.9 s (`tests/inbox.rs`, without network),
/// and would have refused callers whose routes were in force. There are only a few such inputs a second, so they don't delay the rest.
pub struct Inbox<I> {
    kind: fn(&I) -> InputKind,
    store_state: VecDeque<Waiting<I>>,
    reports: VecDeque<Waiting<I>>,
    /// All other inputs, including at most one tick.
    others: VecDeque<Waiting<I>>,
    tick_waits: bool,
}

impl<I> fmt::Debug for Inbox<I> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inbox")
            .field("store_state", &self.store_state.len())
            .field("reports", &self.reports.len())
            .field("others", &self.others.len())
            .finish()
    }
}

impl<I> Inbox<I> {
    /// An empty queue. `kind` classifies inputs.
    pub fn new(kind: fn(&I) -> InputKind) -> Self {
        let [store_state, reports, others] = [(); 3].map(|()| VecDeque::new());
        Self { kind, store_state, reports, others, tick_waits: false }
    }

    /// Whether no input is queued.
    pub fn is_empty(&self) -> bool {
        self.store_state.is_empty() && self.reports.is_empty() && self.others.is_empty()
    }

    /// Queues an input. Returns whether a report was dropped for it: the oldest one, if there are too many.
    pub fn push(&mut self, waiting: Waiting<I>) -> bool {
        match (self.kind)(&waiting.input) {
            InputKind::StoreState => self.store_state.push_back(waiting),
            InputKind::Report => {
                self.reports.push_back(waiting);
                if self.reports.len() > MAX_QUEUED_REPORTS {
                    return self.reports.pop_front().is_some();
                }
            }
            InputKind::Tick if std::mem::replace(&mut self.tick_waits, true) => {}
            InputKind::Tick | InputKind::Other => self.others.push_back(waiting),
        }
        false
    }

    /// Takes the next inputs to process, in order, before other tasks run and new inputs are queued: all store state, and up to
    /// `BATCH_SIZE` others, half of them reports if that many are queued.
    pub fn next_batch(&mut self) -> Vec<Waiting<I>> {
        let reports = self
            .reports
            .len()
            .min((BATCH_SIZE / 2).max(BATCH_SIZE.saturating_sub(self.others.len())));
        let others = self.others.len().min(BATCH_SIZE - reports);
        let kind = self.kind;
        let batch: Vec<_> = self
            .store_state
            .drain(..)
            .chain(self.others.drain(..others))
            .chain(self.reports.drain(..reports))
            .collect();
        if batch.iter().any(|waiting| kind(&waiting.input) == InputKind::Tick) {
            self.tick_waits = false;
        }
        batch
    }
}
