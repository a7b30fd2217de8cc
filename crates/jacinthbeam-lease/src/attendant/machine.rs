//! States and transitions. What is done in them stands in the sibling modules.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use jacinthbeam_types::prelude::*;
use statig::prelude::*;

use crate::{
    attendant::{
        Action, AppendId, Event, Reply,
        append::Appends,
        context::Step,
        lifetime::Leave,
        moves::Releasing,
        silence::{Promises, Round},
    },
    grant::Permit,
};

/// Who attends whom.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The backend server.
    pub server: ServerId,
    /// Service that it serves, by the platform's list.
    pub service: ServiceName,
    /// Cell of the server and of this host.
    pub cell: CellId,
    /// This host.
    pub host: HostId,
    /// This life of this host.
    pub incarnation: Incarnation,
}

/// What is remembered across states.
#[derive(Debug)]
pub(super) struct Machine {
    pub(super) id: Identity,
    /// Whether this host should attend by its own view of the members.
    pub(super) elected: bool,
    /// Since when it should.
    pub(super) elected_since: Option<Instant>,
    /// Until when it attends because another host asked.
    pub(super) asked_until: Option<Instant>,
    /// Not before then does it take charge again after it lost the server to another host.
    pub(super) backoff_until: Option<Instant>,
    /// Whether another host said at the last look that it holds the lease.
    pub(super) saw_incumbent: bool,
    pub(super) stopping: bool,
    /// Whether it says in heartbeats that it can't reach the server.
    pub(super) reported_unreachable: bool,

    /// Token that it presents; `None` while it has presented none.
    pub(super) token: Option<Token>,
    /// When the server first confirmed the token.
    pub(super) held_since: Option<Instant>,
    /// Newest answer, by the time its question was sent.
    pub(super) seen: Option<Reply>,
    /// When the server last showed life, or since when it could have.
    pub(super) alive_at: Option<Instant>,
    /// When the last event came.
    pub(super) last_event: Option<Instant>,
    /// Whether a query or a grant has no outcome yet.
    pub(super) asking: bool,
    /// Whether the last answer could not be acted upon for want of a record or a proof.
    pub(super) stalled: bool,
    /// When to ask next; `None` is now.
    pub(super) due: Option<Instant>,
    /// Latest end of any lease that it asked for under the present token.
    pub(super) lease_end: Option<Instant>,
    /// What traffic may send.
    pub(super) permit: Option<Permit>,

    pub(super) appends: Appends,
    /// Slots that are on their way out.
    pub(super) releasing: BTreeMap<SlotId, Releasing>,
    pub(super) leave: Leave,
    /// Promises of witnesses that were given to this host.
    pub(super) promises: Option<Promises>,
    pub(super) round: Option<Round>,
    /// The append of the eviction, which a `Keep` need not wait for.
    pub(super) evicting: Option<AppendId>,
}

impl Machine {
    pub(super) fn new(id: Identity) -> Self {
        Self {
            id,
            elected: false,
            elected_since: None,
            asked_until: None,
            backoff_until: None,
            saw_incumbent: false,
            stopping: false,
            reported_unreachable: false,
            token: None,
            held_since: None,
            seen: None,
            alive_at: None,
            last_event: None,
            asking: false,
            stalled: false,
            due: None,
            lease_end: None,
            permit: None,
            appends: Appends::default(),
            releasing: BTreeMap::new(),
            leave: Leave::No,
            promises: None,
            round: None,
            evicting: None,
        }
    }
}

#[state_machine(
    initial = "State::idle()",
    state(derive(Debug)),
    superstate(derive(Debug)),
    visibility = "pub(super)",
    before_dispatch = "Self::note_time",
    context_identifier = "step"
)]
impl Machine {
    /// Another host attends.
    #[state(entry_action = "enter_idle")]
    fn idle(&mut self, event: &Event, step: &mut Step<'_>) -> Outcome<State> {
        match event {
            Event::Reply(reply) | Event::Refused(reply) => self.heard_idle(step, reply),
            Event::Stop => {
                self.stopping = true;
                step.push(Action::HandedOver);
            }
            _ => self.note(step, event),
        }
        self.watch_incumbent(step);
        if self.is_wanted(step.now) && !self.awaits_handover(step) {
            self.take_charge(step);
            return Transition(State::taking());
        }
        self.retry_unreachable(step);
        Handled
    }

    #[action]
    fn enter_idle(&mut self, step: &mut Step<'_>) {
        self.stand_down(step);
    }

    /// In charge, but the server has not confirmed the token yet or is no member.
    #[state(superstate = "in_charge")]
    fn taking(&mut self, event: &Event, step: &mut Step<'_>) -> Outcome<State> {
        match event {
            Event::Tick if self.is_wanted(step.now) => {
                if self.is_silent(step) && self.is_member(step) {
                    return Transition(State::unreachable());
                }
                self.leave_if_gone(step);
                self.ask_if_able(step);
                Handled
            }
            _ => Super,
        }
    }

    /// The server confirms the token.
    #[state(superstate = "in_charge")]
    fn attending(&mut self, event: &Event, step: &mut Step<'_>) -> Outcome<State> {
        match event {
            Event::Tick if self.is_wanted(step.now) => {
                if self.is_silent(step) {
                    return Transition(State::unreachable());
                }
                self.attend(step);
                Handled
            }
            _ => Super,
        }
    }

    /// The server has been silent: all hosts of the cell try it.
    #[state(superstate = "in_charge", entry_action = "enter_unreachable")]
    fn unreachable(&mut self, event: &Event, step: &mut Step<'_>) -> Outcome<State> {
        match event {
            Event::Probed { host, incarnation, probe, probed } => {
                self.probed(host, *incarnation, probe, *probed);
            }
            Event::Tick if self.is_wanted(step.now) => self.ask_if_due(step),
            _ => return Super,
        }
        self.judge_round(step)
    }

    #[action]
    fn enter_unreachable(&mut self, step: &mut Step<'_>) {
        self.begin_round(step);
    }

    /// The eviction of the server is being written.
    #[state(superstate = "in_charge", entry_action = "enter_evicting")]
    fn evicting(&mut self, event: &Event, step: &mut Step<'_>) -> Outcome<State> {
        match event {
            Event::Tick if self.is_wanted(step.now) => {
                self.ask_if_due(step);
                self.judge_eviction(step)
            }
            _ => Super,
        }
    }

    #[action]
    fn enter_evicting(&mut self, step: &mut Step<'_>) {
        self.evict(step);
    }

    /// Another host is to attend: what runs may end first, and the lease is renewed until then.
    #[state(entry_action = "enter_draining")]
    fn draining(&mut self, event: &Event, step: &mut Step<'_>) -> Outcome<State> {
        match event {
            Event::Reply(reply) | Event::Refused(reply) => self.heard_draining(step, reply),
            Event::Drained => {
                self.hand_over(step);
                return Transition(State::idle());
            }
            Event::Stop => self.stopping = true,
            Event::Tick => self.renew_if_due(step),
            _ => self.note(step, event),
        }
        if self.is_wanted(step.now) {
            return Transition(State::taking());
        }
        if self.token.is_none() && !self.stopping {
            return Transition(State::idle());
        }
        Handled
    }

    #[action]
    fn enter_draining(&mut self, step: &mut Step<'_>) {
        step.push(Action::Drain);
    }

    /// What is the same in all states in which this host is in charge.
    #[superstate]
    fn in_charge(&mut self, event: &Event, step: &mut Step<'_>) -> Outcome<State> {
        match event {
            Event::Stop => {
                self.stopping = true;
                return Transition(State::draining());
            }
            Event::Reply(reply) | Event::Refused(reply) => return self.replied(step, reply),
            Event::Released { slots } => self.released(slots),
            Event::Drained => self.drained(),
            _ => self.note(step, event),
        }
        match (self.is_wanted(step.now), self.permit.is_some()) {
            (true, _) => Handled,
            (false, true) => Transition(State::draining()),
            (false, false) => Transition(State::idle()),
        }
    }
}

impl Machine {
    /// A process that was paused has asked nothing meanwhile, so the server's silence says nothing of the
    /// server. Without this a host that runs on after a pause would start to evict servers that others attend.
    fn note_time(
        &mut self,
        _: StateOrSuperstate<'_, State, Superstate>,
        _: &Event,
        step: &mut Step<'_>,
    ) {
        let gap = self.last_event.map(|last| step.now.saturating_duration_since(last));
        if gap.is_some_and(|gap| gap >= step.cx.timing.probe_timeout) {
            self.alive_at = Some(step.now);
        }
        self.last_event = Some(step.now);
    }

    /// Takes in what only changes what is remembered.
    fn note(&mut self, step: &Step<'_>, event: &Event) {
        match event {
            Event::Elected(elected) => self.elect(step, *elected),
            Event::Asked => self.asked(step),
            Event::NoReply => self.asking = false,
            Event::Appended { id, offset } => self.appends.written(*id, *offset),
            Event::AppendFailed { id } => self.appends.failed(*id, step.now),
            _ => {}
        }
    }

    /// Slots that the fold gives to the server, also of a service that is configured no more.
    pub(super) fn owned(&self, step: &Step<'_>) -> BTreeSet<SlotId> {
        let known = step.server(&self.id);
        known.map(|known| known.slots().iter().copied().collect()).unwrap_or_default()
    }
}
