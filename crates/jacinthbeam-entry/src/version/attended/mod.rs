//! A backend server that this host attends, as control and traffic share it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use jacinthbeam_admission::server::{
    Admission, Gate, MIN_RETRY_AFTER, Options, Outcome, Refused, Report,
};
use jacinthbeam_lease::Permit;
use jacinthbeam_native::backend::Pool;
use jacinthbeam_placement::hot::Sketch;
use jacinthbeam_types::prelude::*;
use tokio::sync::oneshot;

use super::meter::{Meter, Reading};

mod admit;

pub use admit::Place;

/// A backend server attended by this host.
///
/// Control sets the permit and reports what the backend server says; traffic asks for places. The lock is held for a
/// few map operations at a time, never across an await.
#[derive(Debug)]
pub struct Attended {
    /// The backend server.
    pub server: ServerId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Its connections for requests.
    pub pool: Pool,
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
    admitted: AtomicU64,
}

#[derive(Debug)]
struct Inner {
    admission: Admission,
    permit: Option<Arc<Permit>>,
    /// Token of the last permit, also if that has ended.
    token: Option<Token>,
    /// Life of the backend server that it was for.
    life: Option<Incarnation>,
    waiting: BTreeMap<RequestId, oneshot::Sender<Result<(), Refusal>>>,
    held: BTreeSet<SlotId>,
    meter: Meter,
    /// Whether another host is about to attend.
    handing_over: bool,
}

/// Counts for the dump.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Snapshot {
    /// Places taken, or possibly taken, at the backend server.
    pub in_use: u32,
    /// Places that may be taken at present.
    pub limit: u32,
    /// Requests waiting.
    pub waiting: usize,
    /// Slots held back for a planned move.
    pub held: Vec<SlotId>,
    /// Token of the permit.
    pub token: Option<Token>,
    /// Slots that may be served.
    pub slots: usize,
    /// Milliseconds until the permit ends.
    pub permit_left_ms: Option<u64>,
    /// Requests that got a place so far.
    pub admitted: u64,
}

impl Attended {
    /// Starts to attend a server whose requests go over the connections of `pool`.
    pub fn open(
        server: ServerId,
        service: ServiceName,
        pool: Pool,
        options: Options,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let mut admission = Admission::open(clock.now(), options, 0, false);
        admission.set_gate(clock.now(), Gate::Paused);
        let inner = Inner {
            admission,
            permit: None,
            token: None,
            life: None,
            waiting: BTreeMap::new(),
            held: BTreeSet::new(),
            meter: Meter::new(),
            handing_over: false,
        };
        let admitted = AtomicU64::new(0);
        Self { server, service, pool, clock, inner: Mutex::new(inner), admitted }
    }

    /// Replaces the permit after a grant was answered.
    pub fn permit(&self, permit: Permit, report: Report) {
        let mut inner = self.lock();
        // A lease that ended and was renewed has the same token, and what runs under it is not among the older requests that
        // the backend server counts. Taken for a new grant, it would take no places, and too many requests would be sent.
        if inner.token.replace(permit.token) != Some(permit.token) {
            inner.admission.regranted(report.running_older);
        }
        let life = inner.life.replace(permit.incarnation);
        if life.is_some_and(|life| life != permit.incarnation) {
            inner.admission.restarted(self.clock.now());
        }
        // A planned move that was given up: the permit holds its slot again.
        let back: BTreeSet<SlotId> = inner.held.intersection(&permit.slots).copied().collect();
        inner.admission.resume(back.iter().copied());
        inner.held.retain(|slot| !back.contains(slot));
        inner.permit = Some(Arc::new(permit));
        inner.handing_over = false;
        inner.admission.reported(report);
        inner.admission.set_gate(self.clock.now(), Gate::Open);
        self.start_waiting(inner);
    }

    /// Sends no more requests until the next permit, and refuses those that wait.
    pub fn close(&self, reason: Reason) {
        let mut inner = self.lock();
        inner.permit = None;
        inner.handing_over = false;
        let refused = inner.admission.set_gate(self.clock.now(), Gate::Closed(reason));
        inner.refuse(refused);
    }

    /// Admits nothing any more; what was admitted goes on under the present permit.
    pub fn drain(&self) {
        let mut inner = self.lock();
        let refused = inner.admission.set_gate(self.clock.now(), Gate::Closed(Reason::Stopping));
        inner.refuse(refused);
    }

    /// Starts no more requests, for a hand-over to another host: what was admitted goes on, and what waits or comes waits
    /// for it, instead of going back and forth between hosts that are both not ready.
    pub fn pause(&self) {
        let mut inner = self.lock();
        inner.handing_over = true;
        inner.admission.set_gate(self.clock.now(), Gate::Paused);
    }

    /// Starts no more requests of these slots.
    pub fn hold(&self, slots: &BTreeSet<SlotId>) {
        let mut inner = self.lock();
        inner.admission.hold(self.clock.now(), slots.iter().copied());
        inner.held.extend(slots);
    }

    /// The slots were handed over: those that wait for them are refused, to be sent to the next owner.
    pub fn moved(&self, slots: &BTreeSet<SlotId>) {
        let mut inner = self.lock();
        let refused = inner.admission.moved(slots.iter().copied());
        inner.held.retain(|slot| !slots.contains(slot));
        inner.refuse(refused);
    }

    /// Held slots of which no request may still run.
    ///
    /// `parent` names the slot that a split-out key came from. A request of that key which was admitted before the split is counted there,
    /// so its own slot is drained only when the other one is too.
    pub fn drained(&self, parent: impl Fn(SlotId) -> Option<SlotId>) -> BTreeSet<SlotId> {
        let inner = self.lock();
        let is_drained = |slot: SlotId| inner.admission.is_drained(slot);
        let all = |slot: &&SlotId| is_drained(**slot) && parent(**slot).is_none_or(is_drained);
        inner.held.iter().filter(all).copied().collect()
    }

    /// Busy time since the last call.
    pub fn read_meter(&self) -> Reading {
        self.lock().meter.take()
    }

    /// The heaviest keys; see [`Meter::end_window`].
    pub fn heaviest_keys(&self) -> Sketch {
        self.lock().meter.end_window()
    }

    /// Refuses what can't be served in time any more and closes idle connections. To be called every few ten milliseconds.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let refused = inner.admission.expire(now);
        inner.refuse(refused);
        self.start_waiting(inner);
        self.pool.expire();
    }

    /// Whether nothing may run. Something may wait.
    pub fn runs_nothing(&self) -> bool {
        self.lock().admission.in_use() == 0
    }

    /// The permit under which a request of this slot may be written at this moment.
    ///
    /// `next` is the first record that the fold which mapped the key to the slot does not contain. A fold older than the permit may
    /// not know that the key was split out or merged; the request would run at a server that does not own the key.
    pub fn check(&self, slot: Option<SlotId>, next: Offset) -> Result<Arc<Permit>, Refusal> {
        let now = self.clock.now();
        let inner = self.lock();
        let refuse = |reason| Err(Refusal::not_run(reason).retry_after(MIN_RETRY_AFTER));
        match &inner.permit {
            None => refuse(Reason::NoLease),
            Some(permit) if now >= permit.until => refuse(Reason::NoLease),
            Some(permit) if permit.based_on >= next => refuse(Reason::Moving),
            Some(permit) if !permit.allows(now, slot) => refuse(Reason::Moving),
            Some(permit) => Ok(permit.clone()),
        }
    }

    /// Number of slots that may be served at this moment.
    pub fn served(&self, now: Instant) -> usize {
        let inner = self.lock();
        let permit = inner.permit.as_ref().filter(|permit| now < permit.until);
        permit.map_or(0, |permit| permit.slots.len())
    }

    /// Counts for the dump.
    pub fn snapshot(&self) -> Snapshot {
        let now = self.clock.now();
        let inner = self.lock();
        let permit = inner.permit.as_ref();
        let left = permit.map(|permit| permit.until.saturating_duration_since(now));
        Snapshot {
            in_use: inner.admission.in_use(),
            limit: inner.admission.limit(),
            waiting: inner.admission.waiting(),
            held: inner.held.iter().copied().collect(),
            token: permit.map(|permit| permit.token),
            slots: permit.map_or(0, |permit| permit.slots.len()),
            permit_left_ms: left.map(|left| left.as_millis() as u64),
            admitted: self.admitted.load(Ordering::Relaxed),
        }
    }

    fn start_waiting(&self, mut inner: MutexGuard<'_, Inner>) {
        let now = self.clock.now();
        loop {
            let mut gone = Vec::new();
            for ticket in inner.admission.next(now) {
                let told = inner.waiting.remove(&ticket.id).map(|tx| tx.send(Ok(())));
                if !matches!(told, Some(Ok(()))) {
                    gone.push(ticket.id);
                }
            }
            if gone.is_empty() {
                return;
            }
            // Their callers went away between the queue and here; nothing was sent for them.
            for id in gone {
                inner.admission.finished(now, id, Outcome::NotSent);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

impl Inner {
    fn refuse(&mut self, refused: impl IntoIterator<Item = Refused>) {
        for Refused { ticket, refusal } in refused {
            if let Some(tx) = self.waiting.remove(&ticket.id) {
                // A caller that is gone needs no answer.
                let _ = tx.send(Err(refusal));
            }
        }
    }
}
