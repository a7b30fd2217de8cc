//! Exchange of facts about servers that ended, between failure domains.
//!
//! Within a domain they go with the news of the store. Domains read the store each for itself, so the host that reads it for its domain
//! asks the first host of each other domain too. That one asks back, as the reader of its own domain: while either of them hears the
//! other, the facts of both sides meet.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use jacinthbeam_types::prelude::*;
use tokio::{sync::watch, task::spawn_local};

use super::update_client::{Topic, UpdateClient};
use crate::process::peers::{
    link::Link,
    order::{Neighbour, Neighbours},
};

/// Longest wait for facts at a host of another domain. A connection that a cut has silenced is given up so long after the last answer; with the
/// time to connect, what was seen on either side is known on both within three seconds of the end of a cut.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(2000);

/// Pause before another host of a domain is asked, if one gave no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// What the task needs of the control thread.
#[derive(Debug, Clone)]
pub(super) struct CrossDomain {
    pub(super) client: UpdateClient,
    /// `None` until the list of hosts is known.
    pub(super) neighbours: watch::Receiver<Option<Neighbours>>,
    /// Whether this host reads the store itself.
    pub(super) direct: Rc<watch::Sender<bool>>,
}

/// Starts to exchange facts with each failure domain that becomes known. Runs for ever.
pub(super) async fn run(mut cx: CrossDomain) {
    let mut domains = BTreeSet::new();
    loop {
        let known = cx.neighbours.borrow_and_update().clone().unwrap_or_default();
        for domain in known.far.into_keys() {
            if domains.insert(domain.clone()) {
                spawn_local(exchange(cx.clone(), domain));
            }
        }
        if cx.neighbours.changed().await.is_err() {
            return;
        }
    }
}

/// Asks the hosts of one domain, the first of them that answers, for as long as this host reads the store.
async fn exchange(cx: CrossDomain, domain: FailureDomain) {
    let mut direct = cx.direct.subscribe();
    for turn in 0.. {
        if direct.wait_for(|direct| *direct).await.is_err() {
            return;
        }
        if let Some(host) = pick(&cx, &domain, turn) {
            ask_on(&cx, &host).await;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// The hosts of a domain take their turns, the first of them every other time.
fn pick(cx: &CrossDomain, domain: &FailureDomain, turn: usize) -> Option<Neighbour> {
    let neighbours = cx.neighbours.borrow();
    let hosts = neighbours.as_ref()?.far.get(domain)?;
    let others = hosts.len().saturating_sub(1).max(1);
    let at = if turn.is_multiple_of(2) { 0 } else { 1 + turn / 2 % others };
    hosts.get(at).or(hosts.first()).cloned()
}

async fn ask_on(cx: &CrossDomain, (host, addr): &Neighbour) {
    let why = match Link::open(*addr).await {
        Ok(mut link) => loop {
            if !*cx.direct.borrow() {
                return;
            }
            if let Err(why) = cx.client.ask(&mut link, *addr, Topic::Crashes).await {
                break why;
            }
        },
        Err(err) => err.to_string(),
    };
    tracing::debug!(part = "crash", event = "not-exchanged", host = %host, error = %why);
}
