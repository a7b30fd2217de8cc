//! Obtains the store's data from the source that [`source`] selects: another host, or the store itself.
//!
//! A host that starts while the store refuses it can't read the list of hosts, and polls the seed hosts in its settings.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;
use tokio::sync::watch;

use super::{
    contact::StoreContact,
    update_client::{MIN_POLL_PAUSE, UpdateClient, UpdateScope},
};
use crate::process::peers::{
    link::Link,
    order::{Neighbour, Neighbours},
    source::{self, Action, NoAnswer, SourceSelector},
};

/// Longest wait of a long poll at another host; an answer without changes still shows that the host is alive and how stale its data is.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(700);

/// Interval at which a host that reads the store itself checks whether it could follow another host.
const RECHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// The same while the store doesn't answer this host.
const RECHECK_INTERVAL_UNANSWERED: Duration = Duration::from_millis(250);

/// What the task needs from the control thread.
#[derive(Clone)]
pub(super) struct Feed {
    pub(super) client: UpdateClient,
    /// `None` until the list of hosts is known.
    pub(super) neighbours: watch::Receiver<Option<Neighbours>>,
    /// Hosts to poll while no other host is known.
    pub(super) seeds: Vec<SocketAddr>,
    /// Whether this host reads the store itself.
    pub(super) direct: Rc<watch::Sender<bool>>,
    pub(super) contact: Rc<StoreContact>,
}

/// Selects a source and takes data from it, forever.
pub(super) async fn run(mut feed: Feed) {
    let mut sources = SourceSelector::default();
    loop {
        let known = feed.neighbours.borrow_and_update().clone();
        if !feed.seeds.is_empty() && source::should_poll_seeds(known.as_ref(), feed.age()) {
            feed.poll_seed().await;
            continue;
        }
        let Some(neighbours) = known else {
            feed.pause(RECHECK_INTERVAL).await;
            continue;
        };
        let store_unanswered = *feed.direct.borrow() && !feed.is_store_answering();
        let pick = |addrs: &[SocketAddr]| fastrand::choice(addrs).copied();
        match sources.next(feed.now(), &neighbours, store_unanswered, pick) {
            Action::Ask(host) => follow_host(&feed, &mut sources, &host).await,
            Action::Wait(pause) => {
                if store_unanswered {
                    set_direct(&feed, false);
                }
                tokio::time::sleep(pause.max(MIN_POLL_PAUSE)).await;
            }
            Action::ReadStore => {
                set_direct(&feed, true);
                let pause = if feed.is_store_answering() {
                    RECHECK_INTERVAL
                } else {
                    RECHECK_INTERVAL_UNANSWERED
                };
                feed.pause(pause).await;
            }
            Action::PollFallback(addr) => {
                set_direct(&feed, true);
                poll_for_help(&feed, addr).await;
                sources.on_unusable_fallback(addr, feed.now());
            }
        }
    }
}

impl Feed {
    fn now(&self) -> Instant {
        self.client.clock.now()
    }

    /// Whether this host reads the store itself and the store answers.
    fn is_store_answering(&self) -> bool {
        *self.direct.borrow() && self.contact.is_store_answering(self.now())
    }

    /// Whether a host precedes this one in the order of its failure domain, as far as is known now.
    fn is_preceded_by(&self, host: &HostId) -> bool {
        self.neighbours.borrow().as_ref().is_some_and(|neighbours| neighbours.is_preceded_by(host))
    }

    fn age(&self) -> Duration {
        self.contact.age(self.now())
    }

    /// Polls a seed host until the store answers this one.
    async fn poll_seed(&mut self) {
        if self.neighbours.borrow().is_some() {
            set_direct(self, true);
        }
        if let Some(addr) = fastrand::choice(&self.seeds).copied() {
            poll_for_help(self, addr).await;
        }
        self.pause(RECHECK_INTERVAL_UNANSWERED).await;
    }

    /// Waits for `pause`, or until the known hosts change.
    async fn pause(&mut self, pause: Duration) {
        // Fails only when the control thread ends.
        let _ = tokio::time::timeout(pause, self.neighbours.changed()).await;
    }
}

fn set_direct(feed: &Feed, direct: bool) {
    let changed = feed.direct.send_if_modified(|known| std::mem::replace(known, direct) != direct);
    if changed {
        tracing::info!(part = "feed", event = "source", direct = %direct);
    }
}

/// Follows a host that precedes this one: polls it for as long as its answers are fresh.
async fn follow_host(feed: &Feed, sources: &mut SourceSelector, (host, addr): &Neighbour) {
    let mut follows = false;
    let no_answer = match Link::open(*addr).await {
        Ok(mut link) => loop {
            match feed.client.ask(&mut link, *addr, UpdateScope::All).await {
                Ok(answer) => {
                    let (reads, now) = (feed.is_store_answering(), feed.now());
                    if !sources.on_answer(host, answer, reads, now) {
                        if follows {
                            tracing::info!(part = "feed", event = "passed-over", host = %host, age_ms = %answer.age.as_millis(), steps = %answer.steps, asks_store = %answer.asks_store);
                        }
                        break None;
                    }
                    if !std::mem::replace(&mut follows, true) {
                        tracing::info!(part = "feed", event = "follows", host = %host, steps = %answer.steps);
                    }
                    set_direct(feed, false);
                    if !feed.is_preceded_by(host) {
                        // The list of hosts has shown that this host comes first.
                        break None;
                    }
                }
                Err(why) => break Some((NoAnswer::Silent, why)),
            }
        },
        Err(err) if err.is_refused() => Some((NoAnswer::Refused, err.to_string())),
        Err(err) => Some((NoAnswer::Silent, err.to_string())),
    };
    if follows {
        sources.on_source_lost();
    }
    if let Some((why, error)) = no_answer {
        tracing::info!(part = "feed", event = "passed-over", host = %host, error = %error);
        sources.on_no_answer(host, why, feed.now());
    }
}

/// Polls a host for as long as the store doesn't answer this one and the other's data is fresher.
async fn poll_for_help(feed: &Feed, addr: SocketAddr) {
    let mut link = match Link::open(addr).await {
        Ok(link) => link,
        Err(err) => {
            return tracing::info!(part = "feed", event = "not-reached", asked = %addr, error = %err);
        }
    };
    let mut has_helped = false;
    while !feed.is_store_answering() {
        match feed.client.ask(&mut link, addr, UpdateScope::All).await {
            Ok(answer) if answer.is_usable_fallback() => {
                if !std::mem::replace(&mut has_helped, true) {
                    tracing::info!(part = "feed", event = "helped", asked = %addr, steps = %answer.steps);
                }
            }
            Ok(answer) => {
                return tracing::debug!(part = "feed", event = "behind", asked = %addr, age_ms = %answer.age.as_millis());
            }
            Err(err) => {
                return tracing::info!(part = "feed", event = "no-news", asked = %addr, error = %err);
            }
        }
    }
}
