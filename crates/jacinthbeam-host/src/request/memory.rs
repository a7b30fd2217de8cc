//! Bounds the memory that the bodies of requests and responses take in a process.
//!
//! Large bodies leave a part of it to small ones. When they have used up the rest, those that hold more than an equal share of it fail, so
//! that responses that never end don't keep others waiting until their deadlines.

use std::{
    fmt,
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

/// Size beyond which a body counts as large, in bytes.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Share of the memory that is left to small bodies.
const SMALL_BODY_SHARE: usize = 4;

/// Pause of a response that waits for memory.
const RECHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Memory for the bodies of one kind, shared by all connections of the process.
#[derive(Debug)]
pub struct BodyMemory {
    limit: usize,
    used: AtomicUsize,
    /// Number of large bodies.
    large: AtomicUsize,
}

/// Memory is short, and the body holds more of it than an equal share among the large ones.
#[derive(Debug)]
pub struct ShareExceeded;

impl fmt::Display for ShareExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body holds more than its share of the memory for bodies, which is used up")
    }
}

impl std::error::Error for ShareExceeded {}

impl BodyMemory {
    /// A quarter of the memory `of_process`.
    pub fn new(of_process: Size) -> Arc<Self> {
        let limit = usize::try_from(of_process.0 / BODY_SHARE).unwrap_or(usize::MAX);
        Arc::new(Self { limit, used: AtomicUsize::new(0), large: AtomicUsize::new(0) })
    }

    /// An empty reservation, to be extended as bytes arrive.
    pub fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation { memory: self.clone(), bytes: 0, is_large: false }
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Bytes that large bodies may take.
    fn limit_of_large(&self) -> usize {
        self.limit - self.limit / SMALL_BODY_SHARE
    }
}

/// Bytes that count against a [`BodyMemory`] until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
    is_large: bool,
}

impl Reservation {
    /// Extends the reservation to `bytes` in all. Returns `false` if the limit does not allow that.
    pub fn extend_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let is_large = bytes > SMALL_BODY_BYTES;
        if is_large && !std::mem::replace(&mut self.is_large, true) {
            self.memory.large.fetch_add(1, Ordering::Relaxed);
        }
        let limit = if is_large { self.memory.limit_of_large() } else { self.memory.limit };
        let fits = |used: usize| Some(used + more).filter(|used| *used <= limit);
        let extended =
            self.memory.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).is_ok();
        if extended {
            self.bytes += more;
        }
        extended
    }

    /// Like [`Self::extend_to`], but waits for memory. The caller of this bounds the wait.
    ///
    /// # Errors
    ///
    /// If there is none, and this reservation exceeds its share.
    pub async fn wait_extend_to(&mut self, bytes: usize) -> Result<(), ShareExceeded> {
        while !self.extend_to(bytes) {
            let large = self.memory.large.load(Ordering::Relaxed).max(1);
            if self.bytes > self.memory.limit_of_large() / large {
                return Err(ShareExceeded);
            }
            tokio::time::sleep(RECHECK_INTERVAL).await;
        }
        Ok(())
    }

    /// Ties the reservation to `body`: it ends when the last clone of the body is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBody { body, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
        if self.is_large {
            self.memory.large.fetch_sub(1, Ordering::Relaxed);
        }
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
