//! States and transitions of a membership.

use std::cell::Cell;

use statig::prelude::*;

use super::{Event, Next, Notice};

/// Data shared by all states.
#[derive(Debug, Default)]
pub(super) struct Machine {
    pub(super) next: Next,
    pub(super) notice: Cell<Option<Notice>>,
    generation: u64,
}

impl Machine {
    /// Requests a leave call. An unanswered join may have taken effect, so this is necessary in every state that joins.
    fn request_leave(&mut self) {
        self.next = Next::Leave;
        self.generation = 0;
    }
}

#[state_machine(initial = "State::paused()", state(derive(Debug)))]
impl Machine {
    /// No join was answered yet.
    #[state(superstate = "participating")]
    fn joining(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Joined(generation) => {
                self.generation = *generation;
                Transition(State::member())
            }
            Event::Failed => {
                self.notice.set(Some(Notice::Lost));
                Transition(State::unreachable())
            }
            Event::Due { .. } => Super,
        }
    }

    /// The last join was answered.
    #[state(superstate = "participating")]
    fn member(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Joined(generation) => {
                self.generation = *generation;
                Handled
            }
            Event::Failed => {
                self.notice.set(Some(Notice::Lost));
                Transition(State::unreachable())
            }
            Event::Due { .. } => Super,
        }
    }

    /// The last join failed.
    #[state(superstate = "participating")]
    fn unreachable(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Joined(generation) => {
                self.generation = *generation;
                self.notice.set(Some(Notice::Regained));
                Transition(State::member())
            }
            Event::Failed => Handled,
            Event::Due { .. } => Super,
        }
    }

    /// The host is not in the group: not yet, or paused.
    #[state]
    fn paused(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Due { leaving: true, .. } => {
                self.next = Next::End;
                Transition(State::left())
            }
            Event::Due { paused: true, .. } => {
                self.next = Next::Nothing;
                Handled
            }
            Event::Due { .. } => {
                self.next = Next::Join(0);
                Transition(State::joining())
            }
            Event::Joined(_) | Event::Failed => Handled,
        }
    }

    /// The host has left for good.
    #[state]
    fn left(&mut self) -> Outcome<State> {
        self.next = Next::End;
        Handled
    }

    /// Handles what is the same in all states that join.
    #[superstate]
    fn participating(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Due { leaving: true, .. } => {
                self.request_leave();
                Transition(State::left())
            }
            Event::Due { paused: true, .. } => {
                self.request_leave();
                Transition(State::paused())
            }
            Event::Due { .. } => {
                self.next = Next::Join(self.generation);
                Handled
            }
            Event::Joined(_) | Event::Failed => Handled,
        }
    }
}
