//! What an attendant sees of the rest of its process.

use std::{fmt, time::Instant};

use jacinthbeam_config::Service;
use jacinthbeam_state::{Server, State, record::SlotTarget};
use jacinthbeam_types::prelude::*;

use crate::{
    attendant::{Action, machine::Identity},
    membership::Members,
    observed::Observed,
    timing::Timing,
};

/// A slot that is to leave the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedMove {
    /// The slot.
    pub slot: SlotId,
    /// Where it goes.
    pub to: ServerId,
    /// Why, for operators.
    pub why: String,
}

/// Everything that a decision rests on, as of `now`.
#[derive(Clone, Copy)]
pub struct Cx<'a> {
    /// Fold of the control stream.
    pub state: &'a State,
    /// [`Proofs::proof`](crate::Proofs::proof) for this server.
    pub proof: Option<Instant>,
    /// [`Proofs::log`](crate::Proofs::log).
    pub log_read: Option<Instant>,
    /// [`Proofs::promised`](crate::Proofs::promised) for this server.
    pub promised: bool,
    /// Entry hosts of the cell.
    pub members: &'a Members,
    /// When this host read the records.
    pub observed: &'a Observed,
    /// Durations of the protocol.
    pub timing: &'a Timing,
    /// Whether the platform says that the server is leaving.
    pub leaving: bool,
    /// Slots that placement wants to move away from this server now. Already paced; a leaving server's are
    /// among them.
    pub planned: &'a [PlannedMove],
    /// Next owners for the slots of a server that is to be evicted.
    pub evict_targets: &'a dyn Fn(&ServerId) -> Vec<SlotTarget>,
}

impl fmt::Debug for Cx<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Cx")
            .field("next", &self.state.next)
            .field("proof", &self.proof)
            .field("log_read", &self.log_read)
            .field("promised", &self.promised)
            .field("leaving", &self.leaving)
            .field("planned", &self.planned)
            .finish_non_exhaustive()
    }
}

impl Cx<'_> {
    /// Whether the log has answered of late, so that the fold is close to its end and an append makes sense.
    pub(super) fn log_is_fresh(&self, now: Instant) -> bool {
        let age = self.log_read.map(|read| now.saturating_duration_since(read));
        age.is_some_and(|age| age <= self.timing.alive_within)
    }
}

/// One event being handled.
pub(super) struct Step<'a> {
    pub(super) now: Instant,
    pub(super) cx: &'a Cx<'a>,
    pub(super) actions: Vec<Action>,
}

impl<'a> Step<'a> {
    pub(super) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// The server in the fold, if it has joined.
    pub(super) fn server(&self, id: &Identity) -> Option<&'a Server> {
        self.cx.state.servers.get(&id.server)
    }

    pub(super) fn service(&self, id: &Identity) -> Option<&'a Service> {
        self.cx.state.service(&id.service)
    }

    pub(super) fn checks_grants(&self, id: &Identity) -> bool {
        self.service(id).is_some_and(|service| service.checks_grants)
    }
}
