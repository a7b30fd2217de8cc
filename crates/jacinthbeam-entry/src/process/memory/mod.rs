//! Memory of requests with an idempotency key, shared by traffic threads.
//!
//! The attendant of a slot's owner keeps it, its successor holds a copy. A new attendant gathers it from the hosts of
//! the cell before it takes a request with a key. `docs/REQUESTS.md` argues why no key ever runs twice.

mod attempt;
mod claims;
mod copying;
mod gathering;
mod held;
pub mod judge;
mod keeper;
mod session;
mod wire;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use jacinthbeam_admission::duplicate::{Begin, Memory, Options, Scope};
use jacinthbeam_peer::Client;
use jacinthbeam_types::prelude::*;
use tokio::{
    runtime,
    sync::{Notify, Semaphore, watch},
};

pub use attempt::Attempt;
pub use judge::Source;
pub use session::{Wanted, WantedSlot};

use claims::Claims;
use session::{Phase, Session};

/// Longest wait of a request for memory that is being gathered or copied.
pub const PATIENCE: Duration = Duration::from_secs(1);
/// Hint for a request that found no memory.
const RETRY: Duration = Duration::from_millis(100);
/// Copies of ended attempts that are on their way at once; further ones are left out, which the successor takes as requests that may have run.
const UPDATES: usize = 512;

/// The memory of this process.
#[derive(Debug, Clone)]
pub struct Shared {
    inner: Arc<Mutex<Inner>>,
    /// Told whenever a slot may have become ready.
    changes: Arc<watch::Sender<()>>,
    updates: Arc<Semaphore>,
    me: Incarnation,
    peers: Client,
    runtime: runtime::Handle,
    clock: Arc<dyn Clock>,
}

#[derive(Debug)]
struct Inner {
    memory: Memory,
    claims: Claims,
    sessions: BTreeMap<ServerId, Session>,
    /// Tokens of this host under which requests with an idempotency key may have been sent.
    used: BTreeSet<(ServerId, Token)>,
    /// Attempts of each server that have not ended, or whose end is being copied.
    open: BTreeMap<ServerId, usize>,
    last_look: Instant,
}

/// Where a request with an idempotency key is to run, and under which token its memory is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The backend server.
    pub server: ServerId,
    /// Slot of the key.
    pub slot: SlotId,
    /// Token of the attendant's grant. The request must be sent under this one only.
    pub token: Token,
}

impl Shared {
    /// An empty memory. Has to be called in the runtime that carries traffic.
    pub fn new(options: Options, me: Incarnation, peers: Client, clock: Arc<dyn Clock>) -> Self {
        let inner = Inner {
            memory: Memory::new(options),
            claims: Claims::default(),
            sessions: BTreeMap::new(),
            used: BTreeSet::new(),
            open: BTreeMap::new(),
            last_look: clock.now(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            changes: Arc::new(watch::Sender::new(())),
            updates: Arc::new(Semaphore::new(UPDATES)),
            me,
            peers,
            runtime: runtime::Handle::current(),
            clock,
        }
    }

    /// Notes what is to be kept for a backend server, and starts to gather what is new.
    pub fn keep(&self, server: &ServerId, wanted: Wanted) {
        let mut inner = self.lock();
        let Inner { claims, sessions, memory, .. } = &mut *inner;
        let known = sessions.get(server);
        if known.is_some_and(|known| known.wanted == wanted) {
            return;
        }
        let is_resplit =
            known.map_or(!wanted.split.is_empty(), |known| known.wanted.split != wanted.split);
        if known.is_none_or(|known| known.wanted.token != wanted.token) {
            let work = match known {
                Some(known) => known.work.clone(),
                None => self.spawn_keeper(server),
            };
            sessions.insert(server.clone(), Session::new(wanted.clone(), work));
        }
        let Some(session) = sessions.get_mut(server) else { return };
        session.sync(server, wanted, claims);
        if is_resplit {
            let wanted = &session.wanted;
            memory.relabel(|scope, slot| match wanted.is_own(scope, slot) {
                true => wanted.slot_of(scope.key),
                false => slot,
            });
        }
        session.work.notify_one();
    }

    /// The backend server is gone.
    pub fn forget(&self, server: &ServerId) {
        if let Some(session) = self.lock().sessions.remove(server) {
            session.work.notify_one();
        }
    }

    /// Has to be called every few ten milliseconds. A host that was paused for `alive_within` holds nothing for others any more: an attendant
    /// that could not reach it has chosen another successor, and its own mark would vouch for too little.
    pub fn look_at_clock(&self, alive_within: Duration) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let gap = now.saturating_duration_since(inner.last_look);
        inner.last_look = now;
        inner.memory.forget(now);
        if gap >= alive_within {
            log::warn!("memory: was paused for {gap:?}, holds no copies for other hosts any more");
            inner.claims.drop_held();
        }
    }

    /// Waits until requests with an idempotency key may be taken for the slot.
    pub async fn until_ready(
        &self,
        server: &ServerId,
        slot: SlotId,
        until: Instant,
    ) -> Result<Place, Refusal> {
        let mut changes = self.changes.subscribe();
        loop {
            if let Some(token) = self.lock().ready(server, slot) {
                return Ok(Place { server: server.clone(), slot, token });
            }
            self.wait(&mut changes, until).await?;
        }
    }

    /// Decides on a request; see [`Memory::begin`].
    pub fn begin(&self, place: &Place, scope: &Scope, fingerprint: u64) -> Begin {
        let now = self.clock.now();
        let mut inner = self.lock();
        // A keeper that was overtaken must begin nothing: what it begins from here on, the next one has not heard of.
        if inner.ready(&place.server, place.slot) != Some(place.token) {
            return Begin::Refuse(no_copy());
        }
        inner.memory.begin(now, scope, Some(place.slot), fingerprint)
    }

    /// The attempt that [`Shared::begin`] started.
    pub fn attempt(&self, place: Place, scope: Scope, number: u32) -> Attempt {
        let open = self.open(&place.server);
        Attempt { shared: self.clone(), place, scope, number, ended: false, _open: open }
    }

    /// Whether the end of every attempt at the server is with the successor, or was given up.
    pub fn is_idle(&self, server: &ServerId) -> bool {
        !self.lock().open.contains_key(server)
    }

    /// Waits until it is so.
    pub async fn until_idle(&self, server: &ServerId) {
        let mut changes = self.changes.subscribe();
        while !self.is_idle(server) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn open(&self, server: &ServerId) -> Open {
        *self.lock().open.entry(server.clone()).or_default() += 1;
        Open { shared: self.clone(), server: server.clone() }
    }

    /// Whether this host is the last keeper of the slot as far as it knows.
    pub fn is_keeper(&self, place: &Place) -> bool {
        let inner = self.lock();
        let session = inner.sessions.get(&place.server);
        let session = session.filter(|session| session.wanted.token == place.token);
        session.is_some_and(|session| {
            let own = session.slots.get(&place.slot);
            own.is_some_and(|own| {
                inner.claims.is_covered(&session.wanted.slot(place.slot), &own.claim)
            })
        })
    }

    /// Number of entries and bytes, for the dump.
    pub fn size(&self) -> (usize, Bytes) {
        let inner = self.lock();
        (inner.memory.len(), inner.memory.bytes())
    }

    /// Slots of a backend server whose memory is gathered and copied, for the dump.
    pub fn ready_slots(&self, server: &ServerId) -> usize {
        let inner = self.lock();
        let Some(session) = inner.sessions.get(server) else { return 0 };
        session.slots.keys().filter(|slot| inner.ready(server, **slot).is_some()).count()
    }

    fn spawn_keeper(&self, server: &ServerId) -> Arc<Notify> {
        let work = Arc::new(Notify::new());
        let keeper = keeper::Keeper { shared: self.clone(), server: server.clone() };
        self.runtime.spawn(keeper.run(work.clone()));
        work
    }

    /// Waits for a change until a time.
    async fn wait(&self, changes: &mut watch::Receiver<()>, until: Instant) -> Result<(), Refusal> {
        let left = until.saturating_duration_since(self.clock.now());
        match tokio::time::timeout(left, changes.changed()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(no_copy()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

/// Counts in [`Inner::open`] for as long as it lives.
#[derive(Debug)]
struct Open {
    shared: Shared,
    server: ServerId,
}

impl Drop for Open {
    fn drop(&mut self) {
        let mut inner = self.shared.lock();
        if let Some(open) = inner.open.get_mut(&self.server) {
            *open -= 1;
            if *open == 0 {
                inner.open.remove(&self.server);
                drop(inner);
                self.shared.changes.send_replace(());
            }
        }
    }
}

impl Inner {
    /// The token under which requests of the slot may be begun now.
    fn ready(&self, server: &ServerId, slot: SlotId) -> Option<Token> {
        let session = self.sessions.get(server)?;
        let own = session.slots.get(&slot).filter(|own| own.phase == Phase::Ready)?;
        let is_last = self.claims.is_covered(&session.wanted.slot(slot), &own.claim);
        is_last.then_some(session.wanted.token)
    }
}

fn no_copy() -> Refusal {
    Refusal::not_run(Reason::NoCopy).retry_after(RETRY)
}
