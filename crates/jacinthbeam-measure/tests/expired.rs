//! Records of the log have expired before a host reads them.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam::{config::folder::Snapshot, types::prelude::*};
use jacinthbeam_measure::{Deployment, Plan};
use jacinthbeam_standin::log::Retention;

const CONFIG: &str = r#"{
  "services": { "orders": {
    "team": "crews",
    "concurrency": 3,
    "connections": 40,
    "division": { "keyed": { "slots": 100 } },
  } },
}"#;

/// All records but the last have expired, and the log holds no snapshot. A host that starts finds no state in the log, and
/// would refuse its callers until the next snapshot is due. The other hosts of its cell have the state, so it takes
/// theirs and reads on from there.
#[tokio::test(flavor = "multi_thread")]
async fn host_that_starts_without_a_snapshot_takes_the_state_of_its_peers() {
    let files = BTreeMap::from([("10-orders.json".parse().unwrap(), CONFIG.to_owned())]);
    let mut deployment =
        Deployment::spawn(Plan::new(["a", "b", "c"]), &Snapshot { files }).await.unwrap();
    deployment.log.set_retention(Retention { records: Some(1), age: None });
    let domain: FailureDomain = "a".parse().unwrap();
    deployment.spawn_entry("entry-a-late".parse().unwrap(), &domain).unwrap();
    deployment.publish_list();
    deployment.until_served(Duration::from_secs(30)).await.unwrap();
}
