//! Makes sure that a connection still works before a request is sent on it.

use tokio::time::Instant;

use crate::{
    client::connection::Ended,
    connection::{Silence, Status},
};

/// Waits for a sign of life if nothing was heard for a while.
///
/// Something between the ends may have forgotten an idle connection. A request sent into it would be lost as
/// `MayHaveRun`, and a callout could not be repeated. With the answer to a PING first, the request is still
/// unsent when the silence shows, and goes over a new connection. What was heard within `trust_for` is trusted,
/// so a busy connection pays nothing.
pub(crate) async fn probe(status: &Status, bounds: &Silence) -> Result<(), Ended> {
    let since = Instant::now();
    if since.duration_since(status.traffic.heard()) < bounds.trust_for {
        return Ok(());
    }
    let mut probing = Probing { status, bounds, since, answered: false };
    let answered = status.answered.notified();
    status.probe.notify_one();
    probing.answered = tokio::time::timeout(bounds.suspect_after, answered).await.is_ok();
    if probing.answered { Ok(()) } else { Err(Ended) }
}

/// Retires the connection if the answer did not come, also when the request gives up before the bound.
struct Probing<'a> {
    status: &'a Status,
    bounds: &'a Silence,
    since: Instant,
    answered: bool,
}

impl Drop for Probing<'_> {
    fn drop(&mut self) {
        let waited = self.since.elapsed() >= self.bounds.ping_after.min(self.bounds.suspect_after);
        if waited && !self.answered {
            self.status.retire();
        }
    }
}
