//! The fold of the platform log's control stream: configuration, owners of slots, backend servers, witnesses.
//!
//! Every process applies the same records in the same order by [`State::apply`] and so arrives at
//! the same state. A record names the epochs it is based on; one whose base is stale is void, and
//! the [`Outcome`] says why. All rules of `docs/OWNERSHIP.md` about records are enforced here and
//! nowhere else. This crate does no I/O and knows no time: how long a lease runs, and when a record
//! is worth appending, is left to `jacinthbeam-lease`.
//!
//! An [epoch](jacinthbeam_types::id::Epoch) is the offset of the record that set it. So epochs only
//! grow, also across the removal and return of a server or a service, and nothing has to be kept of
//! what is gone.

pub mod apply;
mod chunked;
pub mod division;
pub mod load;
pub mod outcome;
pub mod recent;
pub mod record;
pub mod server;
pub mod snapshot;
mod state;
pub mod witness;

pub use division::{Division, How, Owner};
pub use outcome::{Change, Outcome, Why};
pub use record::{Envelope, Record, RecordId};
pub use server::{Server, Servers, Status};
pub use state::State;
pub use witness::{Witness, WitnessSet};

/// Name of the stream that this crate folds.
pub const CONTROL: &str = "control";
/// Name of the stream that use is counted on.
pub const USAGE: &str = "usage";
