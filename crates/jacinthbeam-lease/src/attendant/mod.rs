//! The state machine that keeps the lease of one backend server.

mod append;
mod contents;
mod context;
mod event;
mod lifetime;
mod machine;
mod moves;
mod renewal;
mod reply;
mod silence;
mod summary;

use std::{fmt, time::Instant};

use jacinthbeam_types::prelude::*;
use statig::blocking::{IntoStateMachineExt, StateMachine};

pub use append::AppendId;
pub use context::{Cx, PlannedMove};
pub use event::{Action, Event, Reply};
pub use machine::Identity;
pub use summary::Summary;

use context::Step;
use machine::Machine;

/// Keeps the lease of one backend server, or stands by to do so.
///
/// Every entry host of a cell has one for each backend server of the cell. The caller runs this
/// loop for each:
///
/// ```text
/// loop {
///     // Whatever comes first: an outcome of an earlier action, a new record, or 50 ms after the last tick.
///     let event = next_event().await;
///     // Read the clock and everything in `Cx` after the wait, never before it: the process may have been paused.
///     let now = clock.now();
///     let cx = Cx { proof: proofs.proof(now, &state, &server, cut_off, &witness), .. };
///     for action in attendant.on(now, event, &cx) {
///         match action {
///             // Stamp `sent` before the message is written and `received` after the answer was read. Time out after
///             // `Timing::probe_timeout`. Report exactly one of Reply, Refused and NoReply for each.
///             Action::Query | Action::Grant(_) => ..
///             // Report Appended or AppendFailed, exactly one for each.
///             Action::Append { .. } => ..
///             // Ask every live host of the cell, this one included. Report each answer as Probed.
///             Action::Probe(_) => ..
///             // Tell traffic. The last Open, Close or Drain is in force; Hold narrows the permit until the next Open.
///             Action::Open(_) | Action::Close | Action::Hold { .. } | Action::Drain => ..
///             // Send Question::Attend to that host, whose attendant gets Event::Asked.
///             Action::AskAttend { .. } => ..
///             // members.report(..)
///             Action::Report { .. } => ..
///             // When all attendants of a stopping host have handed over: members.stop(), heartbeat, exit.
///             Action::HandedOver => ..
///         }
///     }
/// }
/// ```
///
/// [`Event::Elected`] is sent first and whenever [`Members::attendant_of`](crate::Members::attendant_of)
/// changes. After each event, [`Members::attend`](crate::Members::attend) is told what [`Attendant::attends`]
/// says; once that is no more, a heartbeat goes out at once, since another host may be waiting for it.
///
/// Actions may be carried out late: what keeps two backend servers from owning a slot lies in the grants and
/// records themselves, see `docs/OWNERSHIP.md`. Two things are the caller's to keep. Traffic checks
/// [`Permit::allows`](crate::Permit::allows) right before it writes a request. And a slot is reported in
/// [`Event::Released`] only once no request for a key of it can still have an effect; a request counts for
/// the slot that its key has in the fold of `Cx`, not in the one it was admitted under.
pub struct Attendant(StateMachine<Machine>);

impl Attendant {
    /// Stands by for a backend server.
    pub fn new(id: Identity) -> Self {
        Self(Machine::new(id).state_machine())
    }

    /// Takes an event in and says what to do. `now` and `cx` must be those of this moment.
    pub fn on(&mut self, now: Instant, event: Event, cx: &Cx<'_>) -> Vec<Action> {
        let mut step = Step { now, cx, actions: Vec::new() };
        self.0.handle_with_context(&event, &mut step);
        step.actions
    }

    /// The token under which this host holds the server's lease, for heartbeats.
    pub fn attends(&self) -> Option<Token> {
        let machine = self.0.inner();
        machine.token.filter(|_| machine.held_since.is_some())
    }

    /// What it is doing, for a dump.
    pub fn summary(&self, now: Instant) -> Summary {
        Summary::new(self.0.state(), self.0.inner(), now)
    }
}

impl fmt::Debug for Attendant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Attendant").field(self.0.state()).field(self.0.inner()).finish()
    }
}
