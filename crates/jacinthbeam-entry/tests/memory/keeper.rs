//! What a keeper may begin, and when.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use jacinthbeam_admission::duplicate::{Begin, Options, Scope};
use jacinthbeam_entry::process::memory::{Shared, Source, Wanted, WantedSlot};
use jacinthbeam_peer::{
    Body, Client,
    message::{
        Answer, Claim, ClaimSlots, Claimed, ClaimedSlot, Fetch, ForwardHead, ForwardReply,
        Progress, Question, Remembered,
    },
    server::{self, Cancelled, Handler},
};
use jacinthbeam_types::{clock::ManualClock, prelude::*};

use crate::support::until;

const SLOT: SlotId = SlotId(1);

fn keeper(clock: &Arc<ManualClock>) -> Shared {
    Shared::new(Options::default(), Incarnation(9), Client::open(Default::default()), clock.clone())
}

fn wanted(successor: Option<SocketAddr>) -> Wanted {
    let slot = WantedSlot { epoch: Epoch(10), source: Source::Fresh };
    Wanted {
        service: "brinedesk".parse().unwrap(),
        divided_by: 8,
        split: BTreeMap::new(),
        token: Token(5),
        before: Token(0),
        slots: BTreeMap::from([(SLOT, slot)]),
        live: successor.into_iter().collect::<BTreeSet<_>>(),
        successor,
    }
}

fn server() -> ServerId {
    "b".parse().unwrap()
}

fn scope(key: &str) -> Scope {
    Scope {
        key: KeyHash(1),
        idempotency_key: key.parse().unwrap(),
        service: "brinedesk".parse().unwrap(),
    }
}

fn answer(question: Question, note: &impl Fn(&ClaimSlots)) -> Answer {
    match question {
        Question::Remember(_) => Answer::Done { agreed: true },
        Question::Claim(claim) => {
            note(&claim);
            Answer::Claimed(Claimed { slots: Vec::new(), unused_before: false })
        }
        question => Answer::Failed { why: format!("unexpected: {question:?}") },
    }
}

/// A host that takes every copy.
fn willing_host() -> server::Handle {
    host_that_notes(Arc::default())
}

/// The same, but it answers to the copy of an end only when told to.
fn host_that_waits_with_ends(release: Arc<tokio::sync::Notify>) -> server::Handle {
    host(move |question| {
        let release = release.clone();
        async move {
            if let Question::Remember(copies) = &question {
                let is_end = |copy: &Remembered| copy.progress != Progress::Sent;
                if copies.copies.iter().any(is_end) {
                    release.notified().await;
                }
            }
            answer(question, &|_: &ClaimSlots| {})
        }
    })
}

/// The same, which notes the rounds of claims that it is told of.
fn host_that_notes(rounds: Arc<Mutex<Vec<u32>>>) -> server::Handle {
    let note = move |claim: &ClaimSlots| {
        let told = claim.slots.iter().map(|slot| slot.claim.round);
        rounds.lock().unwrap().extend(told);
    };
    let note = Arc::new(note);
    host(move |question| {
        let note = note.clone();
        async move { answer(question, &*note) }
    })
}

fn host<F: Future<Output = Answer> + Send + 'static>(
    ask: impl Fn(Question) -> F + Send + Sync + 'static,
) -> server::Handle {
    let forward = async |head: ForwardHead, _: Body, _: Cancelled| {
        let refusal = Refusal::not_run(Reason::Stopping);
        (ForwardReply::Refused { id: head.id, refusal, attendant: None }, Body::empty())
    };
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    server::bind(addr, Default::default(), Handler { ask, forward }).unwrap()
}

#[tokio::test]
async fn keeper_that_was_overtaken_begins_nothing() {
    // Another host took the server over and asked for all copies. What this host began from here on, that one would not hear
    // of; it could run the same key.
    let clock = Arc::new(ManualClock::new());
    let shared = keeper(&clock);
    shared.keep(&server(), wanted(None));
    let place = shared.until_ready(&server(), SLOT, clock.now() + Duration::from_secs(30)).await;
    let place = place.unwrap();
    assert_eq!(shared.begin(&place, &scope("order-1"), 7), Begin::Run { attempt: 1 });

    let claim = Claim { epoch: Epoch(10), token: Token(6), round: 0, server: server() };
    let slots = vec![ClaimedSlot { slot: SLOT, claim }];
    let service = "brinedesk".parse().unwrap();
    let claimed = shared.claimed(&ClaimSlots { service, slots, before: Token(5) });
    assert_eq!(claimed.slots[0].covered.as_ref().map(|claim| claim.token), Some(Token(5)));
    let Begin::Refuse(refusal) = shared.begin(&place, &scope("order-2"), 7) else {
        panic!("it was begun")
    };
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::NoCopy));
    assert!(!shared.is_keeper(&place));
}

#[tokio::test]
async fn keeper_waits_before_it_goes_on_alone() {
    // The keeper reaches nobody any more. Its successor may be well, and would vouch for the copies it has if this host died. So nothing
    // is begun without a copy until that host vouches no more. The clock stands still meanwhile, however long the test takes.
    let clock = Arc::new(ManualClock::new());
    let shared = keeper(&clock);
    let successor = willing_host();
    shared.keep(&server(), wanted(Some(successor.local_addr())));
    until(async || shared.ready_slots(&server()) == 1).await;

    shared.keep(&server(), wanted(None));
    for _ in 0..2 {
        for _ in 0..20 {
            tokio::time::sleep(Duration::from_millis(10)).await;
            assert_eq!(shared.ready_slots(&server()), 0);
        }
        clock.advance(Duration::from_secs(4));
    }
    until(async || shared.ready_slots(&server()) == 1).await;
}

#[tokio::test]
async fn host_that_is_successor_no_more_is_told_before_another_one_counts() {
    // A better placed host joins the cell. The successor so far lives and still holds what it got; if the keeper and the new successor were
    // lost, it would vouch for too little had nobody told it.
    let shared = keeper(&Arc::new(ManualClock::new()));
    let rounds = Arc::default();
    let (first, second) = (host_that_notes(Arc::clone(&rounds)), willing_host());
    let live = BTreeSet::from([first.local_addr(), second.local_addr()]);
    let wanted = |successor| Wanted { live: live.clone(), ..wanted(Some(successor)) };
    shared.keep(&server(), wanted(first.local_addr()));
    until(async || shared.ready_slots(&server()) == 1).await;
    assert_eq!(*rounds.lock().unwrap(), [0]);

    shared.keep(&server(), wanted(second.local_addr()));
    until(async || rounds.lock().unwrap().len() == 2).await;
    assert!(rounds.lock().unwrap()[1] > 1);
    until(async || shared.ready_slots(&server()) == 1).await;
}

#[tokio::test]
async fn entries_of_a_key_that_is_split_out_go_with_its_slot() {
    // An order was begun while its key was in slot 1; then the key gets slot 8 of its own. When only that slot moves to another server, its new
    // keeper asks for slot 8 and must get the order.
    let clock = Arc::new(ManualClock::new());
    let shared = keeper(&clock);
    shared.keep(&server(), wanted(None));
    let place = shared.until_ready(&server(), SLOT, clock.now() + Duration::from_secs(30)).await;
    shared.begin(&place.unwrap(), &scope("order-1"), 7);

    let renewed = WantedSlot {
        epoch: Epoch(11),
        source: Source::From { server: Some(server()), hosts: Vec::new() },
    };
    let slots = BTreeMap::from([(SLOT, renewed.clone()), (SlotId(8), renewed)]);
    let split = BTreeMap::from([(KeyHash(1), SlotId(8))]);
    shared.keep(&server(), Wanted { slots, split, ..wanted(None) });
    until(async || shared.ready_slots(&server()) == 2).await;
    let fetch = |slot| {
        let service = "brinedesk".parse().unwrap();
        shared.fetch(&Fetch { service, slots: vec![slot], divided_by: 8, after: None }).copies
    };
    let keys: Vec<_> = fetch(SlotId(8)).into_iter().map(|copy| copy.idempotency_key).collect();
    assert_eq!(keys, ["order-1".parse().unwrap()]);
}

#[tokio::test]
async fn server_is_idle_only_after_the_last_end_was_copied() {
    // A server that is handed over before that leaves its successor with an order that it knows as sent only. The successor here
    // takes its time for that copy.
    let clock = Arc::new(ManualClock::new());
    let shared = keeper(&clock);
    let release = Arc::new(tokio::sync::Notify::new());
    let successor = host_that_waits_with_ends(release.clone());
    shared.keep(&server(), wanted(Some(successor.local_addr())));
    let until_then = clock.now() + Duration::from_secs(30);
    let place = shared.until_ready(&server(), SLOT, until_then).await.unwrap();
    assert!(shared.is_idle(&server()));
    shared.begin(&place, &scope("order-1"), 7);
    let mut attempt = shared.attempt(place, scope("order-1"), 1);
    attempt.until_copied(until_then).await.unwrap();
    attempt.not_run();
    drop(attempt);
    assert!(!shared.is_idle(&server()));
    release.notify_one();
    shared.until_idle(&server()).await;
}
