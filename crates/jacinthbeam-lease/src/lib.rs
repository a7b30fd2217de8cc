//! Who may speak to a backend server, until when, and which slots it may be granted:
//! `docs/OWNERSHIP.md` as code.
//!
//! Everything here is pure. Events and `now` go in, actions come out; sockets, the log and timers belong to
//! the entry host's process. What a record means is decided by `jacinthbeam-state`, which slots should move
//! by `jacinthbeam-placement`.
//!
//! - [`membership`]: which entry hosts of the cell are alive, and which of them attends a backend server.
//! - [`witness`] and [`witnesses`]: promises of silence, and change of the set of witnesses.
//! - [`proof`]: until when a lease may be renewed.
//! - [`grant`]: the arithmetic of a lease's end on two clocks.
//! - [`attendant`]: the state machine that keeps one backend server's lease.
//! - [`watch`]: when a cell counts as silent for the others.
//! - [`abandoned`]: evictions by hosts of other cells.

pub mod abandoned;
pub mod attendant;
pub mod grant;
pub mod membership;
pub mod observed;
pub mod proof;
pub mod timing;
pub mod watch;
pub mod witness;
pub mod witnesses;

pub use attendant::{Action, Attendant, Cx, Event};
pub use grant::{Grant, GrantState, Permit};
pub use membership::Members;
pub use observed::Observed;
pub use proof::Proofs;
pub use timing::Timing;
pub use witness::{Probe, Probed, Vouch, Witness};
