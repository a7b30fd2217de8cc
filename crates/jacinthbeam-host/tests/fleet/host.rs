//! The state of one host of a fleet that matters for its source of updates.

use jacinthbeam_host::process::peers::{HostEntry, order::Neighbours, source::SourceSelector};
use jacinthbeam_types::prelude::*;

use super::{Process, Store, register::Step};

pub(super) struct Host {
    pub(super) id: HostId,
    pub(super) entry: HostEntry,
    /// Index in the neighbour order of its domain.
    pub(super) position: usize,
    pub(super) process: Process,
    pub(super) store: Store,
    pub(super) starts_at: u64,
    /// The next step of its registration as a relay, and when it is due.
    pub(super) registration: Option<(u64, Step)>,
    /// Whether it knows the list of hosts, and not only the relays.
    pub(super) has_list: bool,
    pub(super) sources: SourceSelector,
    pub(super) neighbours: Option<Neighbours>,
    pub(super) follows: Option<usize>,
    /// Host that it asks for help.
    pub(super) helper: Option<usize>,
    /// Since when the host that it follows has not responded.
    pub(super) unresponsive_since: Option<u64>,
    /// Whether it reads the store itself.
    pub(super) direct: bool,
    pub(super) has_read: bool,
    pub(super) next_read: u64,
    pub(super) wake_at: u64,
    /// Time of its last successful read of the store.
    pub(super) read_at: Option<u64>,
    /// Time of the store read behind its latest update from another host, and its hops from the host that read it.
    pub(super) received: Option<(u64, u8)>,
}

impl Host {
    pub(super) fn new(id: HostId, entry: HostEntry) -> Self {
        Self {
            id,
            entry,
            position: 0,
            process: Process::Stopped,
            store: Store::Answers,
            starts_at: u64::MAX,
            registration: None,
            has_list: false,
            sources: SourceSelector::default(),
            neighbours: None,
            follows: None,
            helper: None,
            unresponsive_since: None,
            direct: false,
            has_read: false,
            next_read: 0,
            wake_at: 0,
            read_at: None,
            received: None,
        }
    }
}
