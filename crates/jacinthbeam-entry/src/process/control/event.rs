//! What the control thread is told.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_admission::usage::BatchId;
use jacinthbeam_lease::attendant;
use jacinthbeam_native::{format::hosts::HostList, log::read};
use jacinthbeam_peer::message::{Answer, Heartbeat, Probe, Question, ServerLoad};
use jacinthbeam_placement::PlannedMove;
use jacinthbeam_types::prelude::*;
use tokio::sync::oneshot;

use crate::process::dump::Dump;

/// Where a read of the control stream goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// To the log itself.
    Log,
    /// To another host of the cell.
    Relay {
        /// The host.
        host: HostId,
        /// Where it listens for peers.
        addr: SocketAddr,
    },
}

/// What the control thread is told.
#[derive(Debug)]
pub enum Event {
    /// A read of the control stream ended.
    Read {
        /// Where it went.
        source: Source,
        /// The time that it proves if it reached the end: just before it was sent, less the age that a relay stated.
        started: Instant,
        /// What came of it.
        outcome: Result<read::Batch, read::Error>,
    },
    /// A peer sent its fold.
    Fetched {
        /// First record that it does not contain.
        next: Offset,
        /// The encoded state.
        snapshot: Vec<u8>,
    },
    /// The platform's list was read.
    Listed(HostList),
    /// A peer asks.
    Asked {
        /// The question.
        question: Question,
        /// Where the answer goes.
        reply: oneshot::Sender<Answer>,
    },
    /// A peer answered a heartbeat.
    Heard {
        /// Just before the heartbeat was sent.
        started: Instant,
        /// Its own heartbeat.
        heartbeat: Heartbeat,
    },
    /// This host tried a backend server for a peer.
    Tried {
        /// The peer's question.
        probe: Probe,
        /// Whether the backend server answered.
        reached: bool,
        /// Where the answer goes.
        reply: oneshot::Sender<Answer>,
    },
    /// Something happened that concerns one attendant.
    Attendant {
        /// The backend server that it is for.
        server: ServerId,
        /// What happened.
        event: attendant::Event,
    },
    /// A peer told the loads of the servers that it attends.
    Loads {
        /// Where it takes peers.
        by: SocketAddr,
        /// The loads.
        loads: Vec<ServerLoad>,
    },
    /// The host that attends the gaining server of a planned move answered, or did not.
    Offered {
        /// The service.
        service: ServiceName,
        /// The move.
        planned: PlannedMove,
        /// Whether it may go on.
        agreed: bool,
    },
    /// A host told when the log was last read in a cell that this host watches.
    Sign {
        /// The cell.
        cell: CellId,
        /// Failure domain of the host, if it is another watcher; `None` if it is of the cell.
        watcher: Option<FailureDomain>,
        /// Just before it was asked.
        asked: Instant,
        /// How long before its answer the log was read, or longer.
        ago: Duration,
    },
    /// The last copies of what this host remembers for a server have reached its successor, or were given up.
    Copied {
        /// The backend server.
        server: ServerId,
    },
    /// A witness promised to vouch no more under this epoch.
    Retired {
        /// The witness.
        incarnation: Incarnation,
        /// Epoch of the set.
        epoch: Epoch,
    },
    /// The append of a new set of witnesses ended, one way or the other.
    WitnessesAppended,
    /// The append of the first division of a service ended, one way or the other.
    FoundAppended {
        /// The service.
        service: ServiceName,
    },
    /// The append of a batch of counts ended.
    UsageAppended {
        /// The batch.
        id: BatchId,
        /// Whether it surely stands in the log.
        written: bool,
    },
    /// A read of the usage stream ended.
    UsageRead {
        /// What came of it.
        outcome: Result<read::Batch, read::Error>,
    },
    /// Somebody wants a dump.
    Dump {
        /// Where it goes.
        reply: oneshot::Sender<Dump>,
    },
    /// The process is to stop.
    Stop {
        /// Told when everything has been handed over.
        done: oneshot::Sender<()>,
    },
}
