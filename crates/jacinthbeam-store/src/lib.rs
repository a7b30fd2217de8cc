//! Client of the platform's store: a log of topics and partitions, with conditional appends, keyed topics
//! and consumer groups.
//!
//! The store holds all state that has to survive a restart. This crate defines its operations ([`Call`],
//! [`Reply`], [`Error`]) and a client with persistent connections that detect dead peers, timeouts, a rate
//! limit and backoff. The wire format is supplied as a [`Wire`].

pub mod backoff;
pub mod call;
pub mod client;
pub mod keyed;
mod position;
mod rate_limit;

pub use backoff::Backoff;
pub use call::{Call, Error, Item, Page, Partition, Reply, Share, Wire};
pub use client::{Client, Lane, Observer};
