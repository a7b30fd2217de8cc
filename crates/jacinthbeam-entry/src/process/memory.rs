//! Memory of requests with an idempotency key, shared by traffic threads.

use std::sync::{Arc, Mutex, MutexGuard};

use jacinthbeam_admission::duplicate::{Begin, Memory, Options, Scope, StoredAnswer};
use jacinthbeam_types::prelude::*;

/// The memory of this process.
#[derive(Debug, Clone)]
pub struct Shared {
    memory: Arc<Mutex<Memory>>,
    clock: Arc<dyn Clock>,
}

impl Shared {
    /// An empty memory.
    pub fn new(options: Options, clock: Arc<dyn Clock>) -> Self {
        Self { memory: Arc::new(Mutex::new(Memory::new(options))), clock }
    }

    /// See [`Memory::begin`].
    pub fn begin(&self, scope: &Scope, slot: Option<SlotId>, fingerprint: u64) -> Begin {
        self.lock().begin(self.clock.now(), scope, slot, fingerprint)
    }

    /// The attempt that [`Shared::begin`] started.
    pub fn attempt(&self, scope: Scope, number: u32) -> Attempt {
        Attempt { shared: self.clone(), scope, number, ended: false }
    }

    /// Number of entries and bytes, for the dump.
    pub fn size(&self) -> (usize, Bytes) {
        let memory = self.lock();
        (memory.len(), memory.bytes())
    }

    fn lock(&self) -> MutexGuard<'_, Memory> {
        self.memory.lock().expect("no holder of the lock panics")
    }
}

/// One attempt at a remembered request. Dropped without an end, it counts as one that may have run.
#[derive(Debug)]
pub struct Attempt {
    shared: Shared,
    scope: Scope,
    number: u32,
    ended: bool,
}

impl Attempt {
    /// It is proven not to have run.
    pub fn not_run(&mut self) {
        self.ended = true;
        let now = self.shared.clock.now();
        self.shared.lock().not_run(now, &self.scope, self.number);
    }

    /// It may have run.
    pub fn unknown(&mut self) {
        self.ended = true;
        let now = self.shared.clock.now();
        self.shared.lock().unknown(now, &self.scope, self.number);
    }

    /// It was answered; `None` if the answer is too large to be kept.
    pub fn answered(&mut self, answer: Option<StoredAnswer>) {
        self.ended = true;
        let now = self.shared.clock.now();
        self.shared.lock().answered(now, &self.scope, self.number, answer);
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
