//! The room that a request takes on this host.

use std::sync::Arc;

use jacinthbeam_admission::fair::Share;
use jacinthbeam_types::prelude::*;

use super::call::Call;
use crate::process::Traffic;

/// A request counted in its team's share of this host, until it is dropped.
///
/// It is handed to the body of the answer: a request whose answer is still being sent holds a connection and memory, so
/// it is in progress until the body has ended or the caller has gone.
#[derive(Debug)]
pub struct Entered {
    cx: Arc<Traffic>,
    share: Share,
}

impl Entered {
    /// Counts a request in, or refuses it.
    pub fn enter(cx: &Arc<Traffic>, call: &Call) -> Result<Self, Refusal> {
        let share = Share { team: call.team.clone(), service: call.service.clone() };
        cx.teams.lock().expect("no holder of the lock panics").enter(&share)?;
        Ok(Self { cx: cx.clone(), share })
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.cx.teams.lock().expect("no holder of the lock panics").leave(&self.share);
    }
}
