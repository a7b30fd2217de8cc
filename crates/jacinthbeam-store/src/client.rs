//! Calls over kept connections.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use jacinthbeam_connection::{Line, line::Error as LineError};
use jacinthbeam_types::prelude::*;

use crate::{
    call::{Call, Error, Reply, Wire},
    pace::Pace,
};

/// Longest answer that is read. Pages and batches are bounded to a megabyte by the store.
const MAX_ANSWER: usize = 4 << 20;

/// Time for an answer besides the wait that the call asks for. The store answers in milliseconds, a slow one in some hundred.
/// An answer that is lost holds up its lane for this long, and a change that was missed has two seconds to act.
const ANSWER_WITHIN: Duration = Duration::from_millis(800);

/// Is told of each call that has ended, and of its failure.
#[derive(Clone)]
pub struct Observer(Arc<OnEnd>);

type OnEnd = dyn Fn(&Call, Option<&Error>) + Send + Sync;

impl Observer {
    /// Calls `on_end` with each call.
    pub fn new(on_end: impl Fn(&Call, Option<&Error>) + Send + Sync + 'static) -> Self {
        Self(Arc::new(on_end))
    }
}

impl fmt::Debug for Observer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Observer")
    }
}

/// The store, for one process.
#[derive(Debug, Clone)]
pub struct Client {
    addr: SocketAddr,
    wire: Wire,
    clock: Arc<dyn Clock>,
    pace: Arc<Mutex<Pace>>,
    observer: Option<Observer>,
}

/// A connection of its own to the store, so that a call that waits holds up no other.
#[derive(Debug)]
pub struct Lane {
    client: Client,
    line: Line,
}

impl Client {
    /// A client that is not connected yet.
    pub fn open(addr: SocketAddr, wire: Wire, clock: Arc<dyn Clock>) -> Self {
        Self { addr, wire, clock, pace: Arc::new(Mutex::new(Pace::new())), observer: None }
    }

    /// The same client, whose calls are told of.
    #[must_use]
    pub fn observed(self, observer: Observer) -> Self {
        Self { observer: Some(observer), ..self }
    }

    /// A lane for one kind of calls. Calls on one lane wait for each other.
    pub fn lane(&self) -> Lane {
        Lane { client: self.clone(), line: Line::new(self.addr, MAX_ANSWER) }
    }
}

impl Lane {
    /// Makes a call.
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

    async fn exchange(&self, call: &Call) -> Result<Reply, Error> {
        let pause = {
            let mut pace = self.client.pace.lock().expect("no holder of the lock panics");
            pace.take(self.client.clock.now())
        };
        tokio::time::sleep(pause).await;
        let wait = match call {
            Call::Read { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        let req = (self.client.wire.encode)(call);
        let res = self.line.exchange(req, wait + ANSWER_WITHIN).await.map_err(|err| match err {
            LineError::NotSent(why) => Error::NotSent(why),
            LineError::Lost(why) => Error::Lost(why),
        })?;
        (self.client.wire.decode)(call, res.status(), res.body())
    }
}
