//! What waits for the control thread, and in which order it is taken. No I/O.

use std::{collections::VecDeque, fmt, time::Instant};

/// Inputs that are taken before other tasks get their turn, besides what the store says. Assumed is that 700 a second
/// are all that a host can do, 1.4 ms each, so that a round takes 45 ms of the seconds in which a change has to act.
const ROUND: usize = 32;

/// Reports that may wait: what 128 hosts say in a second. What a host says of its load is of use for about as long, and in a backlog the
/// present is worth more than what came first.
const MOST_REPORTS: usize = 512;

/// What an input is to the order in which inputs are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InputKind {
    /// It tells what the store holds, or is about telling others. Everything else is decided by it.
    StoreState,
    /// It says that time has passed; a later one says no less.
    Tick,
    /// It tells of the load that somebody saw lately, and will again.
    Report,
    /// Anything else.
    Other,
}

/// An input, and since when it waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting<I> {
    /// The input.
    pub input: I,
    /// When it came.
    pub since: Instant,
}

/// Inputs that have come and were not taken yet.
///
/// What the store says is taken before anything else, however much waits. In one queue it waited behind all that a host had to do for
/// the keys that it grants: with three seconds of that piled up, a host went by an old configuration for 2.9 s
/// (`tests/inbox.rs`, without network), and would refuse callers whose routes are in force. Since there are a few such inputs a second, the rest is not held up by them.
pub struct Inbox<I> {
    kind: fn(&I) -> InputKind,
    news: VecDeque<Waiting<I>>,
    reports: VecDeque<Waiting<I>>,
    /// All others, with one tick at the most.
    others: VecDeque<Waiting<I>>,
    tick_waits: bool,
}

impl<I> fmt::Debug for Inbox<I> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inbox")
            .field("news", &self.news.len())
            .field("reports", &self.reports.len())
            .field("others", &self.others.len())
            .finish()
    }
}

impl<I> Inbox<I> {
    /// An empty one. `kind` tells inputs apart.
    pub fn new(kind: fn(&I) -> InputKind) -> Self {
        let [news, reports, others] = [(); 3].map(|()| VecDeque::new());
        Self { kind, news, reports, others, tick_waits: false }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.news.is_empty() && self.reports.is_empty() && self.others.is_empty()
    }

    /// Takes an input in. Returns whether one was left out for it: the oldest report, if there are too many.
    pub fn push(&mut self, waiting: Waiting<I>) -> bool {
        match (self.kind)(&waiting.input) {
            InputKind::StoreState => self.news.push_back(waiting),
            InputKind::Report => {
                self.reports.push_back(waiting);
                if self.reports.len() > MOST_REPORTS {
                    return self.reports.pop_front().is_some();
                }
            }
            InputKind::Tick if std::mem::replace(&mut self.tick_waits, true) => {}
            InputKind::Tick | InputKind::Other => self.others.push_back(waiting),
        }
        false
    }

    /// What to do next, in order, before other tasks get their turn and what came meanwhile is looked at: all that the store says, and
    /// some of the rest, half of it reports if so many wait.
    pub fn next_batch(&mut self) -> Vec<Waiting<I>> {
        let reports =
            self.reports.len().min((ROUND / 2).max(ROUND.saturating_sub(self.others.len())));
        let others = self.others.len().min(ROUND - reports);
        let kind = self.kind;
        let taken: Vec<_> = self
            .news
            .drain(..)
            .chain(self.others.drain(..others))
            .chain(self.reports.drain(..reports))
            .collect();
        if taken.iter().any(|waiting| kind(&waiting.input) == InputKind::Tick) {
            self.tick_waits = false;
        }
        taken
    }
}
