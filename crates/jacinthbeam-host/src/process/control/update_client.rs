//! Requests updates from other hosts. A pending request is replaced when there are new crash facts to send with it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jacinthbeam_crash::cases::LogPosition;
use jacinthbeam_types::prelude::*;
use tokio::sync::{oneshot, watch};

use super::input::{Input, Tx};
use crate::process::peers::{link::Link, source::Answer, update::UpdateRequest};

/// Pause after an answer without changes, so that a host that wrongly answers immediately isn't polled in a tight loop.
pub(super) const MIN_POLL_PAUSE: Duration = Duration::from_millis(5);

/// What to request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpdateScope {
    /// All data of the store, and crash facts.
    All,
    /// Crash facts only.
    Crashes,
}

/// Requests updates from other hosts on behalf of the control thread.
#[derive(Debug, Clone)]
pub(super) struct UpdateClient {
    pub(super) clock: Arc<dyn Clock>,
    /// Log position up to which this host's crash facts are to be sent without waiting for the next request.
    pub(super) push_end: watch::Receiver<LogPosition>,
    pub(super) tx: Tx,
}

impl UpdateClient {
    /// Requests one update, sends it to the control thread, and returns how fresh it is.
    ///
    /// The other host may hold its answer back for up to two seconds. Crash facts that appear meanwhile are sent immediately in a new request:
    /// one request may crash three servers before the wait is over.
    pub(super) async fn ask(
        &self,
        link: &mut Link,
        of: SocketAddr,
        scope: UpdateScope,
    ) -> Result<Answer, String> {
        loop {
            let request = self.build_request(of, scope).await.ok_or("the process ends")?;
            let sent_at = self.clock.now();
            let update = tokio::select! {
                update = link.ask(&request) => update.map_err(|err| err.to_string())?,
                () = self.newer_facts(&request) => continue,
            };
            let answer =
                Answer { age: update.age, steps: update.steps, asks_store: update.asks_store };
            // The transit times of request and answer can't be separated. Counting all of it as the answer's makes the data look older than
            // it is, never newer.
            let answered = sent_at + update.waited;
            if update.is_empty() {
                tokio::time::sleep(MIN_POLL_PAUSE).await;
            }
            let input = Input::PeerUpdate { of, scope, answered, update: Box::new(update) };
            self.tx.send(input).map_err(|_| "the process ends")?;
            return Ok(answer);
        }
    }

    async fn build_request(&self, of: SocketAddr, scope: UpdateScope) -> Option<UpdateRequest> {
        let (reply, request) = oneshot::channel();
        self.tx.send(Input::BuildRequest { of, scope, reply }).ok()?;
        request.await.ok()
    }

    /// Waits until there are facts to send that the request lacks. A request with a zero wait already lacked some and is answered immediately,
    /// so it is never replaced.
    async fn newer_facts(&self, request: &UpdateRequest) {
        let sent_end =
            request.crashes.as_ref().map_or(LogPosition::default(), |question| question.end);
        let mut push_end = self.push_end.clone();
        let more =
            push_end.wait_for(|push_end| !request.wait.is_zero() && *push_end > sent_end).await;
        if more.is_err() {
            // The control thread has ended, and this task ends with it.
            std::future::pending::<()>().await;
        }
    }
}
