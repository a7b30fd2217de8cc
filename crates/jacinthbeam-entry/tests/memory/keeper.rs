//! What a keeper may begin, and when.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use jacinthbeam_admission::duplicate::{Begin, Options, Scope};
use jacinthbeam_entry::process::memory::{Shared, Source, Wanted, WantedSlot};
use jacinthbeam_peer::{
    Body, Client,
    message::{
        Answer, Claim, ClaimSlots, Claimed, ClaimedSlot, ForwardHead, ForwardReply, Question,
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

/// A host that takes every copy.
fn willing_host() -> server::Handle {
    let handler = Handler {
        ask: async |question: Question| match question {
            Question::Remember(_) => Answer::Done { agreed: true },
            Question::Claim(_) => {
                Answer::Claimed(Claimed { slots: Vec::new(), unused_before: false })
            }
            question => Answer::Failed { why: format!("unexpected: {question:?}") },
        },
        forward: async |head: ForwardHead, _: Body, _: Cancelled| {
            let refusal = Refusal::not_run(Reason::Stopping);
            (ForwardReply::Refused { id: head.id, refusal, attendant: None }, Body::empty())
        },
    };
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    server::bind(addr, Default::default(), handler).unwrap()
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
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(shared.ready_slots(&server()), 0);
    }
    clock.advance(Duration::from_secs(4));
    until(async || shared.ready_slots(&server()) == 1).await;
}
