//! A host's part in the group that shares the duties out: when it joins, stays, rests and leaves. No I/O.
//!
//! Joining is also the sign of life: without it the store gives the duties to others. A host that can't reach the store stays a
//! member as far as it knows, since its duties are advice, and the right to grant is proved elsewhere.

pub mod lease;
mod machine;
pub mod standby;

use std::fmt;

use statig::prelude::{IntoStateMachineExt, StateMachine};

pub use lease::DutyLease;
use machine::Machine;
pub use standby::Standby;

/// What has happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// It is time for the next word to the store.
    Due {
        /// The host takes no duty for a while.
        paused: bool,
        /// The host takes no duty any more.
        leaving: bool,
    },
    /// The store answered a join, with the group's generation.
    Joined(u64),
    /// A join got no answer, or a refusal.
    Failed,
}

/// What to say to the store next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Next {
    /// Nothing now.
    #[default]
    Nothing,
    /// Join, or stay, by the last generation heard of.
    Join(u64),
    /// Leave.
    Leave,
    /// Nothing any more.
    End,
}

/// What changed for whoever reads the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// The store does not answer.
    Lost,
    /// It answers again.
    Regained,
}

/// The membership of one life of a process.
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
    /// Takes an event.
    pub fn handle(&mut self, event: Event) {
        self.0.handle(&event);
    }

    /// What to say to the store now.
    pub fn next(&self) -> Next {
        self.0.next
    }

    /// Takes what is worth a line of the log.
    pub fn take_notice(&self) -> Option<Notice> {
        self.0.notice.take()
    }
}
