//! Exclusive ownership of key ranges.
//!
//! The keys of a service are the numbers 0 to 65535. A [`Map`] assigns ranges of them to backend
//! servers, each under a fencing token. It is stored as a single record in the platform's store and
//! replaced only by a conditional write, which fails if another host has replaced it meanwhile.
//!
//! One host at a time, the leader, grants the keys of a service to their owners. Its [`Grantor`]
//! decides what to record, grant, renew and release, and when the grants of an unreachable server
//! have certainly expired. [`balance`] proposes moves from the measured load, and [`admission`] limits
//! what is sent to an overloaded owner.
//!
//! This crate does no I/O and reads no clock: events and the time go in, actions come out.
//! `docs/OWNERSHIP.md` proves that the order of the steps keeps ownership exclusive.

pub mod admission;
pub mod balance;
pub mod demand;
pub mod grantor;
pub mod key;
pub mod map;
pub mod owners;

pub use grantor::{Action, Event, Grantor};
pub use key::{Key, KeyRange};
pub use map::{Assignment, Leader, Map, Owner};
