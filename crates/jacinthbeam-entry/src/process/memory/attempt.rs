//! One attempt at a remembered request.

use jacinthbeam_admission::duplicate::{Scope, StoredAnswer};
use jacinthbeam_types::prelude::*;

use super::{Open, Place, Shared};

/// One attempt at a remembered request. Dropped without an end, it counts as one that may have run.
///
/// Its end is copied to the successor without anybody waiting for it: a successor that misses it knows the request as sent, and refuses a
/// repeat as `may-have-run`.
#[derive(Debug)]
pub struct Attempt {
    pub(super) shared: Shared,
    pub(super) place: Place,
    pub(super) scope: Scope,
    pub(super) number: u32,
    pub(super) ended: bool,
    pub(super) _open: Open,
}

impl Attempt {
    /// It is proven not to have run.
    pub fn not_run(&mut self) {
        self.ended = true;
        let now = self.shared.clock.now();
        self.shared.lock().memory.not_run(now, &self.scope, self.number);
        self.shared.update(&self.place, &self.scope);
    }

    /// It may have run.
    pub fn unknown(&mut self) {
        self.ended = true;
        let now = self.shared.clock.now();
        self.shared.lock().memory.unknown(now, &self.scope, self.number);
    }

    /// It was answered; `None` if the answer is too large to be kept.
    pub fn answered(&mut self, answer: Option<StoredAnswer>) {
        self.ended = true;
        let now = self.shared.clock.now();
        self.shared.lock().memory.answered(now, &self.scope, self.number, answer);
        self.shared.update(&self.place, &self.scope);
    }

    /// Waits until the successor holds a copy of the entry; to be done before the request is sent.
    pub async fn until_copied(&self, until: std::time::Instant) -> Result<(), Refusal> {
        self.shared.until_copied(&self.place, &self.scope, until).await
    }
}

impl Drop for Attempt {
    /// A task that is dropped while its request is on the way has not learnt what became of it.
    fn drop(&mut self) {
        if !self.ended {
            self.unknown();
        }
    }
}
