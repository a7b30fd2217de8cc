use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    time::Instant,
};

use jacinthbeam_admission::server::{
    Admission, Cancelled, Gate, Offer, Options, Outcome, Refused, Report, Ticket,
};
use jacinthbeam_types::prelude::*;

use crate::{check, ms, request, start, team};

/// An admission with a transcript that an operator can read.
struct Session {
    admission: Admission,
    zero: Instant,
    now: Instant,
    text: String,
}

impl Session {
    fn open(options: Options, foreign: u32, cold: bool) -> Self {
        let zero = start();
        let admission = Admission::open(zero, options, foreign, cold);
        Self { admission, zero, now: zero, text: String::new() }
    }

    fn at(&mut self, at: u64) -> &mut Self {
        self.now = self.zero + ms(at);
        self.next()
    }

    fn offer(&mut self, id: u64, name: &str, slot: u32, deadline: u64) -> &mut Self {
        let deadline = self.zero + ms(deadline);
        let slot = Some(SlotId(slot));
        let ticket = Ticket { id: request(id), team: team(name), slot, deadline };
        let offer = self.admission.offer(self.now, ticket);
        match offer {
            Offer::Admit => self.line(&format!("offer {id} of {name}: admitted")),
            Offer::Queue { displaced } => {
                self.line(&format!("offer {id} of {name}: waits"));
                self.refused(displaced.as_slice());
            }
            Offer::Refuse(refusal) => self.line(&format!(
                "offer {id} of {name}: refused, {refusal}, retry after {:?}",
                refusal.retry_after
            )),
        }
        self
    }

    fn finish(&mut self, id: u64, outcome: Outcome) -> &mut Self {
        let known = self.admission.finished(self.now, request(id), outcome);
        self.line(&format!("{id} ended: {outcome:?}{}", if known { "" } else { " (unknown)" }));
        self.next()
    }

    fn cancel(&mut self, id: u64) -> &mut Self {
        let line = match self.admission.cancel(request(id)) {
            Cancelled::Waiting(_) => "gone from the queue, not-run",
            Cancelled::Running => "running, place held",
            Cancelled::Unknown => "unknown",
        };
        self.line(&format!("cancel {id}: {line}"));
        self
    }

    fn report(&mut self, running: u32, running_older: u32) -> &mut Self {
        self.admission.reported(Report { asked: self.now, running, running_older });
        self.line(&format!("server reports {running} running, {running_older} of older tokens"));
        self.next()
    }

    fn next(&mut self) -> &mut Self {
        let refused = self.admission.expire(self.now);
        self.refused(&refused);
        for ticket in self.admission.next(self.now) {
            self.line(&format!("next: {} of {}", ticket.id.sequence, ticket.team));
        }
        self
    }

    fn refused(&mut self, refused: &[Refused]) {
        for Refused { ticket, refusal } in refused {
            let id = ticket.id.sequence;
            self.line(&format!(
                "{id} leaves the queue, {refusal}, retry after {:?}",
                refusal.retry_after
            ));
        }
    }

    fn line(&mut self, text: &str) {
        let at = self.now.duration_since(self.zero).as_millis();
        let (used, limit) = (self.admission.in_use(), self.admission.limit());
        let waiting = self.admission.waiting();
        writeln!(self.text, "{at:>5} ms  {used}/{limit} used, {waiting} wait  {text}")
            .expect("a string takes all");
    }
}

fn options() -> Options {
    Options { queue: 4, ..Options::default() }
}

#[test]
fn an_overloaded_server_serves_by_deadline_and_refuses_early() {
    // Callers of one team send more than three places serve. Those whose deadline can't be met,
    // going by the time that earlier requests took, are told so at once and not when the deadline
    // has passed; what is accepted is served, earliest deadline first.
    let mut session = Session::open(options(), 0, false);
    session
        .at(0)
        .offer(1, "roads", 0, 1_000)
        .offer(2, "roads", 0, 1_000)
        .offer(3, "roads", 0, 1_000);
    session.at(100).finish(1, Outcome::Answered);
    session.offer(4, "roads", 0, 1_100).offer(5, "roads", 0, 1_000).offer(6, "roads", 0, 900);
    session.offer(7, "roads", 0, 250).offer(8, "roads", 0, 90).offer(9, "roads", 0, 1_500);
    session.offer(10, "roads", 0, 1_500).offer(11, "roads", 0, 1_500);
    session.at(110).finish(2, Outcome::Answered);
    session.at(200).finish(3, Outcome::Answered).finish(4, Outcome::Answered);
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_ticket_pushed_back_beyond_its_deadline_is_refused_at_once() {
    // A request is accepted while the server answers in 50 ms. Then the server slows down to 400
    // ms. The caller gets its refusal as soon as this is known and can go elsewhere; it is not held
    // until its deadline is near.
    let mut session = Session::open(Options { concurrency: 1, ..options() }, 0, false);
    session.at(0).offer(1, "roads", 0, 2_000);
    session.at(50).finish(1, Outcome::Answered).offer(2, "roads", 0, 2_000);
    session.offer(3, "roads", 0, 800).offer(4, "roads", 0, 1_000);
    session.at(450).finish(2, Outcome::Answered);
    insta::assert_snapshot!(session.text);
}

#[test]
fn requests_of_the_attendant_before_take_places_until_the_server_reports_their_end() {
    // A host takes over a server that still runs two requests of the host before. Its callers get
    // only the third place until the server reports that those have ended; reports that arrive out
    // of order free nothing twice.
    let mut session = Session::open(options(), 2, false);
    session
        .at(0)
        .offer(1, "roads", 0, 1_000)
        .offer(2, "roads", 0, 1_000)
        .offer(3, "roads", 0, 1_000);
    session.at(10).report(2, 1);
    session.at(20).report(3, 2);
    session.at(30).report(2, 0);
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_lost_request_holds_its_place_until_it_is_surely_over() {
    // The caller goes away and the connection is closed from this side. The server may go on
    // running the request, so a new one in its place could be one too many. The place is free when
    // the server reports that nothing runs, when it closed its end, or after deadline and grace.
    let mut session = Session::open(Options { concurrency: 1, ..options() }, 0, false);
    session
        .at(0)
        .offer(1, "roads", 0, 300)
        .offer(2, "roads", 0, 5_000)
        .offer(3, "roads", 0, 5_000)
        .cancel(1);
    session.finish(1, Outcome::Lost).finish(1, Outcome::Lost);
    session.at(549).at(550);
    session.finish(2, Outcome::Lost);
    session.at(590).report(0, 0);
    session.at(600).report(0, 0);
    session.offer(4, "roads", 0, 5_000).cancel(3).finish(3, Outcome::Closed).cancel(3);
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_new_grant_of_the_same_host_counts_no_request_twice_and_none_too_few() {
    // The host loses the attendance for a moment and gets it back under a higher token while its
    // own two requests run. From then on the server's report of older requests counts them, also
    // when one of them has been answered but not yet reported.
    let mut session = Session::open(options(), 0, false);
    session.at(0).offer(1, "roads", 0, 1_000).offer(2, "roads", 1, 1_000);
    session.admission.regranted(2);
    session
        .at(10)
        .offer(3, "roads", 0, 1_000)
        .offer(4, "roads", 0, 1_000)
        .finish(1, Outcome::Answered);
    session.at(20).report(2, 1);
    session.finish(2, Outcome::Lost).report(2, 0);
    assert_eq!(session.admission.running(SlotId(1)), 0);
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_cold_server_gets_its_places_step_by_step_and_one_that_sheds_fewer() {
    // A server that has just started answers slowly. It is given one place, then more as it
    // answers. When it sheds, though its load endpoint may deny it, it is given one fewer.
    let mut session = Session::open(options(), 0, true);
    session
        .at(0)
        .offer(1, "roads", 0, 9_000)
        .offer(2, "roads", 0, 9_000)
        .offer(3, "roads", 0, 9_000);
    session.offer(4, "roads", 0, 9_000);
    session.at(60).finish(1, Outcome::Answered).at(120).finish(2, Outcome::Answered);
    session.at(180).finish(3, Outcome::Answered).finish(4, Outcome::Answered);
    session.at(400).offer(5, "roads", 0, 9_000).finish(5, Outcome::Answered);
    session.offer(6, "roads", 0, 9_000).finish(6, Outcome::Shed);
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_planned_move_holds_a_slot_and_sends_its_waiting_requests_on() {
    // A slot is about to move. Its running request ends in peace, new ones wait, other slots go on.
    // When the move is recorded the waiting ones are refused not-run at once, to be sent to the new
    // owner. If the move hangs they do not wait for longer than the patience.
    let mut session = Session::open(options(), 0, false);
    session.at(0).offer(1, "roads", 5, 9_000);
    let now = session.now;
    session.admission.hold(now, [SlotId(5)]);
    session.offer(2, "roads", 5, 9_000).offer(3, "roads", 6, 9_000);
    assert!(!session.admission.is_drained(SlotId(5)));
    session.at(40).finish(1, Outcome::Answered);
    assert!(session.admission.is_drained(SlotId(5)));
    let refused = session.admission.moved([SlotId(5)]);
    session.refused(&refused);
    session.admission.hold(session.now, [SlotId(6)]);
    session.offer(4, "roads", 6, 9_000).at(1_039).at(1_040).offer(5, "roads", 6, 9_000);
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_paused_gate_keeps_requests_for_a_moment_and_a_closed_one_refuses_them() {
    // The lease is late: requests wait. It stays away: they are refused not-run within the
    // patience. The host stops: what waits and what comes is refused with a retry hint, what runs
    // goes on to its end.
    let mut session = Session::open(options(), 0, false);
    session.at(0).offer(1, "roads", 0, 9_000);
    session.admission.set_gate(session.now, Gate::Paused);
    session.offer(2, "roads", 0, 9_000).at(999).at(1_000).offer(3, "roads", 0, 9_000);
    session.admission.set_gate(session.now, Gate::Open);
    session.offer(4, "roads", 0, 9_000).offer(5, "roads", 0, 9_000).offer(6, "roads", 0, 9_000);
    let refused = session.admission.set_gate(session.now, Gate::Closed(Reason::Stopping));
    session.refused(&refused);
    session.offer(7, "roads", 0, 9_000).finish(1, Outcome::Answered);
    assert!(!session.admission.is_idle());
    session.finish(4, Outcome::Answered).finish(5, Outcome::Answered);
    assert!(session.admission.is_idle());
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_team_in_overload_leaves_room_in_the_queue_and_a_turn_for_others() {
    // Team `roads` fills the queue. A caller of `salt` comes: the last request of `roads` gives
    // way, and `salt` is served in turn, not after all of them.
    let mut session = Session::open(Options { concurrency: 1, ..options() }, 0, false);
    session.at(0);
    for id in 1..=6 {
        session.offer(id, "roads", 0, 9_000);
    }
    session.offer(7, "salt", 0, 9_000).offer(8, "salt", 0, 9_000).offer(9, "salt", 0, 9_000);
    session.finish(1, Outcome::Answered);
    for id in [2, 7, 3, 8] {
        session.finish(id, Outcome::Answered);
    }
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_late_ticket_is_never_sent_and_a_new_one_passes_none_that_waits() {
    // A place gets free long after the deadline of the first waiting request. It is not sent, also
    // if nobody looked at deadlines before, and its caller is answered at the next look. A request
    // that comes at that moment does not jump the queue.
    let mut session = Session::open(Options { concurrency: 1, ..options() }, 1, false);
    session.at(0).offer(1, "roads", 0, 100).offer(2, "roads", 0, 9_000);
    let (zero, now) = (session.zero, session.zero + ms(500));
    assert_eq!(session.admission.wake_at(), Some(zero + ms(100)));
    assert!(!session.admission.is_drained(SlotId(9)), "the foreign one is of an unknown slot");
    session.admission.reported(Report { asked: now, running: 0, running_older: 0 });
    assert!(session.admission.is_drained(SlotId(9)));
    let deadline = zero + ms(9_000);
    let ticket = |id| Ticket { id: request(id), team: team("roads"), slot: None, deadline };
    assert_eq!(session.admission.offer(now, ticket(3)), Offer::Queue { displaced: None });
    let again = session.admission.offer(now, ticket(3));
    assert!(matches!(again, Offer::Refuse(refusal) if refusal.reason == Reason::InProgress));
    let sent: Vec<_> = session.admission.next(now).iter().map(|t| t.id.sequence).collect();
    assert_eq!(sent, [2]);
    assert_eq!(session.admission.wake_at(), Some(zero + ms(100)), "an answer is due");
    let refused: Vec<_> =
        session.admission.expire(now).iter().map(|r| r.ticket.id.sequence).collect();
    assert_eq!(refused, [1]);
    assert_eq!(session.admission.wake_at(), Some(deadline));
}

#[derive(Debug, Default)]
struct Ends {
    offered: BTreeSet<RequestId>,
    admitted: BTreeSet<RequestId>,
    refused: BTreeSet<RequestId>,
    cancelled: BTreeSet<RequestId>,
}

impl Ends {
    fn admit(&mut self, id: RequestId) {
        assert!(self.admitted.insert(id), "{id} admitted twice");
    }

    fn refuse(&mut self, refused: &[Refused]) {
        for one in refused {
            assert_eq!(one.refusal.verdict, Verdict::NotRun);
            assert!(self.refused.insert(one.ticket.id), "{} refused twice", one.ticket.id);
        }
    }
}

#[test]
fn places_are_never_exceeded_and_a_ticket_ends_exactly_once() {
    // Any mix of offers, ends, losses, cancellations, holds and reports: the requests that the
    // server may still run never exceed its concurrency, and a caller gets one of sent, refused or
    // cancelled.
    check(|u| {
        let mut now = start();
        let concurrency = u.int_in_range(1..=6)?;
        let options = Options { concurrency, queue: 8, ..Options::default() };
        let (grace, foreign) = (options.grace, u.int_in_range(0..=concurrency)?);
        let mut admission = Admission::open(now, options, foreign, u.arbitrary()?);
        let mut foreign_left = foreign;
        let mut on_server: BTreeMap<RequestId, Instant> = BTreeMap::new();
        let mut live: Vec<Ticket> = Vec::new();
        let mut ends = Ends::default();
        for sequence in 0..80 {
            now += ms(u.int_in_range(0..=120)?);
            match u.int_in_range(0..=9)? {
                0..=4 => {
                    let name = *u.choose(&["roads", "salt", "crew"])?;
                    let slot = Some(SlotId(u.int_in_range(0..=2)?));
                    let deadline = now + ms(u.int_in_range(0..=900)?);
                    let ticket = Ticket { id: request(sequence), team: team(name), slot, deadline };
                    ends.offered.insert(ticket.id);
                    match admission.offer(now, ticket.clone()) {
                        Offer::Admit => {
                            ends.admit(ticket.id);
                            on_server.insert(ticket.id, ticket.deadline + grace);
                            live.push(ticket);
                        }
                        Offer::Queue { displaced } => ends.refuse(displaced.as_slice()),
                        Offer::Refuse(refusal) => ends.refuse(&[Refused { ticket, refusal }]),
                    }
                }
                5 | 6 if !live.is_empty() => {
                    let ticket = live.swap_remove(u.choose_index(live.len())?);
                    let outcome = *u.choose(&[
                        Outcome::Answered,
                        Outcome::Shed,
                        Outcome::Closed,
                        Outcome::Lost,
                    ])?;
                    assert!(admission.finished(now, ticket.id, outcome));
                    assert!(!admission.finished(now, ticket.id, outcome));
                    if outcome == Outcome::Lost {
                        on_server.insert(ticket.id, ticket.deadline.max(now) + grace);
                    } else {
                        on_server.remove(&ticket.id);
                    }
                }
                7 => {
                    let id = request(u.int_in_range(0..=sequence)?);
                    if let Cancelled::Waiting(ticket) = admission.cancel(id) {
                        assert!(ends.cancelled.insert(ticket.id));
                    }
                }
                8 => {
                    foreign_left -= u.int_in_range(0..=foreign_left)?;
                    // Live requests are on the server, lost ones may be.
                    let lost = on_server.len() - live.len();
                    let running = live.len() + u.int_in_range(0..=lost)?;
                    if running == 0 {
                        on_server.clear();
                    }
                    let running = running as u32 + foreign_left;
                    admission.reported(Report { asked: now, running, running_older: foreign_left });
                }
                _ => match u.arbitrary()? {
                    true => admission.hold(now, [SlotId(u.int_in_range(0..=2)?)]),
                    false => ends.refuse(&admission.moved([SlotId(u.int_in_range(0..=2)?)])),
                },
            }
            ends.refuse(&admission.expire(now));
            // A server ends a request by its deadline and the grace at the latest, unless its
            // answer is still being read.
            on_server.retain(|id, until| *until > now || live.iter().any(|t| t.id == *id));
            for ticket in admission.next(now) {
                ends.admit(ticket.id);
                on_server.insert(ticket.id, ticket.deadline + grace);
                live.push(ticket);
            }
            let present = on_server.len() as u32 + foreign_left;
            assert!(present <= concurrency, "{present} of {concurrency}");
            assert!(admission.in_use() >= present);
            assert!(admission.waiting() <= 8);
        }
        ends.refuse(&admission.set_gate(now, Gate::Closed(Reason::Stopping)));
        ends.refuse(&admission.expire(now));
        let all = [&ends.admitted, &ends.refused, &ends.cancelled];
        assert_eq!(all.iter().map(|set| set.len()).sum::<usize>(), ends.offered.len());
        Ok(())
    });
}

#[test]
fn each_waiting_team_is_served_within_a_bounded_number_of_grants() {
    // Several teams of different weights keep the queue full. A team that waits gets a place after
    // at most one round of all weights, and one grant more for each team, however much the others
    // send.
    check(|u| {
        let names = ["roads", "salt", "crew", "tiles"];
        let mut weights = BTreeMap::new();
        for name in names {
            weights.insert(team(name), u.int_in_range(1..=4)?);
        }
        let bound = weights.values().sum::<u32>() + names.len() as u32;
        let options = Options { concurrency: 1, queue: 64, weights, ..Options::default() };
        let now = start();
        let mut admission = Admission::open(now, options, 0, false);
        let mut sequence = 0;
        let mut running = None;
        let mut waiting: BTreeMap<TeamName, (u32, u32)> = BTreeMap::new();
        for _ in 0..120 {
            for _ in 0..u.int_in_range(0..=4)? {
                sequence += 1;
                let name = team(u.choose(&names)?);
                let deadline = now + ms(10_000 + u.int_in_range(0..=5_000)?);
                let ticket =
                    Ticket { id: request(sequence), team: name.clone(), slot: None, deadline };
                match admission.offer(now, ticket) {
                    Offer::Admit => running = Some(request(sequence)),
                    Offer::Queue { displaced } => {
                        waiting.entry(name).or_default().0 += 1;
                        if let Some(one) = displaced {
                            waiting.get_mut(&one.ticket.team).expect("it waited").0 -= 1;
                        }
                    }
                    Offer::Refuse(_) => {}
                }
            }
            let Some(id) = running.take() else { continue };
            assert!(admission.finished(now, id, Outcome::NotSent));
            for ticket in admission.next(now) {
                running = Some(ticket.id);
                waiting.retain(|_, (tickets, _)| *tickets > 0);
                for (name, (tickets, grants)) in &mut waiting {
                    if *name == ticket.team {
                        (*tickets, *grants) = (*tickets - 1, 0);
                    } else {
                        *grants += 1;
                        assert!(
                            *grants <= bound,
                            "{name} waits for {grants} grants, bound {bound}"
                        );
                    }
                }
            }
        }
        Ok(())
    });
}
