//! A host's membership in the group that assigns duties: when it joins, renews, pauses and leaves. No I/O.
//!
//! A join also serves as the heartbeat: without it the store assigns the host's duties to others. A host that can't reach the store goes on
//! as a member, since a duty is only a hint: the right to grant is fenced separately.

pub mod lease;
mod machine;
pub mod standby;

use std::fmt;

use statig::prelude::{IntoStateMachineExt, StateMachine};

pub use lease::DutyLease;
use machine::Machine;
pub use standby::Standby;

/// An event for the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// It is time for the next call to the store.
    Due {
        /// Whether the host stays out of the group for now.
        paused: bool,
        /// Whether the host leaves the group for good.
        leaving: bool,
    },
    /// The store answered a join, with the group's generation.
    Joined(u64),
    /// A join got no answer or was refused.
    Failed,
}

/// The next call to the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Next {
    /// None now.
    #[default]
    Nothing,
    /// Join or renew, with the latest known generation of the group; 0 for a new membership.
    Join(u64),
    /// Leave.
    Leave,
    /// None any more: the membership has ended.
    End,
}

/// A change that is worth a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// The store does not answer.
    Lost,
    /// It answers again.
    Regained,
}

/// The membership of one incarnation of a process.
pub struct Membership(StateMachine<Machine>);

impl fmt::Debug for Membership {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Membership").field(self.0.state()).field(&*self.0).finish()
    }
}

impl Default for Membership {
    fn default() -> Self {
        Self(Machine::default().state_machine())
    }
}

impl Membership {
    /// Handles an event.
    pub fn handle(&mut self, event: Event) {
        self.0.handle(&event);
    }

    /// The call to make to the store now.
    pub fn next(&self) -> Next {
        self.0.next
    }

    /// Returns and clears the notice to log.
    pub fn take_notice(&self) -> Option<Notice> {
        self.0.notice.take()
    }
}
