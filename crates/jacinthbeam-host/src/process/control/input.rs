//! Everything that changes what the control thread knows.

use std::{collections::BTreeSet, time::Instant};

use jacinthbeam_range::{
    KeyRange,
    demand::Report,
    grantor::{NoAnswer, Outcome},
};
use jacinthbeam_store::{Error, keyed::Changes};
use jacinthbeam_types::prelude::*;
use tokio::sync::mpsc::UnboundedSender;

/// Where tasks send what they found.
pub(super) type Tx = UnboundedSender<Input>;

/// One thing that has happened.
#[derive(Debug)]
pub(super) enum Input {
    /// Newer records of the operator.
    Operator(Changes),
    /// Newer entries of backend servers.
    Servers(Changes),
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
    /// The duties that fall to this host.
    Duties(BTreeSet<u32>),
    /// An append of an ownership map has ended.
    Put {
        /// Of this service.
        service: ServiceName,
        /// Bytes of the map, as appended.
        bytes: bytes::Bytes,
        /// When it was sent.
        asked: Instant,
        /// The end of the partition that it was conditional on.
        at: Offset,
        /// The end after it.
        result: Result<Offset, Error>,
    },
    /// A look for newer records has ended.
    Checked {
        /// Number of the partition.
        partition: u32,
        /// When it was sent.
        asked: Instant,
        /// The end up to which everything was known, if there was nothing newer.
        unchanged: Option<Offset>,
    },
    /// A round of grants has ended.
    Granted {
        /// Of this service.
        service: ServiceName,
        /// By this server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// End of the last call that may have had an effect.
        last_call: Option<Instant>,
        /// What the server confirmed.
        confirmed: Vec<(KeyRange, Token)>,
        /// What it refused.
        refused: Vec<KeyRange>,
    },
    /// A release has ended.
    Released {
        /// Of this service.
        service: ServiceName,
        /// The keys.
        range: KeyRange,
        /// Its token.
        token: Token,
        /// What was handed over.
        handover: Result<Option<String>, NoAnswer>,
    },
    /// Counts of one host.
    Load {
        /// Of this service.
        service: ServiceName,
        /// The counts.
        report: Report,
    },
    /// Time has passed.
    Tick,
    /// Somebody asked for the state.
    Dump,
    /// The process is about to stop.
    Stop,
}
