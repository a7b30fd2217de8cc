//! Ownership of keys by ranges.
//!
//! The keys of a service are the numbers 0 to 65535. A [`Map`] says which backend server owns which of them and under which
//! fencing token; it is one record in the platform's store, replaced only on the condition that nobody else replaced it. One
//! host at a time grants the keys of a service to their owners: its [`Grantor`] decides what to record, grant, renew and
//! release, and when a server that doesn't answer has surely lost its keys. [`balance`] proposes moves from the measured load.
//!
//! Everything here is pure: events and time go in, orders come out. `docs/OWNERSHIP.md` proves what the order of steps is for.

pub mod admission;
pub mod balance;
pub mod demand;
pub mod grantor;
pub mod key;
pub mod map;

pub use grantor::{Action, Event, Grantor};
pub use key::{Key, KeyRange};
pub use map::{Assignment, Leader, Map, Owner};
