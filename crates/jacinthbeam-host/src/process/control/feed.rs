//! Asking other hosts for the news of the store, where [`source`](crate::process::peers::source) says so.
//!
//! A host that starts while the store turns it away knows no other, since the list of hosts is in the store, and asks those that its
//! settings name. Hosts that the store turns away while it serves others go on with news that are some milliseconds old.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;
use tokio::sync::{oneshot, watch};

use super::input::{Input, Tx};
use crate::process::peers::{
    link::Link,
    news::Asked,
    source::{Answer, LOST_AFTER, Neighbours, Source, Sources},
};

/// Longest wait for news at another host; its answer without news shows that it is there, and how fresh it is.
pub(super) const WAIT: Duration = Duration::from_millis(700);

/// Pause of a host that reads the store itself before it looks again whether another could do it.
const LOOK_AGAIN: Duration = Duration::from_millis(1000);

/// Pause between questions that brought no news at once, so that a host that answers wrongly isn't asked in a tight loop.
const LEAST_PAUSE: Duration = Duration::from_millis(5);

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
    let mut sources = Sources::default();
    loop {
        let neighbours = feed.neighbours.borrow().clone();
        let (now, lost) = (feed.clock.now(), feed.has_lost_store());
        let pick = |addrs: &[SocketAddr]| fastrand::choice(addrs).copied();
        match sources.choose(now, &neighbours, lost, &feed.seeds, pick) {
            Source::Before(host, addr) => {
                ask_on(&feed, &host, addr).await;
                // At once, since the next one may not answer either, and each attempt takes a part of the time that a change has.
                set_direct(&feed, true);
                sources.pass_over(host, feed.clock.now());
            }
            Source::Helper(addr) => {
                set_direct(&feed, true);
                ask_while_lost(&feed, addr).await;
                sources.was_behind(addr, feed.clock.now());
            }
            Source::Store => {
                set_direct(&feed, true);
                tokio::time::sleep(if lost { LOOK_AGAIN / 4 } else { LOOK_AGAIN }).await;
            }
        }
    }
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
            Ok(answer) if answer.is_worth_following() => {
                if *feed.direct.borrow() {
                    tracing::info!(part = "feed", event = "follows", host = %host);
                }
                set_direct(feed, false);
            }
            Ok(answer) => {
                return tracing::info!(part = "feed", event = "passed-over", host = %host, age_ms = %answer.age.as_millis(), reads_store = %answer.reads_store);
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
            Ok(answer) if answer.helps() => {
                tracing::debug!(part = "feed", event = "store-lost", asked = %addr, age_ms = %answer.age.as_millis());
            }
            Ok(answer) => {
                tracing::debug!(part = "feed", event = "behind", asked = %addr, age_ms = %answer.age.as_millis());
                return tokio::time::sleep(LEAST_PAUSE * 10).await;
            }
            Err(err) => {
                return tracing::info!(part = "feed", event = "no-news", asked = %addr, error = %err);
            }
        }
    }
}

/// Asks once, hands on what came, and returns how good it is.
async fn ask(feed: &Feed, link: &mut Link) -> Result<Answer, String> {
    let asked = question(&feed.tx).await.ok_or("the process ends")?;
    let begun = feed.clock.now();
    let news = link.ask(&asked).await.map_err(|err| err.to_string())?;
    let age = news.age;
    let answer = Answer { age, reads_store: news.reads_store };
    // The way of the question and that of the answer can't be told apart. Taken as if the answer's way were all of it, nothing seems newer
    // than it is.
    let answered = begun + news.waited;
    // Hosts that ask this one are told its age: counted from the receipt, each step on the way would make news younger by that step.
    let at = answered.checked_sub(age);
    if age <= LOST_AFTER {
        feed.heard.set(feed.heard.get().max(at));
    }
    if news.is_empty() {
        tokio::time::sleep(LEAST_PAUSE).await;
    }
    feed.tx.send(Input::News(answered, Box::new(news))).map_err(|_| "the process ends")?;
    Ok(answer)
}

async fn question(tx: &Tx) -> Option<Asked> {
    let (reply, asked) = oneshot::channel();
    tx.send(Input::Question(reply)).ok()?;
    asked.await.ok()
}
