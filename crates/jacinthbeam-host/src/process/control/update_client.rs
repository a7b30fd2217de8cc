//! One question to another host, told anew if there is something to tell meanwhile.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jacinthbeam_crash::cases::LogPosition;
use jacinthbeam_types::prelude::*;
use tokio::sync::{oneshot, watch};

use super::input::{Input, Tx};
use crate::process::peers::{link::Link, source::Answer, update::UpdateRequest};

/// Pause between questions that brought no news at once, so that a host that answers wrongly isn't asked in a tight loop.
pub(super) const MIN_POLL_PAUSE: Duration = Duration::from_millis(5);

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Topic {
    /// All that the store holds, and servers that ended.
    All,
    /// Servers that ended, and the requests that they were running.
    Crashes,
}

/// Asks other hosts on behalf of the control thread.
#[derive(Debug, Clone)]
pub(super) struct UpdateClient {
    pub(super) clock: Arc<dyn Clock>,
    /// How far this host's own list of facts has to be told without waiting for the next question.
    pub(super) to_tell: watch::Receiver<LogPosition>,
    pub(super) tx: Tx,
}

impl UpdateClient {
    /// Asks once, hands on what came, and returns how good it is.
    ///
    /// A host waits for news before it answers, up to two seconds. What this host has seen in that time is told at once, by asking anew: three
    /// servers may have ended under one request before the wait is over.
    pub(super) async fn ask(
        &self,
        link: &mut Link,
        of: SocketAddr,
        topic: Topic,
    ) -> Result<Answer, String> {
        loop {
            let asked = self.question(of, topic).await.ok_or("the process ends")?;
            let begun = self.clock.now();
            let news = tokio::select! {
                news = link.ask(&asked) => news.map_err(|err| err.to_string())?,
                () = self.more_to_tell(&asked) => continue,
            };
            let answer = Answer { age: news.age, steps: news.steps, asks_store: news.asks_store };
            // The way of the question and that of the answer can't be told apart. Taken as if the answer's way were all of it, nothing
            // seems newer than it is.
            let answered = begun + news.waited;
            if news.is_empty() {
                tokio::time::sleep(MIN_POLL_PAUSE).await;
            }
            let input = Input::PeerUpdate { of, topic, answered, news: Box::new(news) };
            self.tx.send(input).map_err(|_| "the process ends")?;
            return Ok(answer);
        }
    }

    async fn question(&self, of: SocketAddr, topic: Topic) -> Option<UpdateRequest> {
        let (reply, asked) = oneshot::channel();
        self.tx.send(Input::BuildRequest { of, topic, reply }).ok()?;
        asked.await.ok()
    }

    /// Waits until there is something to tell that the question lacks. One that doesn't hold all that there was is answered at once.
    async fn more_to_tell(&self, asked: &UpdateRequest) {
        let told = asked.crashes.as_ref().map_or(LogPosition::default(), |question| question.end);
        let mut to_tell = self.to_tell.clone();
        let more = to_tell.wait_for(|to_tell| !asked.wait.is_zero() && *to_tell > told).await;
        if more.is_err() {
            // The control thread has ended, and so will the question.
            std::future::pending::<()>().await;
        }
    }
}
