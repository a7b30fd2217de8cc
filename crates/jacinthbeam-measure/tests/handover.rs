//! An entry host is stopped as planned while it attends a backend server.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use jacinthbeam::{
    config::folder::Snapshot, platform::format::backend::GrantState, types::prelude::*,
};
use jacinthbeam_measure::{
    Deployment, Plan,
    load::{Ended, Sending},
};
use jacinthbeam_standin::backend::Outcome;

const CONFIG: &str = r#"{
  "services": { "orders": {
    "team": "crews",
    "concurrency": 3,
    "connections": 40,
    "division": { "keyed": { "slots": 100 } },
  } },
}"#;
/// Longer than any lease that was granted before the stop.
const PAST_LEASE: Duration = Duration::from_secs(2);

async fn until(holds: impl Fn() -> bool) {
    while !holds() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A caller has an order in progress when its backend server's attendant is stopped as planned, and the order takes longer than
/// the lease. The stopping host renews the lease until the order has ended, and only then another host takes over. Were it
/// to do so before, its higher token would fence the order, which the backend server would drop right before the effect.
#[tokio::test(flavor = "multi_thread")]
async fn order_in_progress_ends_under_the_token_of_the_host_that_stops() {
    let files = BTreeMap::from([("10-orders.json".parse().unwrap(), CONFIG.to_owned())]);
    let mut plan = Plan::new(["a", "b", "c"]);
    plan.entry_hosts.values_mut().for_each(|count| *count = 2);
    let mut deployment = Deployment::spawn(plan, &Snapshot { files }).await.unwrap();
    let server: ServerId = "orders-0".parse().unwrap();
    let attendant = deployment.attendant_of(&server).await.unwrap();
    let stopping = deployment.entries.remove(&attendant).unwrap();
    let through = deployment.entries.values().next().unwrap().callers();
    let backend = &deployment.servers[&server].handle;
    let token = backend.grant_state().token;

    backend.set_hold(true);
    let order = Sending {
        method: "POST",
        path: "/orders/pass-7/confirm".into(),
        deadline: Duration::from_secs(30),
        idempotency_key: None,
        service_time: None,
        body: Bytes::from("brine"),
    };
    let order = tokio::spawn(async move { order.send(through).await });
    until(|| backend.grant_state().running == 1).await;
    let stop = tokio::spawn(stopping.stop());
    let clock = |state: GrantState| Duration::from_micros(state.clock);
    let stopped_at = clock(backend.grant_state());
    until(|| clock(backend.grant_state()) > stopped_at + PAST_LEASE).await;
    backend.set_hold(false);

    let Ended::Answered(answered) = order.await.unwrap() else { panic!("no answer") };
    assert_eq!((answered.status, answered.verdict), (200, Some(Verdict::Ran)));
    stop.await.unwrap();
    let runs: Vec<_> = backend.runs().into_iter().map(|run| (run.token, run.outcome)).collect();
    assert_eq!(runs, [(Some(token), Outcome::Ran)]);
    until(|| backend.grant_state().token > token).await;
    deployment.until_served(Duration::from_secs(30)).await.unwrap();
}
