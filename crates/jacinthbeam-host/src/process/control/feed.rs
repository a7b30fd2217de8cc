//! Where the news of the store come from: the store itself, or another host.
//!
//! Calls to the store are limited and priced over all hosts. If each host read for itself, what is asked of the store would
//! grow with the fleet; so in each failure domain the hosts stand in the order of their names, each asks the first of those
//! before it that answers, and only one that finds nobody reads the store. Nobody is elected: a host that dies, falls silent
//! or is cut off from the store is passed over by those behind it within a second or so.
//!
//! A host that reads for itself and loses the store asks any other host. One that starts then and knows none, since the list of
//! hosts is in the store, asks those that its settings name. Hosts that the store turns away while it serves others
//! go on with news that are some milliseconds old.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;
use tokio::sync::{oneshot, watch};

use super::{
    follow::LOST_AFTER,
    input::{Input, Tx},
};
use crate::process::peers::{link::Link, news::Asked};

/// Longest wait for news at another host; its answer without news shows that it is there, and how fresh it is.
pub(super) const WAIT: Duration = Duration::from_millis(700);

/// A host that gave no answer, or an old one, is passed over for this long.
const PASSED_OVER_FOR: Duration = Duration::from_secs(3);

/// Pause of a host that reads the store itself before it looks again whether another could do it.
const LOOK_AGAIN: Duration = Duration::from_millis(1000);

/// Pause between questions that brought no news at once, so that a host that answers wrongly isn't asked in a tight loop.
const LEAST_PAUSE: Duration = Duration::from_millis(5);

/// Hosts as the control thread knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Neighbours {
    /// Those before this one in its failure domain, in order.
    pub(super) before: Vec<(HostId, SocketAddr)>,
    /// All others.
    pub(super) others: Vec<(HostId, SocketAddr)>,
}

/// What the task needs of the control thread.
#[derive(Clone)]
pub(super) struct Feed {
    pub(super) clock: Arc<dyn Clock>,
    pub(super) neighbours: watch::Receiver<Neighbours>,
    /// Hosts that are asked while none is known.
    pub(super) seeds: Vec<SocketAddr>,
    /// Whether this host reads the store itself.
    pub(super) direct: Rc<watch::Sender<bool>>,
    /// When this host last heard of the store.
    pub(super) heard: Rc<std::cell::Cell<Option<Instant>>>,
    pub(super) tx: Tx,
}

/// Chooses sources for ever.
pub(super) async fn run(feed: Feed) {
    let mut passed_over: BTreeMap<HostId, Instant> = BTreeMap::new();
    loop {
        let now = feed.clock.now();
        passed_over.retain(|_, until| now < *until);
        let neighbours = feed.neighbours.borrow().clone();
        let open = |(host, _): &&(HostId, SocketAddr)| !passed_over.contains_key(host);
        if let Some((host, addr)) = neighbours.before.iter().find(open) {
            let (host, addr) = (host.clone(), *addr);
            ask_on(&feed, &host, addr).await;
            // At once, since the next one may not answer either, and each attempt takes a part of the time that a change has.
            set_direct(&feed, true);
            passed_over.insert(host, feed.clock.now() + PASSED_OVER_FOR);
            continue;
        }
        set_direct(&feed, true);
        if feed.has_lost_store()
            && let Some(addr) = any(&neighbours, &feed.seeds)
        {
            ask_while_lost(&feed, addr).await;
            continue;
        }
        tokio::time::sleep(if feed.has_lost_store() { LOOK_AGAIN / 4 } else { LOOK_AGAIN }).await;
    }
}

/// One of the others at random, or of the seeds while no host is known.
fn any(neighbours: &Neighbours, seeds: &[SocketAddr]) -> Option<SocketAddr> {
    let addrs: Vec<SocketAddr> = match neighbours.others.is_empty() {
        true => seeds.to_vec(),
        false => neighbours.others.iter().map(|(_, addr)| *addr).collect(),
    };
    fastrand::choice(addrs)
}

impl Feed {
    fn age(&self) -> Duration {
        let heard = self.heard.get();
        heard.map_or(Duration::MAX, |at| self.clock.now().saturating_duration_since(at))
    }

    fn has_lost_store(&self) -> bool {
        self.age() > LOST_AFTER
    }
}

fn set_direct(feed: &Feed, direct: bool) {
    let changed = feed.direct.send_if_modified(|known| std::mem::replace(known, direct) != direct);
    if changed {
        tracing::info!(part = "feed", event = "source", direct = %direct);
    }
}

/// Asks a host before this one, for as long as its answers are fresh.
async fn ask_on(feed: &Feed, host: &HostId, addr: SocketAddr) {
    let mut link = match Link::open(addr).await {
        Ok(link) => link,
        Err(err) => {
            return tracing::info!(part = "feed", event = "passed-over", host = %host, error = %err);
        }
    };
    loop {
        match ask(feed, &mut link).await {
            Ok(age) if age <= LOST_AFTER => {
                if *feed.direct.borrow() {
                    tracing::info!(part = "feed", event = "follows", host = %host);
                }
                set_direct(feed, false);
            }
            Ok(age) => {
                return tracing::info!(part = "feed", event = "passed-over", host = %host, age_ms = %age.as_millis());
            }
            Err(err) => {
                return tracing::info!(part = "feed", event = "passed-over", host = %host, error = %err);
            }
        }
    }
}

/// Asks any host, for as long as this one can't read the store and the other is less behind.
async fn ask_while_lost(feed: &Feed, addr: SocketAddr) {
    let mut link = match Link::open(addr).await {
        Ok(link) => link,
        Err(err) => {
            tracing::info!(part = "feed", event = "not-reached", asked = %addr, error = %err);
            return tokio::time::sleep(LEAST_PAUSE * 10).await;
        }
    };
    loop {
        match ask(feed, &mut link).await {
            Ok(age) if age <= LOST_AFTER => {
                tracing::debug!(part = "feed", event = "store-lost", asked = %addr, age_ms = %age.as_millis());
            }
            Ok(age) => {
                tracing::debug!(part = "feed", event = "behind", asked = %addr, age_ms = %age.as_millis());
                return tokio::time::sleep(LEAST_PAUSE * 10).await;
            }
            Err(err) => {
                return tracing::info!(part = "feed", event = "no-news", asked = %addr, error = %err);
            }
        }
    }
}

/// Asks once, hands on what came, and returns how old it is.
async fn ask(feed: &Feed, link: &mut Link) -> Result<Duration, String> {
    let asked = question(&feed.tx).await.ok_or("the process ends")?;
    let begun = feed.clock.now();
    let news = link.ask(&asked).await.map_err(|err| err.to_string())?;
    let age = news.age;
    // The way of the question and that of the answer can't be told apart. Taken as if the answer's way were all of it, nothing seems newer
    // than it is.
    let answered = begun + news.waited;
    let at = feed.clock.now().checked_sub(age);
    if age <= LOST_AFTER {
        feed.heard.set(feed.heard.get().max(at));
    }
    if news.is_empty() {
        tokio::time::sleep(LEAST_PAUSE).await;
    }
    feed.tx.send(Input::News(answered, Box::new(news))).map_err(|_| "the process ends")?;
    Ok(age)
}

async fn question(tx: &Tx) -> Option<Asked> {
    let (reply, asked) = oneshot::channel();
    tx.send(Input::Question(reply)).ok()?;
    asked.await.ok()
}
