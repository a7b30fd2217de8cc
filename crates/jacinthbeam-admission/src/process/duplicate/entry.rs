//! What is remembered of a request with an idempotency key.

use std::sync::Arc;

use jacinthbeam_types::prelude::*;

/// Names one effect that a caller wants at most once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Scope {
    /// Hash of the request's key. First, so that most comparisons end here.
    pub key: KeyHash,
    /// The caller's idempotency key.
    pub idempotency_key: IdempotencyKey,
    /// Service of the request.
    pub service: ServiceName,
}

/// Slots whose memory is moved, or may be lost, together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotOf {
    /// Service of the slot.
    pub service: ServiceName,
    /// The slot; `None` for an undivided service.
    pub slot: Option<SlotId>,
}

/// How far a remembered request has got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// About to be sent, or sent; it may have run.
    Sent,
    /// Proven not to have run; it may be sent again.
    NotRun,
    /// Answered, and the answer is kept.
    Answered(Arc<StoredAnswer>),
    /// Answered, but the answer is not kept, for its size or for lack of room.
    AnsweredNotKept,
}

impl Progress {
    /// Later progress of the same attempt has a higher rank.
    pub(super) fn rank(&self) -> u8 {
        match self {
            Self::Sent => 0,
            Self::NotRun => 1,
            Self::AnsweredNotKept => 2,
            Self::Answered(_) => 3,
        }
    }
}

/// A kept answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers of the backend server's answer.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Bytes that it takes in memory, about.
    pub fn size(&self) -> u64 {
        let header = |(name, value): &(String, Vec<u8>)| name.len() + value.len() + HEADER_OVERHEAD;
        let headers: usize = self.headers.iter().map(header).sum();
        (ANSWER_OVERHEAD + headers + self.body.len()) as u64
    }
}

/// Bytes of an answer beside its headers and body: the struct, its allocations, its place in the
/// order of answers. Measured by `examples/cost.rs`.
const ANSWER_OVERHEAD: usize = 216;
/// Bytes of a header beside its name and value.
const HEADER_OVERHEAD: usize = size_of::<(String, Vec<u8>)>();

/// A remembered request as one host gives it to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Copy {
    /// The effect.
    pub scope: Scope,
    /// Slot of the request's key.
    pub slot: Option<SlotId>,
    /// Hash over method, path and body of the request.
    pub fingerprint: u64,
    /// Counts the times it was sent; copies may arrive out of order, and the higher one wins.
    pub attempt: u32,
    /// How far the attempt has got.
    pub progress: Progress,
}
