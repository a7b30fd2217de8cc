//! Golden sessions: faults in, what the attendants do out, with the time since the start.
//!
//! Three hosts a, b, c and three servers s1, s2, s3 of two slots each. Once started, c attends s1,
//! b s2 and a s3.

use crate::support::{FOREVER, Fault, Out, World};

/// When the cell has started and every slot is granted.
const STARTED: u64 = 2000;
const C: usize = 2;
const S1: usize = 0;

fn out(what: Out, ms: u64) -> Fault {
    Fault::Out { what, ms }
}

fn session(until_ms: u64, service: &str, faults: &[(u64, Fault)]) -> String {
    let mut world = World::new(3, 3, service, 1);
    for (at, fault) in faults {
        world.after(*at, *fault);
    }
    world.run(STARTED - 5, |_| {});
    world.trace.clear();
    world.run(until_ms, World::check_owners);
    std::mem::take(&mut world.trace)
}

#[test]
fn a_cell_starts() {
    let mut world = World::new(3, 3, "", 1);
    world.run(STARTED, World::check_owners);
    insta::assert_snapshot!(world.trace);
}

/// The caller sees refusals for s1 for less than a second and a half. The hosts stop hearing from c after 800
/// ms, the next by rendezvous takes s1 over with a higher token and keeps the slots that s1 reports. The log
/// is not needed.
#[test]
fn a_killed_attendant_is_replaced() {
    let faults = [(2000, out(Out::Log, 9000)), (2100, out(Out::Host(C), FOREVER))];
    insta::assert_snapshot!(session(6000, "", &faults));
}

/// The host c is paused for three seconds. It is replaced meanwhile; when it runs again its permit has
/// ended, its next grant is refused for the stale token, and it stands by until members agree on it again.
#[test]
fn a_paused_attendant_finds_itself_replaced() {
    let faults = [(2100, out(Out::Host(C), 3000))];
    insta::assert_snapshot!(session(8000, "", &faults));
}

/// Hosts a and c don't hear each other, so both believe to attend s1. The server accepts one at a time: the
/// other is refused, stops sending at once and backs off.
#[test]
fn two_believers_take_turns() {
    let faults = [(2100, out(Out::Between(0, C), 4000))];
    insta::assert_snapshot!(session(9000, "", &faults));
}

/// The server s1 freezes for 650 ms, long enough for all hosts to find it silent and to promise silence, but
/// answers before the eviction is written or right after. A `Keep` record ends the promises, or a `Join`
/// brings it back.
#[test]
fn a_server_that_was_frozen_for_long_is_kept_or_joins_again() {
    let frozen = |ms| vec![(2100, out(Out::Server(S1), ms))];
    let kept = session(6000, "", &frozen(650));
    let joined = session(9000, "", &frozen(6000));
    insta::assert_snapshot!(format!("frozen for 650 ms\n{kept}\nfrozen for 6 s\n{joined}"));
}

/// Host c can't reach s1, others can. Nobody evicts it: c asks one of them to attend.
#[test]
fn a_server_that_one_host_cannot_reach_is_attended_by_another() {
    let faults = [(2100, out(Out::Link(C, S1), 5000))];
    insta::assert_snapshot!(session(12_000, "", &faults));
}

/// The answer to the append of the eviction is lost. The record stands all the same and is found by reading;
/// a second one is not needed.
#[test]
fn an_eviction_whose_answer_was_lost_is_written_once() {
    let faults = [(2100, out(Out::Server(S1), 9000)), (2100, out(Out::AppendAnswers, 2000))];
    insta::assert_snapshot!(session(6000, "", &faults));
}

/// The server s1 restarts and has lost its fence. It gets no grant before its new life was recorded
/// and read back.
#[test]
fn a_restarted_server_joins_before_it_is_granted_anything() {
    insta::assert_snapshot!(session(4000, "", &[(2100, Fault::Restart { server: S1 })]));
}

/// The log is away for ten seconds and s1 freezes in that time. Leases go on by the word of witnesses. Nobody
/// evicts s1 and nobody promises silence for it, so it is served again as soon as it answers.
#[test]
fn slots_stay_where_they_are_while_the_log_is_away() {
    let faults = [(2000, out(Out::Log, 10_000)), (4000, out(Out::Server(S1), 3000))];
    insta::assert_snapshot!(session(13_000, "", &faults));
}

/// Slot 0 goes from s1 to s2: requests for it are held, those that run end, s1 is granted without it, then
/// the move is recorded and s2 is granted it at once. Slot 1 is to follow, but c dies once s1 is granted
/// without it and before the move is written: the successor brings the slot back by a new epoch and moves it
/// itself.
#[test]
fn a_planned_move_survives_a_crash_in_the_middle() {
    let faults = [
        (2100, Fault::Move { slot: 0, to: 1 }),
        (3000, Fault::Move { slot: 1, to: 1 }),
        (3042, out(Out::LogOf(C), 9000)),
        (3060, out(Out::Host(C), FOREVER)),
    ];
    insta::assert_snapshot!(session(7000, "", &faults));
}

/// Host c is stopped as planned. It lets what runs end, renewing the leases meanwhile, and says that it is
/// stopping only then, so that nobody fences its requests. The others need not wait for its silence.
#[test]
fn a_stopping_host_hands_over_after_its_requests_ended() {
    insta::assert_snapshot!(session(4000, "", &[(2100, Fault::Stop { host: C })]));
}

/// The server s1 leaves: placement moves its slots away, then it is drained and leaves the log.
#[test]
fn a_leaving_server_gives_its_slots_away_first() {
    let faults = [
        (2100, Fault::Leave { server: S1 }),
        (2100, Fault::Move { slot: 0, to: 1 }),
        (2400, Fault::Move { slot: 1, to: 2 }),
    ];
    insta::assert_snapshot!(session(4000, "", &faults));
}

/// A server that does not check grants can't fence c, which may only be paused. The successor holds the lease
/// but sends nothing until every lease of c has ended. Slots of an evicted server are granted only after the
/// longest deadline, too.
#[test]
fn nothing_is_sent_to_a_server_without_checks_before_its_last_attendant_is_gone() {
    let service =
        r#", "checks_grants": false, "max_deadline_ms": 1000, "default_deadline_ms": 500"#;
    let faults = [(3100, out(Out::Host(C), FOREVER)), (7000, out(Out::Server(S1), 9000))];
    insta::assert_snapshot!(session(11_000, service, &faults));
}
