//! Taking the news of the store from where [`source`](crate::process::peers::source) says: other hosts, or the store.
//!
//! A host that starts while the store turns it away knows no other, since the list of hosts is in the store, and asks those that its
//! settings name.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use jacinthbeam_types::prelude::*;
use tokio::sync::{oneshot, watch};

use super::{
    heard::Heard,
    input::{Input, Tx},
};
use crate::process::peers::{
    link::{self, Link},
    news::Asked,
    order::{Neighbour, Neighbours},
    source::{self, Answer, NoAnswer, Sources, Step},
};

/// Longest wait for news at another host; its answer without news shows that it is there, and how fresh it is.
pub(super) const WAIT: Duration = Duration::from_millis(700);

/// Pause of a host that reads the store itself before it looks again whether another could do it.
const LOOK_AGAIN: Duration = Duration::from_millis(1000);

/// The same while the store gives it no answers.
const LOOK_AGAIN_LOST: Duration = Duration::from_millis(250);

/// Pause between questions that brought no news at once, so that a host that answers wrongly isn't asked in a tight loop.
const LEAST_PAUSE: Duration = Duration::from_millis(5);

/// What the task needs of the control thread.
#[derive(Clone)]
pub(super) struct Feed {
    pub(super) clock: Arc<dyn Clock>,
    /// `None` until the list of hosts is known.
    pub(super) neighbours: watch::Receiver<Option<Neighbours>>,
    /// Hosts that are asked while none is known.
    pub(super) seeds: Vec<SocketAddr>,
    /// Whether this host reads the store itself.
    pub(super) direct: Rc<watch::Sender<bool>>,
    pub(super) heard: Rc<Heard>,
    pub(super) tx: Tx,
}

/// Chooses sources for ever.
pub(super) async fn run(mut feed: Feed) {
    let mut sources = Sources::default();
    loop {
        let known = feed.neighbours.borrow_and_update().clone();
        if !feed.seeds.is_empty() && source::asks_seeds(known.as_ref(), feed.age()) {
            feed.ask_seed().await;
            continue;
        }
        let Some(neighbours) = known else {
            feed.pause(LOOK_AGAIN).await;
            continue;
        };
        let lost = *feed.direct.borrow() && !feed.reads_store();
        let pick = |addrs: &[SocketAddr]| fastrand::choice(addrs).copied();
        match sources.next(feed.clock.now(), &neighbours, lost, pick) {
            Step::Ask(host) => ask_on(&feed, &mut sources, &host).await,
            Step::Wait(pause) => {
                if lost {
                    set_direct(&feed, false);
                }
                tokio::time::sleep(pause.max(LEAST_PAUSE)).await;
            }
            Step::Read => {
                set_direct(&feed, true);
                let pause = if feed.reads_store() { LOOK_AGAIN } else { LOOK_AGAIN_LOST };
                feed.pause(pause).await;
            }
            Step::Help(addr) => {
                set_direct(&feed, true);
                ask_for_help(&feed, addr).await;
                sources.on_no_help(addr, feed.clock.now());
            }
        }
    }
}

impl Feed {
    /// Whether this host itself reads the store, and is answered.
    fn reads_store(&self) -> bool {
        *self.direct.borrow() && self.heard.is_answered(self.clock.now())
    }

    fn age(&self) -> Duration {
        self.heard.age(self.clock.now())
    }

    /// Asks a host that the settings name, and reads the store as soon as that answers.
    async fn ask_seed(&mut self) {
        if self.neighbours.borrow().is_some() {
            set_direct(self, true);
        }
        if let Some(addr) = fastrand::choice(&self.seeds).copied() {
            ask_for_help(self, addr).await;
        }
        self.pause(LOOK_AGAIN_LOST).await;
    }

    /// Waits, but not on when other hosts become known.
    async fn pause(&mut self, pause: Duration) {
        // An error is the end of the process.
        let _ = tokio::time::timeout(pause, self.neighbours.changed()).await;
    }
}

fn set_direct(feed: &Feed, direct: bool) {
    let changed = feed.direct.send_if_modified(|known| std::mem::replace(known, direct) != direct);
    if changed {
        tracing::info!(part = "feed", event = "source", direct = %direct);
    }
}

/// Asks a host before this one, for as long as its answers are fresh.
async fn ask_on(feed: &Feed, sources: &mut Sources, (host, addr): &Neighbour) {
    let mut follows = false;
    let no_answer = match Link::open(*addr).await {
        Ok(mut link) => loop {
            match ask(feed, &mut link).await {
                Ok(answer) => {
                    let (reads, now) = (feed.reads_store(), feed.clock.now());
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
                }
                Err(why) => break Some((NoAnswer::Silent, why)),
            }
        },
        Err(err) if err.is_refused() => Some((NoAnswer::Refused, err.to_string())),
        Err(err) => Some((NoAnswer::Silent, err.to_string())),
    };
    if follows {
        sources.on_lost();
    }
    if let Some((why, error)) = no_answer {
        tracing::info!(part = "feed", event = "passed-over", host = %host, error = %error);
        sources.on_no_answer(host, why, feed.clock.now());
    }
}

/// Asks any host, for as long as the store doesn't answer this one and the other knows more.
async fn ask_for_help(feed: &Feed, addr: SocketAddr) {
    let mut link = match Link::open(addr).await {
        Ok(link) => link,
        Err(err) => {
            return tracing::info!(part = "feed", event = "not-reached", asked = %addr, error = %err);
        }
    };
    let mut helped = false;
    while !feed.reads_store() {
        match ask(feed, &mut link).await {
            Ok(answer) if answer.helps() => {
                if !std::mem::replace(&mut helped, true) {
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

/// Asks once, hands on what came, and returns how good it is.
async fn ask(feed: &Feed, link: &mut Link) -> Result<Answer, String> {
    let asked = question(&feed.tx).await.ok_or("the process ends")?;
    let begun = feed.clock.now();
    let news = link.ask(&asked).await.map_err(|err: link::Error| err.to_string())?;
    let answer = Answer { age: news.age, steps: news.steps, asks_store: news.asks_store };
    // The way of the question and that of the answer can't be told apart. Taken as if the answer's way were all of it, nothing seems newer
    // than it is.
    let answered = begun + news.waited;
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
