//! Client of the platform's store: a log of topics and partitions, with conditional appends, keyed topics and groups.
//!
//! Everything that has to outlive a process is kept there. This crate knows what the store can do ([`Call`], [`Reply`],
//! [`Error`]) and how to call it well: kept connections that notice silence, bounded waits, a bound on the rate of calls,
//! backoff. How a call looks on the wire is told by a [`Wire`].

pub mod backoff;
pub mod call;
pub mod client;
pub mod keyed;
mod pace;

pub use backoff::Backoff;
pub use call::{Call, Error, Item, Page, Partition, Reply, Share, Wire};
pub use client::{Client, Lane, Observer};
