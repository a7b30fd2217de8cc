//! Client of the store: calls over persistent connections.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use jacinthbeam_connection::{Line, line::Error as LineError};
use jacinthbeam_types::prelude::*;
use tokio::sync::watch;

use crate::{
    call::{Call, Error, Reply, Wire},
    position,
    rate_limit::RateLimiter,
};

/// Maximum size of a response body. The store limits pages and batches to one megabyte.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Timeout of a call, in addition to the wait that a read requests. The store responds within milliseconds,
/// or within some hundred if it is slow. A lost response blocks its lane for this long, and a change that is
/// missed meanwhile must take effect within two seconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// A callback for each completed call, with the error if it failed.
#[derive(Clone)]
pub struct Observer(Arc<OnEnd>);

type OnEnd = dyn Fn(&Call, Option<&Error>) + Send + Sync;

impl Observer {
    /// Creates an observer that runs `on_end` after each call.
    pub fn new(on_end: impl Fn(&Call, Option<&Error>) + Send + Sync + 'static) -> Self {
        Self(Arc::new(on_end))
    }
}

impl fmt::Debug for Observer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Observer")
    }
}

/// Client of the store. The rate limit applies to all clones together.
#[derive(Debug, Clone)]
pub struct Client {
    addr: SocketAddr,
    wire: Wire,
    clock: Arc<dyn Clock>,
    rate_limiter: Arc<Mutex<RateLimiter>>,
    observer: Option<Observer>,
    /// The latest era that an answer of the store stated.
    era: Arc<watch::Sender<Era>>,
}

/// A separate connection to the store, so that a waiting call doesn't delay the calls on other lanes.
#[derive(Debug)]
pub struct Lane {
    client: Client,
    line: Line,
}

impl Client {
    /// Creates a client without connecting.
    pub fn open(addr: SocketAddr, wire: Wire, clock: Arc<dyn Clock>) -> Self {
        Self {
            addr,
            wire,
            clock,
            rate_limiter: Arc::new(Mutex::new(RateLimiter::new())),
            observer: None,
            era: Arc::new(watch::channel(Era(0)).0),
        }
    }

    /// Sets the observer that is notified of each call.
    #[must_use]
    pub fn observed(self, observer: Observer) -> Self {
        Self { observer: Some(observer), ..self }
    }

    /// The latest era that the store has stated; 0 before its first answer.
    pub fn era(&self) -> Era {
        *self.era.borrow()
    }

    fn on_era(&self, era: Era) {
        self.era.send_if_modified(|known| {
            let before = std::mem::replace(known, era.max(*known));
            let is_newer = before < era;
            if is_newer && before > Era(0) {
                tracing::warn!(part = "store", event = "restored", era = %era, before = %before);
            }
            is_newer
        });
    }

    /// Creates a lane. Calls on the same lane are made one after the other.
    pub fn lane(&self) -> Lane {
        Lane { client: self.clone(), line: Line::new(self.addr, MAX_RESPONSE_BYTES) }
    }
}

impl Lane {
    /// The latest era that the store has stated on any lane.
    pub fn era(&self) -> Era {
        self.client.era()
    }

    /// Notified when the store states a later era.
    pub fn subscribe_era(&self) -> watch::Receiver<Era> {
        self.client.era.subscribe()
    }

    /// Makes a call once the rate limit allows it and the earlier calls on this lane are done.
    pub async fn call(&self, call: &Call) -> Result<Reply, Error> {
        let reply = self.exchange(call).await;
        if let Some(Observer(on_end)) = &self.client.observer {
            on_end(call, reply.as_ref().err());
        }
        if let Err(err) = &reply {
            tracing::debug!(part = "store", event = "failed", ?call, error = %err);
        }
        reply
    }

    /// Makes a call that appends, and returns the end of the partition after it.
    pub async fn append(&self, call: &Call) -> Result<Offset, Error> {
        match self.call(call).await? {
            Reply::Kept(end) => Ok(end),
            _ => Err(Error::Malformed("not the answer to an append".into())),
        }
    }

    async fn exchange(&self, call: &Call) -> Result<Reply, Error> {
        let pause = {
            let mut limiter =
                self.client.rate_limiter.lock().expect("no holder of the lock panics");
            limiter.take(self.client.clock.now())
        };
        tokio::time::sleep(pause).await;
        let wait = match call {
            Call::Read { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let local = position::to_store(call, self.client.era())?;
        let req = (self.client.wire.encode)(&local);
        let res =
            self.line.exchange(req, wait + RESPONSE_TIMEOUT).await.map_err(|err| match err {
                LineError::NotSent(why) => Error::NotSent(why),
                LineError::Lost(why) => Error::Lost(why),
            })?;
        let era = (self.client.wire.era)(res.headers());
        self.client.on_era(era);
        if era < self.client.era() {
            return Err(Error::Lost("the answer is from before the store was restored".into()));
        }
        let reply = (self.client.wire.decode)(&local, res.status(), res.body())?;
        position::from_store(call, reply, era)
    }
}
