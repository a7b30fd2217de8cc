//! How a request gets a place at the backend server, and what becomes of the place.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

use jacinthbeam_admission::server::{MIN_RETRY_AFTER, Offer, Outcome, Ticket};
use jacinthbeam_types::prelude::*;
use tokio::{runtime::Handle, sync::oneshot};

use super::Attended;

impl Attended {
    /// Waits for a place. Dropping the future gives up.
    pub async fn admit(
        self: &Arc<Self>,
        ticket: Ticket,
        key: Option<KeyHash>,
    ) -> Result<Place, Refusal> {
        let (id, slot, deadline) = (ticket.id, ticket.slot, ticket.deadline);
        let place = || Place::new(self.clone(), id, slot, key);
        let Some(rx) = self.offer(ticket)? else {
            return Ok(place());
        };
        let waiting = Waiting { attended: self, id };
        let left = deadline.saturating_duration_since(self.clock.now());
        let outcome = tokio::time::timeout(left, rx).await;
        match outcome {
            Ok(Ok(Ok(()))) => {
                std::mem::forget(waiting);
                Ok(place())
            }
            Ok(Ok(Err(refusal))) => Err(refusal),
            Ok(Err(_)) => Err(Refusal::not_run(Reason::Stopping)),
            Err(_) => Err(Refusal::not_run(Reason::DeadlinePassed)),
        }
    }

    /// `None` if the ticket was admitted at once.
    fn offer(
        &self,
        ticket: Ticket,
    ) -> Result<Option<oneshot::Receiver<Result<(), Refusal>>>, Refusal> {
        let id = ticket.id;
        let mut inner = self.lock();
        match inner.admission.offer(self.clock.now(), ticket) {
            Offer::Admit => Ok(None),
            // The backend server is not overloaded; the next attendant has room as soon as it is ready.
            Offer::Refuse(refusal)
                if inner.handing_over && refusal.reason == Reason::Overloaded =>
            {
                Err(Refusal::not_run(Reason::Moving).retry_after(MIN_RETRY_AFTER))
            }
            Offer::Refuse(refusal) => Err(refusal),
            Offer::Queue { displaced } => {
                let (tx, rx) = oneshot::channel();
                inner.waiting.insert(id, tx);
                inner.refuse(displaced);
                Ok(Some(rx))
            }
        }
    }

    fn finished(&self, place: &Place, outcome: Outcome) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let busy = now.saturating_duration_since(place.since);
        inner.meter.count(place.slot, place.key, busy);
        inner.admission.finished(now, place.id, outcome);
        self.start_waiting(inner);
    }

    /// A request that was lost has surely ended at the backend server.
    fn closed(&self, id: RequestId) {
        let mut inner = self.lock();
        inner.admission.finished(self.clock.now(), id, Outcome::Closed);
        self.start_waiting(inner);
    }
}

/// A ticket in the queue; leaves it when the caller gives up.
struct Waiting<'a> {
    attended: &'a Attended,
    id: RequestId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut inner = self.attended.lock();
        inner.waiting.remove(&self.id);
        inner.admission.cancel(self.id);
        // It may have been admitted in the moment in which its caller gave up; nothing was sent for it.
        inner.admission.finished(self.attended.clock.now(), self.id, Outcome::NotSent);
        self.attended.start_waiting(inner);
    }
}

/// A place at the backend server. Dropped without [`Place::finish`], the request counts as lost.
#[derive(Debug)]
pub struct Place {
    attended: Arc<Attended>,
    id: RequestId,
    slot: Option<SlotId>,
    key: Option<KeyHash>,
    since: Instant,
    ended: bool,
    closed: Option<oneshot::Receiver<()>>,
}

impl Place {
    fn new(
        attended: Arc<Attended>,
        id: RequestId,
        slot: Option<SlotId>,
        key: Option<KeyHash>,
    ) -> Self {
        attended.admitted.fetch_add(1, Ordering::Relaxed);
        let since = attended.clock.now();
        Self { attended, id, slot, key, since, ended: false, closed: None }
    }

    /// To be told when the backend server has closed its end of the connection of the request, once it was given up.
    pub fn watch(&mut self) -> oneshot::Sender<()> {
        let (closed, is_closed) = oneshot::channel();
        self.closed = Some(is_closed);
        closed
    }

    /// Reports how the request ended.
    pub fn finish(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        self.ended = true;
        self.attended.finished(self, outcome);
        let closed = self.closed.take().filter(|_| outcome == Outcome::Lost);
        // A runtime that is being shut down has no more use for places.
        let (Some(closed), Ok(runtime)) = (closed, Handle::try_current()) else { return };
        let (attended, id) = (self.attended.clone(), self.id);
        runtime.spawn(async move {
            if closed.await.is_ok() {
                attended.closed(id);
            }
        });
    }
}

impl Drop for Place {
    /// The caller went away or a task was cancelled: the connection is being closed, but the backend server may not know yet.
    fn drop(&mut self) {
        if !self.ended {
            self.end(Outcome::Lost);
        }
    }
}
