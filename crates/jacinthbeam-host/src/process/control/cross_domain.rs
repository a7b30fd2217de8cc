//! Exchanges crash facts between failure domains.
//!
//! Within a domain, crash facts travel with the updates of the store's data. Domains read the store independently, so the host that reads it
//! for its domain also polls the first host of every other domain. That host polls back as the reader of its own domain, and a poll carries
//! facts both ways, so one working direction is enough.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use jacinthbeam_types::prelude::*;
use tokio::{sync::watch, task::spawn_local};

use super::update_client::{UpdateClient, UpdateScope};
use crate::process::peers::{
    link::Link,
    order::{Neighbour, Neighbours},
};

/// Longest wait of a long poll at a host of another domain. A connection silenced by a network partition is abandoned this long after the last
/// answer; including the time to reconnect, both sides have each other's facts within three seconds after the partition heals.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(2000);

/// Pause before polling another host of a domain after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// What the task needs from the control thread.
#[derive(Debug, Clone)]
pub(super) struct CrossDomain {
    pub(super) client: UpdateClient,
    /// `None` until the list of hosts is known.
    pub(super) neighbours: watch::Receiver<Option<Neighbours>>,
    /// Whether this host reads the store itself.
    pub(super) direct: Rc<watch::Sender<bool>>,
}

/// Starts an exchange with every other failure domain that becomes known, until the control thread ends.
pub(super) async fn run(mut task: CrossDomain) {
    let mut domains = BTreeSet::new();
    loop {
        let known = task.neighbours.borrow_and_update().clone().unwrap_or_default();
        for domain in known.far.into_keys() {
            if domains.insert(domain.clone()) {
                spawn_local(exchange(task.clone(), domain));
            }
        }
        if task.neighbours.changed().await.is_err() {
            return;
        }
    }
}

/// Polls a host of one domain at a time while this host reads the store itself; moves on to another one when a poll fails.
async fn exchange(task: CrossDomain, domain: FailureDomain) {
    let mut direct = task.direct.subscribe();
    for turn in 0.. {
        if direct.wait_for(|direct| *direct).await.is_err() {
            return;
        }
        if let Some(host) = pick_host(&task, &domain, turn) {
            poll_host(&task, &host).await;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Picks the host to poll: the first of the domain on even turns, the others in rotation on odd ones.
fn pick_host(task: &CrossDomain, domain: &FailureDomain, turn: usize) -> Option<Neighbour> {
    let neighbours = task.neighbours.borrow();
    let hosts = neighbours.as_ref()?.far.get(domain)?;
    let others = hosts.len().saturating_sub(1).max(1);
    let at = if turn.is_multiple_of(2) { 0 } else { 1 + turn / 2 % others };
    hosts.get(at).or(hosts.first()).cloned()
}

async fn poll_host(task: &CrossDomain, (host, addr): &Neighbour) {
    let why = match Link::open(*addr).await {
        Ok(mut link) => loop {
            if !*task.direct.borrow() {
                return;
            }
            if let Err(why) = task.client.ask(&mut link, *addr, UpdateScope::Crashes).await {
                break why;
            }
        },
        Err(err) => err.to_string(),
    };
    tracing::debug!(part = "crash", event = "not-exchanged", host = %host, error = %why);
}
