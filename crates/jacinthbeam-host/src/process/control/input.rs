//! The inputs of the control thread: everything that changes its state.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Instant};

use jacinthbeam_crash::Fact;
use jacinthbeam_range::{Event, Map};
use jacinthbeam_store::{Error, keyed::Changes};
use jacinthbeam_types::prelude::*;
use tokio::sync::{mpsc::UnboundedSender, oneshot};

use super::update_client::UpdateScope;
use crate::process::{
    credits,
    inbox::{InputKind, Waiting},
    peers::{
        load::Message,
        update::{StateUpdate, UpdateRequest},
    },
    permits,
};

/// Sends inputs to the control thread.
#[derive(Debug, Clone)]
pub(super) struct Tx {
    pub(super) clock: Arc<dyn Clock>,
    pub(super) to: UnboundedSender<Waiting<Input>>,
}

/// The control thread has ended, or is about to.
#[derive(Debug)]
pub(super) struct Ended;

impl Tx {
    /// Sends an input and notes the time, from which its wait counts.
    pub(super) fn send(&self, input: Input) -> Result<(), Ended> {
        self.to.send(Waiting { input, since: self.clock.now() }).map_err(|_| Ended)
    }
}

impl Input {
    /// The kind, which decides the order in which inputs are handled.
    pub(super) fn kind(&self) -> InputKind {
        match self {
            Self::Operator(..)
            | Self::Servers(..)
            | Self::PeerUpdate { .. }
            | Self::BuildRequest { .. }
            | Self::PeerRequest { .. } => InputKind::StoreState,
            Self::Tick => InputKind::Tick,
            Self::Datagram(_, Message::Load { .. } | Message::HostReport { .. }) => {
                InputKind::Report
            }
            Self::Hosts(_)
            | Self::Relays(_)
            | Self::Maps { .. }
            | Self::Duties(_)
            | Self::MapWritten { .. }
            | Self::Granted { .. }
            | Self::Datagram(..)
            | Self::Crash(_)
            | Self::RateLimit(_)
            | Self::Credit(_)
            | Self::Restored
            | Self::Dump(_)
            | Self::Stop => InputKind::Other,
        }
    }
}

/// One input of the control thread.
#[derive(Debug)]
pub(super) enum Input {
    /// Newer records of the operator, complete as of this time.
    Operator(Instant, Changes),
    /// Newer entries of backend servers, and when the read was sent.
    Servers(Instant, Changes),
    /// Newer entries of hosts.
    Hosts(Changes),
    /// The relays, once this host has registered.
    Relays(Changes),
    /// Newer ownership maps of a partition.
    Maps {
        /// Number of the partition.
        partition: u32,
        /// When the read was sent.
        sent_at: Instant,
        /// The records.
        changes: Changes,
    },
    /// An update from another host.
    PeerUpdate {
        /// Address of that host.
        of: SocketAddr,
        /// What was requested.
        scope: UpdateScope,
        /// Lower bound on when that host answered.
        answered: Instant,
        /// The update.
        update: Box<StateUpdate>,
    },
    /// A task is about to request an update from another host.
    BuildRequest {
        /// Address of that host.
        of: SocketAddr,
        /// What to request.
        scope: UpdateScope,
        /// Receives the request to send.
        reply: oneshot::Sender<UpdateRequest>,
    },
    /// Another host requests an update.
    PeerRequest {
        /// The request.
        request: UpdateRequest,
        /// Receives the update, which may be empty.
        reply: oneshot::Sender<StateUpdate>,
    },
    /// The duties that are assigned to this host.
    Duties(BTreeSet<u32>),
    /// An append of an ownership map has ended.
    MapWritten {
        /// Its service.
        service: ServiceName,
        /// The map, as appended.
        map: Map,
        /// When the append was sent.
        sent_at: Instant,
        /// The end of the partition that the append was conditional on.
        at: Offset,
        /// The new end of the partition.
        result: Result<Offset, Error>,
    },
    /// A round of grants or a release has ended.
    Granted {
        /// Its service.
        service: ServiceName,
        /// The result.
        event: Event,
    },
    /// A datagram from another host, and its address.
    Datagram(SocketAddr, Message),
    /// A server crashed under a request, or a request was cleared.
    Crash(Fact),
    /// The traffic thread needs a permit, or has received a withdrawal of a limit.
    RateLimit(permits::Query),
    /// The traffic thread sends a message about a retry budget to another host.
    Credit(credits::Outgoing),
    /// The store was restored from an older copy.
    Restored,
    /// Time has passed.
    Tick,
    /// An operator requests the state as text.
    Dump(oneshot::Sender<String>),
    /// The process has begun to stop.
    Stop,
}
