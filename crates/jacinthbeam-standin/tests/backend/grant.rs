//! Grants are fenced, and requests are checked against them twice.

use std::time::Duration;

use jacinthbeam_native::format::backend::{
    DEADLINE, Grant, GrantState, REFUSED, RefusedBecause, SLOT, TOKEN,
};
use jacinthbeam_standin::backend::{Echo, Outcome};
use jacinthbeam_types::prelude::*;

use crate::bench::{Bench, LEASE, grant, post, until, work};

#[tokio::test]
async fn stale_grants_are_refused_with_the_present_state() {
    let bench = Bench::new(|_| {});
    bench.grant(5).await;
    let good = grant(&bench.server, 5);
    let stale = [
        Grant { token: Token(4), ..good.clone() },
        Grant { incarnation: Incarnation(8), token: Token(6), ..good.clone() },
        Grant { based_on: Offset(9), token: Token(6), ..good.clone() },
    ];
    let mut client = bench.client().await;
    for grant in stale {
        let got = post(&mut client, &grant).await;
        assert_eq!(got.status, 409, "{grant:?}");
        assert_eq!(got.json::<GrantState>().token, Token(5));
    }
    let newer = Grant { until: 9, slots: [SlotId(2)].into_iter().collect(), ..good };
    let state: GrantState = post(&mut client, &newer).await.json();
    assert_eq!((state.until, state.slots, state.based_on), (9, newer.slots, Some(Offset(10))));
}

#[tokio::test]
async fn work_is_refused_unless_the_present_grant_covers_it() {
    let bench = Bench::new(|_| {});
    let mut client = bench.client().await;
    assert_eq!(work(&mut client, 0, &[]).await.unwrap().header(REFUSED), Some("lapsed"));
    bench.grant(2).await;
    let refused = [
        (vec![(TOKEN, "1"), (SLOT, "1")], "stale-token"),
        (vec![(TOKEN, "3"), (SLOT, "1")], "stale-token"),
        (vec![(SLOT, "1")], "stale-token"),
        (vec![(TOKEN, "2"), (SLOT, "4")], "not-owner"),
        (vec![(TOKEN, "2")], "not-owner"),
        (vec![(TOKEN, "2"), (SLOT, "1"), (DEADLINE, "0")], "deadline-passed"),
    ];
    for (headers, because) in refused {
        let got = client.send("GET", "/", &headers, "").await.unwrap();
        assert_eq!((got.status.as_u16(), got.header(REFUSED)), (409, Some(because)), "{headers:?}");
    }
    assert_eq!(work(&mut client, 2, &[]).await.unwrap().json::<Echo>().body_bytes, 4);
    bench.clock.advance(LEASE);
    assert_eq!(work(&mut client, 2, &[]).await.unwrap().header(REFUSED), Some("lapsed"));
    assert_eq!(bench.server.summary().ran, 1);
}

#[tokio::test]
async fn undivided_grant_covers_requests_without_a_slot() {
    let bench = Bench::new(|_| {});
    let mut client = bench.client().await;
    let grant = Grant { slots: Default::default(), ..grant(&bench.server, 1) };
    assert_eq!(post(&mut client, &grant).await.status, 200);
    assert_eq!(client.send("GET", "/", &[(TOKEN, "1")], "").await.unwrap().status, 200);
    assert_eq!(work(&mut client, 1, &[]).await.unwrap().header(REFUSED), Some("not-owner"));
}

// A server is frozen between the admission of an order and its effect, and its lease ends
// meanwhile. When it goes on, another server may own the key: the caller sees a refusal that says
// the order was not run.
#[tokio::test]
async fn lease_that_lapses_during_a_freeze_aborts_the_run() {
    let bench = Bench::new(|_| {});
    bench.grant(1).await;
    let order = bench.start_and_freeze().await;
    bench.clock.advance(LEASE);
    bench.server.unfreeze();
    let got = order.await.unwrap().unwrap();
    assert_eq!((got.status.as_u16(), got.header(REFUSED)), (409, Some("lapsed")));
    let runs = bench.server.runs();
    assert_eq!(runs[0].outcome, Outcome::Aborted(RefusedBecause::Lapsed));
    assert_eq!((runs.len(), runs[0].at_effect), (1, None));
    let summary = bench.server.summary();
    assert_eq!((summary.ran, summary.aborted, summary.refused["lapsed"]), (0, 1, 1));
}

// The caller gives up while the server is frozen and closes its connection. The server goes on in
// the middle of the order: its effect comes before it sees the close. Only a check right before the
// effect can stop it.
#[tokio::test]
async fn frozen_order_takes_effect_on_a_server_that_checks_nothing() {
    for (checks_grants, ran) in [(false, 1), (true, 0)] {
        let bench = Bench::new(|options| options.checks_grants = checks_grants);
        bench.grant(1).await;
        let order = bench.start_and_freeze().await;
        order.abort();
        assert!(order.await.is_err());
        bench.clock.advance(LEASE);
        bench.server.unfreeze();
        until(|| bench.server.runs().len() == 1).await;
        let summary = bench.server.summary();
        assert_eq!((summary.ran, summary.cancelled), (ran, 0), "checks: {checks_grants}");
    }
}

// An order is in progress when a new attendant presents a higher token. The new attendant sees it
// as running under an older token; whether it may still take effect is an option of the server.
#[tokio::test]
async fn newer_token_fences_orders_in_progress_unless_they_may_finish() {
    for (older_tokens_finish, ran) in [(false, 0), (true, 1)] {
        let bench = Bench::new(|options| options.older_tokens_finish = older_tokens_finish);
        bench.grant(1).await;
        bench.server.set_hold(true);
        let order = bench.start();
        bench.running(1).await;
        let state = bench.grant(2).await;
        assert_eq!((state.running, state.running_older), (1, 1));
        bench.server.set_hold(false);
        let got = order.await.unwrap().unwrap();
        assert_eq!(got.header(REFUSED), (ran == 0).then_some("stale-token"));
        assert_eq!(bench.server.summary().ran, ran);
    }
}

#[tokio::test]
async fn own_clock_has_its_offset_and_rate() {
    let bench = Bench::new(|options| {
        options.clock_offset = LEASE;
        options.clock_rate = 1.5;
    });
    bench.clock.advance(LEASE);
    assert_eq!(bench.server.grant_state().clock, 2_500_000);
}

/// What a judge of sole ownership reads: from when to when the server held which slots, renewals
/// joined, and ended by the lease, by other slots, or by the server's death.
#[tokio::test]
async fn holdings_tell_when_which_slots_were_held() {
    let bench = Bench::new(|_| {});
    let start = bench.clock.now();
    let mut client = bench.client().await;
    let first = grant(&bench.server, 1);
    post(&mut client, &first).await;
    bench.clock.advance(LEASE / 2);
    let renewed = Grant { until: first.until * 2, ..first.clone() };
    post(&mut client, &renewed).await;
    bench.clock.advance(LEASE / 2);
    let fewer = Grant { slots: [SlotId(2)].into_iter().collect(), ..renewed.clone() };
    post(&mut client, &fewer).await;
    bench.clock.advance(LEASE / 2);
    bench.server.kill();
    let holdings = bench.server.holdings();
    let held: Vec<_> = holdings
        .iter()
        .map(|held| (held.slots.len(), held.from - start, held.until - start))
        .collect();
    assert_eq!(held, [(4, Duration::ZERO, LEASE), (1, LEASE, LEASE + LEASE / 2)]);
}
