//! An entry host is behind its peers when it loses the log.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jacinthbeam::{
    config::{
        folder::Snapshot,
        settings::{Limits, Settings, TimingSettings},
    },
    entry,
    types::prelude::*,
};
use jacinthbeam_measure::{Deployment, Plan};
use jacinthbeam_standin::relay::{self, Fault};

const CONFIG: &str = r#"{
  "services": { "orders": {
    "team": "crews",
    "concurrency": 3,
    "connections": 40,
    "division": { "keyed": { "slots": 100 } },
  } },
}"#;

/// Far longer than anything here takes; a bound for a host that never catches up.
const PATIENCE: Duration = Duration::from_secs(30);

async fn log_next(entry: &entry::Handle) -> Option<Offset> {
    Some(entry.dump().await?.log_next)
}

/// Waits until both hosts have read as far, and further than `beyond`.
async fn until_level(one: &entry::Handle, other: &entry::Handle, beyond: Offset) {
    let level = async {
        loop {
            let (next, theirs) = (log_next(one).await, log_next(other).await);
            if next == theirs && next > Some(beyond) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, level).await.expect("one host stays behind the other");
}

/// A host loses the log just before the others of its cell read one more record. It can't use their words as witnesses until it
/// knows that record too, and would lose its leases. It takes the state of a peer.
#[tokio::test(flavor = "multi_thread")]
async fn host_that_lost_the_log_learns_from_its_peers_what_they_have_read() {
    let files = BTreeMap::from([("10-orders.json".parse().unwrap(), CONFIG.to_owned())]);
    let mut deployment =
        Deployment::spawn(Plan::new(["a", "b", "c"]), &Snapshot { files }).await.unwrap();
    let loopback = "127.0.0.1:0".parse().unwrap();
    let relay = relay::spawn(loopback, Some(deployment.log.addr())).unwrap();
    let settings = Settings {
        host: "entry-a-late".parse().unwrap(),
        cell: "a".parse().unwrap(),
        callers: loopback,
        peers: loopback,
        advertise: None,
        source: None,
        operators: loopback,
        log: relay.addr(),
        hosts: deployment.hosts.addr(),
        timing: TimingSettings::default(),
        limits: Limits::default(),
        traffic_threads: 1,
    };
    let late = entry::spawn(&settings, Arc::new(SystemClock)).unwrap();
    let name: HostId = "entry-a-0".parse().unwrap();
    until_level(&late, &deployment.entries[&name], Offset(0)).await;

    relay.set_fault("127.0.0.1".parse().unwrap(), Fault::BOTH);
    let before = log_next(&late).await.unwrap();
    let version = late.dump().await.unwrap().config_version;
    deployment.declare_lost(&[], version).unwrap();
    until_level(&late, &deployment.entries[&name], before).await;
}
