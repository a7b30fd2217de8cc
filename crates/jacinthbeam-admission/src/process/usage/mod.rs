//! What each team used: counted here, sent to the log in batches, folded once.
//!
//! [`Counter`] lives in the entry host's process and seals [`Batch`]es; [`Fold`] reads the usage
//! stream of the log and keeps totals, which snapshots in the same stream carry past the log's
//! retention.

mod batch;
mod counter;
mod fold;
mod pace;

pub use batch::{Batch, BatchId, Count, Record, decode, encode};
pub use counter::{Counter, FLUSH_COUNTS, flush_every};
pub use fold::{Fold, Life, MAX_GAPS, MAX_LIVES, Snapshot, Total, Totals};
pub use pace::Pace;

pub use batch::Error as DecodeError;
