//! What a host holds for other hosts, and whom it believes.

use std::{sync::Arc, time::Duration};

use jacinthbeam_admission::duplicate::Options;
use jacinthbeam_entry::process::memory::Shared;
use jacinthbeam_peer::{
    Client,
    message::{
        Claim, ClaimSlots, ClaimedSlot, Copies, EntryId, Fetch, KnownSlot, Progress, Remembered,
        Stage, StoredAnswer,
    },
};
use jacinthbeam_types::{clock::ManualClock, prelude::*};

const SLOT: SlotId = SlotId(1);

fn holder(clock: &Arc<ManualClock>) -> Shared {
    Shared::new(Options::default(), Incarnation(9), Client::open(Default::default()), clock.clone())
}

fn claim(token: u64, round: u32) -> Claim {
    Claim { epoch: Epoch(10), token: Token(token), round, server: "b".parse().unwrap() }
}

fn entry(key: &str, attempt: u32, progress: Progress) -> Remembered {
    Remembered {
        service: "brinedesk".parse().unwrap(),
        key: KeyHash(1),
        slot: Some(SLOT),
        idempotency_key: key.parse().unwrap(),
        fingerprint: 7,
        attempt,
        progress,
    }
}

fn copies(claim: &Claim, stage: Stage, copies: Vec<Remembered>) -> Copies {
    Copies {
        service: "brinedesk".parse().unwrap(),
        slots: vec![ClaimedSlot { slot: SLOT, claim: claim.clone() }],
        stage,
        copies,
        lost: Vec::new(),
    }
}

fn take_over(shared: &Shared, claim: &Claim) -> KnownSlot {
    let slots = vec![ClaimedSlot { slot: SLOT, claim: claim.clone() }];
    let service = "brinedesk".parse().unwrap();
    let claimed = shared.claimed(&ClaimSlots { service, slots, before: Token(0) });
    claimed.slots[0].clone()
}

fn fetch(shared: &Shared, after: Option<EntryId>) -> (Vec<Remembered>, bool) {
    let service = "brinedesk".parse().unwrap();
    let fetch = Fetch { service, slots: vec![SLOT], divided_by: 8, after };
    let fetched = shared.fetch(&fetch);
    (fetched.copies, fetched.more)
}

/// Makes the host the successor of the keeper with this claim.
fn succeed(shared: &Shared, claim: &Claim, held: Vec<Remembered>) {
    assert!(shared.remember(copies(claim, Stage::First, held)));
    assert!(shared.remember(copies(claim, Stage::Last, Vec::new())));
}

#[tokio::test]
async fn copies_of_an_earlier_keeper_are_refused() {
    // A host was fenced and does not know it yet: it copies an order that it believes to send. The new keeper has asked for
    // all copies already and would never hear of this one.
    let shared = holder(&Arc::new(ManualClock::new()));
    let first = claim(5, 1);
    succeed(&shared, &first, vec![entry("order-1", 1, Progress::Sent)]);
    assert!(shared.remember(copies(
        &first,
        Stage::Update,
        vec![entry("order-2", 1, Progress::Sent)]
    )));
    assert_eq!(take_over(&shared, &claim(6, 0)).covered, Some(first.clone()));

    let late = vec![entry("order-3", 1, Progress::Sent)];
    assert!(!shared.remember(copies(&first, Stage::Update, late.clone())));
    assert!(!shared.remember(copies(&claim(5, 2), Stage::First, late)));
    assert_eq!(fetch(&shared, None).0.len(), 2);
}

#[tokio::test]
async fn entries_of_an_earlier_keeper_do_not_hide_those_of_a_later_one() {
    // A fenced host began order-1 and failed: its first attempt was not run. The later keeper, which never heard of it, began it
    // too and sent it. If the failed attempt won, a repeat after the loss of that keeper would run again.
    let shared = holder(&Arc::new(ManualClock::new()));
    succeed(&shared, &claim(5, 1), vec![entry("order-1", 1, Progress::NotRun)]);
    succeed(&shared, &claim(6, 1), vec![entry("order-1", 1, Progress::Sent)]);
    assert_eq!(fetch(&shared, None).0, [entry("order-1", 1, Progress::Sent)]);
}

#[tokio::test]
async fn message_of_an_earlier_try_that_arrives_late_is_refused() {
    // The keeper gave up on the first page and began anew. The page arrives after all and must not undo what came later.
    let shared = holder(&Arc::new(ManualClock::new()));
    succeed(&shared, &claim(5, 2), vec![entry("order-1", 1, Progress::Sent)]);
    assert!(!shared.remember(copies(&claim(5, 1), Stage::First, Vec::new())));
    assert!(!shared.remember(copies(&claim(5, 1), Stage::Last, Vec::new())));
    assert_eq!(take_over(&shared, &claim(6, 0)).covered, Some(claim(5, 2)));
    assert_eq!(fetch(&shared, None).0.len(), 1);
}

#[tokio::test]
async fn a_part_of_the_entries_is_not_vouched_for() {
    // The keeper dies between the first page and the last one.
    let shared = holder(&Arc::new(ManualClock::new()));
    assert!(shared.remember(copies(&claim(5, 1), Stage::First, Vec::new())));
    assert!(!shared.remember(copies(&claim(5, 1), Stage::Update, Vec::new())));
    let known = take_over(&shared, &claim(6, 0));
    assert_eq!((known.covered, known.unused), (None, Some(claim(5, 1))));
    // Having said that the claim was not used, it may not let it be used.
    assert!(!shared.remember(copies(&claim(5, 1), Stage::Last, Vec::new())));
}

#[tokio::test]
async fn successor_that_is_named_no_more_does_not_vouch() {
    // The successor is cut off, and its keeper goes on alone or with another one. When both are lost and the old
    // successor is back, what it holds is not all.
    let clock = Arc::new(ManualClock::new());
    let shared = holder(&clock);
    succeed(&shared, &claim(5, 1), Vec::new());
    clock.advance(Duration::from_secs(3));
    assert!(shared.remember(copies(&claim(5, 1), Stage::Update, Vec::new())));
    clock.advance(Duration::from_secs(3));
    assert_eq!(take_over(&shared, &claim(6, 0)).covered, Some(claim(5, 1)));
    clock.advance(Duration::from_secs(2));
    assert_eq!(take_over(&shared, &claim(6, 0)).covered, None);
}

#[tokio::test]
async fn mark_that_was_not_the_last_one_is_dropped() {
    // The keeper told this host that another one is its successor now. Two more hosts take over, and the first of them
    // says that it has sent nothing: the mark must not look like the last word then.
    let shared = holder(&Arc::new(ManualClock::new()));
    succeed(&shared, &claim(5, 1), Vec::new());
    take_over(&shared, &claim(5, 2));
    take_over(&shared, &claim(6, 0));
    let known = take_over(&shared, &claim(7, 0));
    assert_eq!((known.highest, known.covered), (Some(claim(6, 0)), None));
}

#[tokio::test]
async fn host_that_was_paused_does_not_vouch() {
    // Messages that name it as successor may have waited in its sockets while its keeper chose another one.
    let clock = Arc::new(ManualClock::new());
    let shared = holder(&clock);
    shared.look_at_clock(Duration::from_millis(800));
    succeed(&shared, &claim(5, 1), Vec::new());
    clock.advance(Duration::from_millis(900));
    shared.look_at_clock(Duration::from_millis(800));
    assert_eq!(take_over(&shared, &claim(6, 0)).covered, None);
}

#[tokio::test]
async fn copies_come_in_pages() {
    // 200 answers of 60 KB are far more than one message may carry.
    let shared = holder(&Arc::new(ManualClock::new()));
    let answer = StoredAnswer { status: 200, headers: Vec::new(), body: vec![b'a'; 60_000] };
    let held: Vec<_> = (0..200)
        .map(|n| entry(&format!("order-{n:03}"), 1, Progress::Answered(answer.clone())))
        .collect();
    succeed(&shared, &claim(5, 1), held.clone());
    let mut fetched = Vec::new();
    let mut pages = 0;
    loop {
        let after = fetched.last().map(|last: &Remembered| EntryId {
            key: last.key,
            idempotency_key: last.idempotency_key.clone(),
        });
        let (page, more) = fetch(&shared, after);
        assert!(page.len() < 100);
        pages += 1;
        fetched.extend(page);
        if !more {
            break;
        }
    }
    assert_eq!(fetched, held);
    assert!(pages > 2, "{pages}");
}
