use std::{collections::BTreeMap, sync::Arc};

use jacinthbeam_admission::duplicate::{
    Begin, Copy, Imported, Memory, Options, Progress, Scope, SlotOf, StoredAnswer,
};
use jacinthbeam_types::prelude::*;

use crate::{check, ms, service, start};

fn scope(n: u64) -> Scope {
    let idempotency_key = format!("order-{n}").parse().expect("test names are valid");
    Scope { key: KeyHash(n % 3), idempotency_key, service: service("brinedesk") }
}

fn answer(body: &str) -> StoredAnswer {
    StoredAnswer { status: 200, headers: Vec::new(), body: body.into() }
}

const SLOT: Option<SlotId> = Some(SlotId(4));

fn slot_of(slot: Option<SlotId>) -> SlotOf {
    SlotOf { service: service("brinedesk"), slot }
}

fn refusal(begin: Begin) -> Refusal {
    match begin {
        Begin::Refuse(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

fn memory(entries: usize, bytes: u64) -> Memory {
    let bytes = Bytes(bytes);
    Memory::new(Options { entries, bytes, answer: Bytes(1_000), keep: ms(10_000) })
}

#[test]
fn a_repeat_gets_the_first_answer_and_another_body_is_refused() {
    // A supervisor's page sends an order again because the first answer got lost on the way. The
    // order is not run again: the repeat gets the answer of the first. The same idempotency key
    // with another order is refused, and that order was not run.
    let mut memory = memory(10, 100_000);
    let now = start();
    assert_eq!(memory.begin(now, &scope(1), SLOT, 11), Begin::Run { attempt: 1 });
    let busy = refusal(memory.begin(now, &scope(1), SLOT, 11));
    assert_eq!((busy.verdict, busy.reason), (Verdict::MayHaveRun, Reason::InProgress));
    memory.answered(now, &scope(1), 1, Some(answer("two trucks")));
    assert_eq!(
        memory.begin(now, &scope(1), SLOT, 11),
        Begin::Replay(Arc::new(answer("two trucks")))
    );
    assert_eq!(
        refusal(memory.begin(now, &scope(1), SLOT, 12)),
        Refusal::not_run(Reason::KeyReused)
    );
}

#[test]
fn a_repeat_runs_again_only_after_proof_that_the_first_did_not() {
    // The first attempt could not be sent; its repeat runs. The second ended without an answer; its
    // repeat is refused honestly. A late report of the first attempt changes nothing.
    let mut memory = memory(10, 100_000);
    let now = start();
    memory.begin(now, &scope(1), SLOT, 11);
    memory.not_run(now, &scope(1), 1);
    assert_eq!(memory.begin(now, &scope(1), SLOT, 11), Begin::Run { attempt: 2 });
    memory.not_run(now, &scope(1), 1);
    memory.unknown(now, &scope(1), 2);
    memory.not_run(now, &scope(1), 2);
    let lost = refusal(memory.begin(now, &scope(1), SLOT, 11));
    assert_eq!((lost.verdict, lost.reason), (Verdict::MayHaveRun, Reason::MemoryLost));
}

#[test]
fn the_successor_answers_for_a_lost_attendant() {
    // The attendant gives a copy to its successor, sends the order, and is killed. The caller
    // repeats at the successor: it is refused as may-have-run, or gets the first answer if that was
    // copied too. Copies that arrive out of order do not take back what is known.
    let now = start();
    let (mut attendant, mut successor) = (memory(10, 100_000), memory(10, 100_000));
    attendant.begin(now, &scope(1), SLOT, 11);
    let sent = attendant.copy(&scope(1)).expect("it was begun");
    assert_eq!(successor.import(now, sent.clone()), Imported::Kept);
    assert_eq!(refusal(successor.begin(now, &scope(1), SLOT, 11)).verdict, Verdict::MayHaveRun);
    attendant.answered(now, &scope(1), 1, Some(answer("done")));
    let done = attendant.copy(&scope(1)).expect("it was begun");
    successor.import(now, done);
    successor.import(now, sent);
    assert_eq!(successor.begin(now, &scope(1), SLOT, 11), Begin::Replay(Arc::new(answer("done"))));
}

#[test]
fn a_late_copy_of_a_failed_attempt_does_not_hide_the_next_one() {
    // The first attempt was not run, the second was sent; then the attendant is killed. The copy
    // that says `not run` of the first arrives last. If it counted, the repeat at the successor
    // would run an order that may have run.
    let now = start();
    let (mut attendant, mut successor) = (memory(10, 100_000), memory(10, 100_000));
    attendant.begin(now, &scope(1), SLOT, 11);
    attendant.not_run(now, &scope(1), 1);
    let first = attendant.copy(&scope(1)).expect("it was begun");
    attendant.begin(now, &scope(1), SLOT, 11);
    let second = attendant.copy(&scope(1)).expect("it was begun");
    successor.import(now, second);
    successor.import(now, first);
    assert_eq!(refusal(successor.begin(now, &scope(1), SLOT, 11)).reason, Reason::MemoryLost);
}

#[test]
fn unknown_keys_are_refused_for_as_long_as_lost_memory_would_have_been_kept() {
    // The attendant and its successor are killed together. A new attendant can't tell a first order
    // from a repeat, so it says that the order may have run; other slots go on. When the lost
    // memory would have been forgotten anyway, orders run again.
    let mut memory = memory(10, 100_000);
    let now = start();
    let known = Copy {
        scope: scope(3),
        slot: SLOT,
        fingerprint: 1,
        attempt: 1,
        progress: Progress::NotRun,
    };
    memory.import(now, known);
    memory.lost_since([slot_of(SLOT)], now);
    assert_eq!(refusal(memory.begin(now, &scope(1), SLOT, 11)).reason, Reason::MemoryLost);
    assert_eq!(refusal(memory.begin(now, &scope(3), SLOT, 1)).reason, Reason::MemoryLost);
    assert!(matches!(memory.begin(now, &scope(2), Some(SlotId(5)), 11), Begin::Run { .. }));
    assert!(matches!(memory.begin(now + ms(9_999), &scope(1), SLOT, 11), Begin::Refuse(_)));
    assert!(matches!(memory.begin(now + ms(10_000), &scope(1), SLOT, 11), Begin::Run { .. }));
}

#[test]
fn a_full_memory_refuses_new_orders_and_drops_no_entry() {
    // More orders come than the memory holds. New ones are refused not-run; the repeat of an old
    // one is still known. Kept answers make room first: their repeats are told that the order ran.
    let now = start();
    let mut small = memory(2, 100_000);
    small.begin(now, &scope(1), SLOT, 1);
    small.begin(now, &scope(2), SLOT, 1);
    let full = refusal(small.begin(now, &scope(3), SLOT, 1));
    assert_eq!((full.verdict, full.reason), (Verdict::NotRun, Reason::Overloaded));
    let copy =
        Copy { scope: scope(4), slot: SLOT, fingerprint: 1, attempt: 1, progress: Progress::Sent };
    assert_eq!(small.import(now, copy), Imported::Full);
    let mut narrow = memory(10, 700);
    narrow.begin(now, &scope(1), SLOT, 1);
    narrow.begin(now, &scope(2), SLOT, 1);
    assert_eq!(refusal(narrow.begin(now, &scope(3), SLOT, 1)).reason, Reason::Overloaded);
    let mut tight = memory(10, 1_600);
    for n in 1..=3 {
        assert_eq!(tight.begin(now, &scope(n), SLOT, 1), Begin::Run { attempt: 1 });
        tight.answered(now, &scope(n), 1, Some(answer(&"x".repeat(300))));
        assert!(tight.bytes() <= Bytes(1_600));
    }
    assert_eq!(refusal(tight.begin(now, &scope(1), SLOT, 1)).verdict, Verdict::Ran);
    assert!(matches!(tight.begin(now, &scope(3), SLOT, 1), Begin::Replay(_)));
}

#[test]
fn entries_are_forgotten_in_time_but_not_while_in_progress() {
    let now = start();
    let mut memory = memory(10, 100_000);
    memory.begin(now, &scope(1), SLOT, 1);
    memory.begin(now, &scope(2), SLOT, 1);
    memory.answered(now + ms(500), &scope(2), 1, None);
    memory.forget(now + ms(10_000));
    assert_eq!(memory.len(), 2);
    memory.forget(now + ms(20_000));
    assert_eq!(memory.len(), 1, "the answered one is gone after at most twice the time");
    assert_eq!(
        refusal(memory.begin(now + ms(25_000), &scope(1), SLOT, 1)).reason,
        Reason::InProgress
    );
    memory.unknown(now + ms(25_000), &scope(1), 1);
    memory.forget(now + ms(60_000));
    assert!(memory.is_empty());
    assert_eq!(memory.bytes(), Bytes(0));
}

#[test]
fn entries_that_end_soon_are_forgotten_on_time() {
    let now = start();
    let mut memory = memory(10, 100_000);
    for n in 1..=5 {
        memory.begin(now + ms(n), &scope(n), SLOT, 1);
        memory.answered(now + ms(n + 50), &scope(n), 1, None);
    }
    memory.begin(now + ms(9_000), &scope(6), SLOT, 1);
    memory.forget(now + ms(10_003));
    assert_eq!(memory.len(), 6);
    memory.forget(now + ms(10_053));
    assert_eq!(memory.len(), 3, "those after them wait for their own time");
}

#[test]
fn a_handed_over_slot_leaves_nothing_behind() {
    // A slot moves away and comes back. What stood here before must not count: the other owner's
    // attendant may have sent the order since.
    let now = start();
    let (mut old, mut new) = (memory(10, 100_000), memory(10, 100_000));
    old.begin(now, &scope(1), SLOT, 1);
    old.not_run(now, &scope(1), 1);
    old.begin(now, &scope(2), Some(SlotId(5)), 1);
    for copy in old.export(|_, slot| slot == SLOT) {
        assert_eq!(new.import(now, copy), Imported::Kept);
    }
    old.remove(|_, slot| slot == SLOT);
    assert_eq!((old.len(), new.len()), (1, 1));
    assert_eq!(new.begin(now, &scope(1), SLOT, 1), Begin::Run { attempt: 2 });
}

#[test]
fn no_key_runs_twice_unless_not_run_was_reported() {
    // Any mix of repeats, ends, copies in any order, losses of the attendant and short memory:
    // between two runs of a key stands a proof that the first was not run.
    check(|u| {
        let mut now = start();
        let mut hosts = [memory(4, 4_000), memory(4, 4_000)];
        let mut attendant = 0;
        let mut mail: Vec<Copy> = Vec::new();
        let mut open: BTreeMap<Scope, u32> = BTreeMap::new();
        let mut may_have_run: BTreeMap<Scope, bool> = BTreeMap::new();
        for _ in 0..100 {
            now += ms(u.int_in_range(0..=5)?);
            let key = scope(u.int_in_range(1..=6)?);
            match u.int_in_range(0..=7)? {
                0..=2 => {
                    let Begin::Run { attempt } = hosts[attendant].begin(now, &key, SLOT, 1) else {
                        continue;
                    };
                    assert_ne!(may_have_run.get(&key), Some(&true), "{key:?} runs twice");
                    let copy = hosts[attendant].copy(&key).expect("it was begun");
                    // Sent only once the successor has its copy.
                    match hosts[1 - attendant].import(now, copy) {
                        Imported::Kept => {
                            may_have_run.insert(key.clone(), true);
                            open.insert(key, attempt);
                        }
                        Imported::Full => hosts[attendant].not_run(now, &key, attempt),
                    }
                }
                3 | 4 => {
                    let Some(attempt) = open.remove(&key) else { continue };
                    match u.int_in_range(0..=2)? {
                        0 => {
                            may_have_run.insert(key.clone(), false);
                            hosts[attendant].not_run(now, &key, attempt);
                        }
                        1 => hosts[attendant].unknown(now, &key, attempt),
                        _ => {
                            let kept = u.arbitrary::<bool>()?.then(|| answer("done"));
                            hosts[attendant].answered(now, &key, attempt, kept);
                        }
                    }
                    mail.extend(hosts[attendant].copy(&key));
                }
                5 | 6 if !mail.is_empty() => {
                    let copy = mail[u.choose_index(mail.len())?].clone();
                    hosts[1 - attendant].import(now, copy);
                }
                _ => {
                    // The attendant is killed. Its successor takes over, and a fresh host becomes
                    // the successor's.
                    hosts[attendant] = memory(4, 4_000);
                    attendant = 1 - attendant;
                    open.clear();
                    let all: Vec<Copy> = hosts[attendant].export(|_, _| true).collect();
                    for copy in all {
                        assert_eq!(hosts[1 - attendant].import(now, copy), Imported::Kept);
                    }
                }
            }
        }
        Ok(())
    });
}

#[test]
fn what_a_later_keeper_sent_replaces_what_stood_here() {
    // A host that was fenced still waits for the end of its attempt. The host that took over is the
    // one that knows, and the late end of that attempt must not hide what the other one sent.
    let now = std::time::Instant::now();
    let mut memory = Memory::new(Options::default());
    let scope = scope(1);
    assert_eq!(memory.begin(now, &scope, Some(SlotId(1)), 7), Begin::Run { attempt: 1 });
    memory.supersede(|_, slot| slot == Some(SlotId(1)));
    assert!(memory.is_empty());
    let sent = Copy {
        scope: scope.clone(),
        slot: Some(SlotId(1)),
        fingerprint: 7,
        attempt: 1,
        progress: Progress::Sent,
    };
    assert_eq!(memory.import(now, sent.clone()), Imported::Kept);
    memory.not_run(now, &scope, 1);
    assert_eq!(memory.copy(&scope), Some(sent));
}

#[test]
fn entries_follow_a_key_that_is_split_out_of_its_slot() {
    let now = std::time::Instant::now();
    let mut memory = Memory::new(Options::default());
    memory.begin(now, &scope(1), Some(SlotId(1)), 7);
    memory.relabel(|_, slot| if slot == SlotId(1) { SlotId(9) } else { slot });
    assert_eq!(memory.copy(&scope(1)).unwrap().slot, Some(SlotId(9)));
}
