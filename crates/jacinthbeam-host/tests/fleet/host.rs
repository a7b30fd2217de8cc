//! One host of a fleet, as far as its news go.

use jacinthbeam_host::process::peers::{HostEntry, order::Neighbours, source::SourceSelector};
use jacinthbeam_types::prelude::*;

use super::{Process, Store};

pub(super) struct Host {
    pub(super) id: HostId,
    pub(super) entry: HostEntry,
    /// Its place in the order of its domain.
    pub(super) place: usize,
    pub(super) process: Process,
    pub(super) store: Store,
    pub(super) starts_at: u64,
    /// When a new host begins to look for others.
    pub(super) list_at: Option<u64>,
    pub(super) sources: SourceSelector,
    pub(super) neighbours: Option<Neighbours>,
    pub(super) follows: Option<usize>,
    /// Whom it asks for help.
    pub(super) helper: Option<usize>,
    /// When it began to hear nothing of whom it follows.
    pub(super) silent_since: Option<u64>,
    pub(super) direct: bool,
    pub(super) has_read: bool,
    pub(super) next_read: u64,
    pub(super) wake_at: u64,
    /// When the store answered it last, and what it heard of others.
    pub(super) read_at: Option<u64>,
    pub(super) heard: Option<(u64, u8)>,
}

impl Host {
    pub(super) fn new(id: HostId, entry: HostEntry) -> Self {
        Self {
            id,
            entry,
            place: 0,
            process: Process::Stopped,
            store: Store::Answers,
            starts_at: u64::MAX,
            list_at: None,
            sources: SourceSelector::default(),
            neighbours: None,
            follows: None,
            helper: None,
            silent_since: None,
            direct: false,
            has_read: false,
            next_read: 0,
            wake_at: 0,
            read_at: None,
            heard: None,
        }
    }
}
