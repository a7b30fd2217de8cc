//! What waits for the control thread, and in which order it is taken. No I/O.

use std::{collections::VecDeque, fmt, time::Instant};

/// Inputs that are taken at a time. A host that grants the keys of 181 servers gets some 700 a second, and one without processor time to
/// spare runs its tasks, of which this is one, ten times a second: fewer would pile up.
const BATCH: usize = 512;

/// What an input is to the order in which inputs are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It tells what the store holds, or is about telling others. Everything else is decided by it.
    News,
    /// It says that time has passed; a later one says no less.
    Tick,
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
pub struct Inbox<I> {
    kind: fn(&I) -> Kind,
    waiting: VecDeque<Waiting<I>>,
}

impl<I> fmt::Debug for Inbox<I> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inbox").field("waiting", &self.waiting.len()).finish()
    }
}

impl<I> Inbox<I> {
    /// An empty one. `kind` tells inputs apart.
    pub fn new(kind: fn(&I) -> Kind) -> Self {
        Self { kind, waiting: VecDeque::new() }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes an input in.
    pub fn add(&mut self, waiting: Waiting<I>) {
        self.waiting.push_back(waiting);
    }

    /// What to do next, in order, before other tasks get their turn and what came meanwhile is looked at.
    ///
    /// What is known of the store goes first: what a host serves by is old while it waits.
    pub fn take(&mut self) -> Vec<Waiting<I>> {
        let kind = self.kind;
        let batch = self.waiting.len().min(BATCH);
        let mut inputs: Vec<_> = self.waiting.drain(..batch).collect();
        inputs.sort_by_key(|waiting| kind(&waiting.input) != Kind::News);
        let last = inputs.iter().rposition(|waiting| kind(&waiting.input) == Kind::Tick);
        let mut n = 0;
        inputs.retain(|waiting| {
            n += 1;
            kind(&waiting.input) != Kind::Tick || Some(n - 1) == last
        });
        inputs
    }
}
