//! The dump of one attendant.

use std::time::{Duration, Instant};

use jacinthbeam_types::prelude::*;
use serde::Serialize;

use crate::attendant::machine::{Machine, State};

/// What one attendant is doing.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// The backend server.
    pub server: ServerId,
    /// State of the machine.
    pub state: String,
    /// Token that this host presents.
    pub token: Option<Token>,
    /// Slots that traffic may send to.
    pub slots: usize,
    /// How long traffic may still send by the present permit.
    pub permit_left: Option<Duration>,
    /// How long ago the server answered.
    pub silent_for: Option<Duration>,
    /// Slots on their way out.
    pub releasing: Vec<SlotId>,
    /// Whether an append has no answer yet.
    pub appending: bool,
}

impl Summary {
    pub(super) fn new(state: &State, machine: &Machine, now: Instant) -> Self {
        let permit = machine.permit.as_ref();
        Self {
            server: machine.id.server.clone(),
            state: format!("{state:?}"),
            token: machine.token,
            slots: permit.map_or(0, |permit| permit.slots.len()),
            permit_left: permit.map(|permit| permit.until.saturating_duration_since(now)),
            silent_for: machine.alive_at.map(|at| now.saturating_duration_since(at)),
            releasing: machine.releasing.keys().copied().collect(),
            appending: machine.appends.outstanding().is_some(),
        }
    }
}
