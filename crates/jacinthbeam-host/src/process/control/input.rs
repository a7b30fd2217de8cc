//! Everything that changes what the control thread knows.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Instant};

use jacinthbeam_crash::Fact;
use jacinthbeam_range::{Event, Map};
use jacinthbeam_store::{Error, keyed::Changes};
use jacinthbeam_types::prelude::*;
use tokio::sync::{mpsc::UnboundedSender, oneshot};

use super::update_client::Topic;
use crate::process::{
    inbox::{InputKind, Waiting},
    peers::{
        load::Message,
        update::{StateUpdate, UpdateRequest},
    },
};

/// Where tasks send what they found.
#[derive(Debug, Clone)]
pub(super) struct Tx {
    pub(super) clock: Arc<dyn Clock>,
    pub(super) to: UnboundedSender<Waiting<Input>>,
}

/// The control thread has ended, or is about to.
#[derive(Debug)]
pub(super) struct Ended;

impl Tx {
    /// Sends an input, which waits from now on.
    pub(super) fn send(&self, input: Input) -> Result<(), Ended> {
        self.to.send(Waiting { input, since: self.clock.now() }).map_err(|_| Ended)
    }
}

impl Input {
    /// What it is to the order in which inputs are taken.
    pub(super) fn kind(&self) -> InputKind {
        match self {
            Self::Operator(..)
            | Self::Servers(..)
            | Self::PeerUpdate { .. }
            | Self::BuildRequest { .. }
            | Self::PeerRequest { .. } => InputKind::StoreState,
            Self::Tick => InputKind::Tick,
            Self::Datagram(Message::Load { .. }) => InputKind::Report,
            Self::Hosts(_)
            | Self::Maps { .. }
            | Self::Duties(_)
            | Self::MapWritten { .. }
            | Self::Granted { .. }
            | Self::Datagram(_)
            | Self::Crash(_)
            | Self::Dump(_)
            | Self::Stop => InputKind::Other,
        }
    }
}

/// One thing that has happened.
#[derive(Debug)]
pub(super) enum Input {
    /// Newer records of the operator: there were no others before this moment.
    Operator(Instant, Changes),
    /// Newer entries of backend servers, by a read that was sent then.
    Servers(Instant, Changes),
    /// Newer entries of hosts.
    Hosts(Changes),
    /// Newer ownership maps in a partition.
    Maps {
        /// Number of the partition.
        partition: u32,
        /// When the read was sent.
        asked: Instant,
        /// The records.
        changes: Changes,
    },
    /// What another host knew.
    PeerUpdate {
        /// Where that host is.
        of: SocketAddr,
        /// What it was asked for.
        topic: Topic,
        /// It knew it then, or later.
        answered: Instant,
        /// What it knew.
        news: Box<StateUpdate>,
    },
    /// A task is about to ask another host.
    BuildRequest {
        /// Where that host is.
        of: SocketAddr,
        /// What it is asked for.
        topic: Topic,
        /// Where the question goes.
        reply: oneshot::Sender<UpdateRequest>,
    },
    /// Another host asks for news.
    PeerRequest {
        /// What it knows.
        asked: UpdateRequest,
        /// Where the news go.
        reply: oneshot::Sender<StateUpdate>,
    },
    /// The duties that fall to this host.
    Duties(BTreeSet<u32>),
    /// An append of an ownership map has ended.
    MapWritten {
        /// Of this service.
        service: ServiceName,
        /// The map, as appended.
        map: Map,
        /// When it was sent.
        asked: Instant,
        /// The end of the partition that it was conditional on.
        at: Offset,
        /// The end after it.
        result: Result<Offset, Error>,
    },
    /// A round of grants or a release has ended.
    Granted {
        /// Of this service.
        service: ServiceName,
        /// How.
        event: Event,
    },
    /// Counts of a host, or gates of one that grants.
    Datagram(Message),
    /// A server has ended under a request, or a request is cleared of that.
    Crash(Fact),
    /// Time has passed.
    Tick,
    /// Somebody asked for the state, as text.
    Dump(oneshot::Sender<String>),
    /// The process is about to stop.
    Stop,
}
