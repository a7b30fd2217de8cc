//! What a single answer of the server leads to. Host b; the fold is that of the fake, with s1 owning slots 0
//! and 1.

use std::time::{Duration, Instant};

use jacinthbeam_lease::{
    Action, Attendant, Cx, Event, GrantState, Members, Observed, Timing,
    attendant::{Identity, Reply},
};
use jacinthbeam_state::State;
use jacinthbeam_types::prelude::*;

use crate::support::{World, fresh, heard, name};

struct Desk {
    attendant: Attendant,
    state: State,
    start: Instant,
}

impl Desk {
    /// In charge of s1, with a question on its way.
    fn new() -> Self {
        let own = heard("b", 101);
        let id = Identity {
            server: name("s1"),
            service: name("tilecast"),
            cell: name("kamloops-a"),
            host: own.host,
            incarnation: own.incarnation,
        };
        let state = World::new(3, 3, "", 1).state;
        let mut desk = Self { attendant: Attendant::new(id), state, start: Instant::now() };
        assert_eq!(desk.on(0, Event::Elected(true)), [Action::Query]);
        desk
    }

    /// The log was read just now.
    fn on(&mut self, ms: u64, event: Event) -> Vec<Action> {
        let now = self.at(ms);
        let timing = Timing::default();
        self.attendant.on(
            now,
            event,
            &Cx {
                state: &self.state,
                proof: Some(now),
                log_read: Some(now),
                promised: false,
                members: &Members::new(self.start, heard("b", 101), &timing),
                observed: &Observed::new(self.start),
                timing: &timing,
                leaving: false,
                planned: &[],
                evict_targets: &|_| Vec::new(),
            },
        )
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn reply(&self, sent: u64, received: u64, state: &GrantState) -> Event {
        let state = state.clone();
        Event::Reply(Reply { sent: self.at(sent), received: self.at(received), state })
    }
}

/// As s1 after a grant of its slots and one that it does not own any more.
fn granted() -> GrantState {
    let slots = [0, 1, 5].map(SlotId).into();
    let (token, based_on) = (Token(7 << 32), Some(Offset(1)));
    GrantState { token, based_on, slots, until: 1_000_000, ..fresh(1) }
}

/// Between the answer and the arrival of the grant the predecessor may release slot 0 and record its move.
/// Its release is based on a newer record, so the server refuses this grant, which would put the slot back.
#[test]
fn a_takeover_repeats_what_the_server_reported() {
    let mut desk = Desk::new();
    let actions = desk.on(10, desk.reply(0, 10, &granted()));
    let [Action::Grant(grant)] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(grant.token, Token(8 << 32 | 101));
    assert_eq!((grant.based_on, desk.state.next), (Offset(1), Offset(3)));
    assert_eq!(grant.slots, [0, 1].map(SlotId).into());
}

/// The answer to a grant comes after almost a second. The permit still ends a lease's length after the proof.
#[test]
fn a_late_answer_does_not_extend_the_permit() {
    let mut desk = Desk::new();
    let actions = desk.on(10, desk.reply(0, 10, &granted()));
    let [Action::Grant(grant)] = &actions[..] else { panic!("{actions:?}") };
    let (token, slots) = (grant.token, grant.slots.clone());
    let accepted = GrantState { token, slots, until: grant.until, clock: 1000, ..granted() };
    let actions = desk.on(900, desk.reply(11, 900, &accepted));
    let [Action::Open(permit), ..] = &actions[..] else { panic!("{actions:?}") };
    assert!(permit.until <= desk.at(10) + Timing::default().lease);
    assert!(
        permit.allows(desk.at(900), Some(SlotId(1)))
            && !permit.allows(desk.at(900), Some(SlotId(5)))
    );
    assert!(!permit.allows(desk.at(1210), Some(SlotId(1))));
}

/// The process was paused with an answer in hand. Other hosts may have recorded a newer life of the server
/// meanwhile; were the old one to join again, the server would be thrown out.
#[test]
fn an_answer_from_before_a_pause_lets_nobody_join() {
    let joins = |received| {
        let mut desk = Desk::new();
        let actions = desk.on(5000, desk.reply(0, received, &fresh(9)));
        actions.iter().any(|action| matches!(action, Action::Append { .. }))
    };
    assert!(joins(4990));
    assert!(!joins(10));
}

/// The server was granted by a host that has read more. This one may not know which slots the
/// server has lost.
#[test]
fn a_host_that_has_read_less_than_the_grant_was_based_on_grants_nothing() {
    let mut desk = Desk::new();
    let ahead = GrantState { based_on: Some(desk.state.next), ..granted() };
    assert_eq!(desk.on(10, desk.reply(0, 10, &ahead)), []);
}
