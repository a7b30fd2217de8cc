//! States and transitions.

use std::cell::Cell;

use statig::prelude::*;

use super::{Event, Next, Notice};

/// What is remembered across states.
#[derive(Debug, Default)]
pub(super) struct Machine {
    pub(super) next: Next,
    pub(super) notice: Cell<Option<Notice>>,
    generation: u64,
}

impl Machine {
    /// Says that it leaves. A join that got no answer may be in force, so this is said in any state.
    fn say_leave(&mut self) {
        self.next = Next::Leave;
        self.generation = 0;
    }
}

#[state_machine(initial = "State::resting()", state(derive(Debug)))]
impl Machine {
    /// No join was answered yet.
    #[state(superstate = "taking_part")]
    fn apart(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Joined(generation) => {
                self.generation = *generation;
                Transition(State::member())
            }
            Event::Failed => {
                self.notice.set(Some(Notice::Lost));
                Transition(State::out_of_reach())
            }
            Event::Due { .. } => Super,
        }
    }

    /// The store answers.
    #[state(superstate = "taking_part")]
    fn member(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Joined(generation) => {
                self.generation = *generation;
                Handled
            }
            Event::Failed => {
                self.notice.set(Some(Notice::Lost));
                Transition(State::out_of_reach())
            }
            Event::Due { .. } => Super,
        }
    }

    /// The last word got no answer.
    #[state(superstate = "taking_part")]
    fn out_of_reach(&mut self, event: &Event) -> Outcome<State> {
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

    /// The host takes no part: not yet, or not for a while.
    #[state]
    fn resting(&mut self, event: &Event) -> Outcome<State> {
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
                Transition(State::apart())
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

    /// What is alike wherever a host takes part.
    #[superstate]
    fn taking_part(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Due { leaving: true, .. } => {
                self.say_leave();
                Transition(State::left())
            }
            Event::Due { paused: true, .. } => {
                self.say_leave();
                Transition(State::resting())
            }
            Event::Due { .. } => {
                self.next = Next::Join(self.generation);
                Handled
            }
            Event::Joined(_) | Event::Failed => Handled,
        }
    }
}
