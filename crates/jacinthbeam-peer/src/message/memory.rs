//! Memory of requests with an idempotency key: copies of it, and who keeps it.

use std::time::Duration;

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What an attendant remembers of a request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Remembered {
    /// Service of the request.
    pub service: ServiceName,
    /// Hash of the request's key.
    pub key: KeyHash,
    /// Slot of that key.
    pub slot: Option<SlotId>,
    /// The caller's idempotency key.
    pub idempotency_key: IdempotencyKey,
    /// Hash over method, path and body of the request.
    pub fingerprint: u64,
    /// Counts the times it was sent; copies may arrive out of order, and the higher one wins.
    pub attempt: u32,
    /// How far it has got.
    pub progress: Progress,
}

/// How far a remembered request has got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// About to be sent, or sent; it may have run.
    Sent,
    /// Proven not to have run; it may be sent again.
    NotRun,
    /// Answered, and the answer is kept.
    Answered(StoredAnswer),
    /// Answered, but the answer is too large to be kept.
    AnsweredNotKept,
}

/// A kept answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers of the backend server's answer.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Names one keeper of a slot's memory: the attendant of its owner, in one stretch with one successor.
///
/// Ordered from the earlier to the later.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim {
    /// Epoch of the slot: which stretch of ownership.
    pub epoch: Epoch,
    /// Token of the attendant's grant: which attendant.
    pub token: Token,
    /// Counts the attendant's successors.
    pub round: u32,
    /// The slot's owner.
    pub server: ServerId,
}

/// A slot and the claim of the host that sends the message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedSlot {
    /// The slot.
    pub slot: SlotId,
    /// The claim.
    pub claim: Claim,
}

/// See [`Question::Remember`](super::Question::Remember).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copies {
    /// Service of all requests in the message.
    pub service: ServiceName,
    /// Slots that the message is about.
    pub slots: Vec<ClaimedSlot>,
    /// Whether these are all entries of the slots, or a part of them, or a single one.
    pub stage: Stage,
    /// The entries.
    pub copies: Vec<Remembered>,
    /// Slots whose memory was lost once, and how long ago.
    pub lost: Vec<(SlotId, Duration)>,
}

/// Place of a message in the copying of whole slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// The first of several: what the receiver holds of the slots under lower claims no longer counts.
    First,
    /// One in the middle.
    More,
    /// The last one: from now on the receiver holds all that the sender remembers of the slots.
    Last,
    /// Changes of entries after the last one.
    Update,
}

/// See [`Question::Claim`](super::Question::Claim).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimSlots {
    /// Service of the slots.
    pub service: ServiceName,
    /// The slots.
    pub slots: Vec<ClaimedSlot>,
    /// Token that the owner had accepted before the sender's.
    pub before: Token,
}

/// See [`Question::Claim`](super::Question::Claim).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimed {
    /// What the host knows of the slots; those that it knows nothing of are absent.
    pub slots: Vec<KnownSlot>,
    /// Whether the token before the sender's is one of this host's, and was used for no request
    /// with an idempotency key.
    pub unused_before: bool,
}

/// What a host knows of the keepers of a slot's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownSlot {
    /// The slot.
    pub slot: SlotId,
    /// Highest claim that it has heard of, other than the one it was just told.
    pub highest: Option<Claim>,
    /// It holds all that was remembered under this claim.
    pub covered: Option<Claim>,
    /// No request was sent under this claim, and none will be.
    pub unused: Option<Claim>,
    /// How long ago memory of the slot was lost, if that still matters.
    pub lost: Option<Duration>,
}

/// See [`Question::Fetch`](super::Question::Fetch).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Service of the slots.
    pub service: ServiceName,
    /// The slots.
    pub slots: Vec<SlotId>,
    /// Number of slots by which the service is divided, so that entries of keys that were split out are found too.
    pub divided_by: u32,
    /// The last entry that the sender has got.
    pub after: Option<EntryId>,
}

/// Names one entry among those of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryId {
    /// Hash of the request's key.
    pub key: KeyHash,
    /// The caller's idempotency key.
    pub idempotency_key: IdempotencyKey,
}

/// See [`Question::Fetch`](super::Question::Fetch).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetched {
    /// Entries in the order of their ids.
    pub copies: Vec<Remembered>,
    /// Whether there are more.
    pub more: bool,
}
