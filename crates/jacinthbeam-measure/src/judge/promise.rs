//! What must always hold, and how often it did not.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;

/// Examples that are kept of each broken promise.
const EXAMPLES: usize = 5;

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// No two backend servers hold a slot at the same time.
    OneOwner,
    /// No request has its effect while another server holds its slot.
    EffectUnderOwnership,
    /// An order runs at most once.
    AtMostOnce,
    /// What was refused as not run did not run.
    NotRun,
    /// What was answered as run did run.
    Ran,
    /// Every request gets a verdict, unless the host it was sent to was lost.
    Verdict,
    /// An answer is whole and belongs to its request.
    OwnAnswer,
    /// No backend server is given more requests at once than it can take.
    Concurrency,
    /// No backend server is given more connections than it can take.
    Connections,
    /// A planned stop or leaving cuts off no request in progress.
    PlannedCutsNothing,
    /// A planned stop or leaving refuses no request.
    PlannedRefusesNothing,
    /// A leaving backend server gets no new work after a few seconds.
    LeavingGetsNothing,
    /// After a fault every slot is served again.
    ServedAgain,
}

impl Promise {
    /// All promises.
    pub const ALL: [Self; 13] = [
        Self::OneOwner,
        Self::EffectUnderOwnership,
        Self::AtMostOnce,
        Self::NotRun,
        Self::Ran,
        Self::Verdict,
        Self::OwnAnswer,
        Self::Concurrency,
        Self::Connections,
        Self::PlannedCutsNothing,
        Self::PlannedRefusesNothing,
        Self::LeavingGetsNothing,
        Self::ServedAgain,
    ];
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OneOwner => "one owner of a slot at a time",
            Self::EffectUnderOwnership => "no effect while another server holds the slot",
            Self::AtMostOnce => "an order runs at most once",
            Self::NotRun => "not-run is said only of what did not run",
            Self::Ran => "ran is said only of what ran",
            Self::Verdict => "every request gets a verdict",
            Self::OwnAnswer => "an answer is whole and belongs to its request",
            Self::Concurrency => "concurrency of a backend server",
            Self::Connections => "connections of a backend server",
            Self::PlannedCutsNothing => "a planned stop or leaving cuts off nothing",
            Self::PlannedRefusesNothing => "a planned stop or leaving refuses nothing",
            Self::LeavingGetsNothing => "a leaving server gets no new work",
            Self::ServedAgain => "every slot is served again after a fault",
        })
    }
}

/// Number of times that each promise was broken, with a few examples.
#[derive(Debug, Default, Serialize)]
pub struct Broken(pub BTreeMap<Promise, Count>);

/// How often one promise was broken.
#[derive(Debug, Default, Serialize)]
pub struct Count {
    /// Times.
    pub times: u64,
    /// The first few, in words.
    pub examples: Vec<String>,
}

impl Broken {
    /// A promise was broken once more.
    pub fn add(&mut self, promise: Promise, example: impl FnOnce() -> String) {
        let count = self.0.entry(promise).or_default();
        count.times += 1;
        if count.examples.len() < EXAMPLES {
            count.examples.push(example());
        }
    }

    /// Times that a promise was broken.
    pub fn times(&self, promise: Promise) -> u64 {
        self.0.get(&promise).map_or(0, |count| count.times)
    }

    /// Whether every promise was kept.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
