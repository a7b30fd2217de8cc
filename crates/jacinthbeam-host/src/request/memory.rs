//! Bounds the memory that the bodies of requests and responses take in a process.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use jacinthbeam_types::prelude::Bytes as Size;

/// Share of the process's memory that request bodies may take, and again that response bodies may take.
const BODY_SHARE: u64 = 4;

/// Pause of a response that waits for memory.
const RECHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Memory for the bodies of one kind, shared by all connections of the process.
#[derive(Debug)]
pub struct BodyMemory {
    limit: usize,
    used: AtomicUsize,
}

impl BodyMemory {
    /// A quarter of the memory `of_process`.
    pub fn new(of_process: Size) -> Arc<Self> {
        let limit = usize::try_from(of_process.0 / BODY_SHARE).unwrap_or(usize::MAX);
        Arc::new(Self { limit, used: AtomicUsize::new(0) })
    }

    /// An empty reservation, to be extended as bytes arrive.
    pub fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation { memory: self.clone(), bytes: 0 }
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// Bytes that count against a [`BodyMemory`] until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl Reservation {
    /// Extends the reservation to `bytes` in all. Returns `false` if the limit does not allow that.
    pub fn extend_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let fits = |used: usize| Some(used + more).filter(|used| *used <= self.memory.limit);
        let extended =
            self.memory.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).is_ok();
        if extended {
            self.bytes += more;
        }
        extended
    }

    /// Like [`Self::extend_to`], but waits for memory. The caller of this bounds the wait.
    pub async fn wait_extend_to(&mut self, bytes: usize) {
        while !self.extend_to(bytes) {
            tokio::time::sleep(RECHECK_INTERVAL).await;
        }
    }

    /// Ties the reservation to `body`: it ends when the last clone of the body is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBody { body, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct ReservedBody {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
