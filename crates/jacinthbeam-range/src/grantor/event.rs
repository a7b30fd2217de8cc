//! Inputs of a [`Grantor`](super::Grantor).

use std::time::{Duration, Instant};

use jacinthbeam_types::prelude::*;

use super::owner_state::Outcome;
use crate::{
    demand::LoadReport,
    key::KeyRange,
    map::{Leader, Map},
};

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// The store's consumer group assigned the duty to grant to this host, or revoked it. Advisory
    /// only: two hosts may have it at the same time.
    Duty(bool),
    /// The newest record was read from the store.
    Read {
        /// When the read was sent. At some moment after that there was nothing newer.
        sent_at: Instant,
        /// The record; `None` if there is none.
        map: Option<Map>,
        /// The era that the store stated in its answer.
        era: Era,
    },
    /// This host has become partitioned from all backend servers.
    Partitioned,
    /// The record of the last [`Action::Record`](super::Action::Record) was committed.
    Recorded {
        /// When the append was sent. At some moment after that nobody had replaced this host.
        sent_at: Instant,
    },
    /// That record was rejected, or its result is unknown. The newest record is read next.
    NotRecorded,
    /// A round of grants to one server has ended.
    Granted {
        /// The server.
        server: ServerId,
        /// How the round ended.
        outcome: Outcome,
        /// End of the last call that may have taken effect.
        last_call: Option<Instant>,
        /// Grants that the server confirmed.
        confirmed: Vec<(KeyRange, Token)>,
        /// Ranges that the server refused because it has seen a higher token for one of their keys.
        refused: Vec<KeyRange>,
    },
    /// A release has ended.
    Released {
        /// The released keys.
        range: KeyRange,
        /// Token of the release.
        token: Token,
        /// What the old owner hands over to the next one, if anything; `Err` if it gave no answer.
        handover: Result<Option<String>, NoAnswer>,
    },
    /// A host reported its load.
    Load {
        /// The reporting host.
        from: HostId,
        /// Its counts since its previous report.
        report: LoadReport,
    },
    /// A peer has this map. It may be older than the one known here.
    PeerMap(Map),
    /// A host that led sends no more grants of that epoch.
    PeerStopped {
        /// The host's process.
        leader: Leader,
        /// The epoch in which it led. It may have led again since.
        epoch: Epoch,
        /// For how long its own predecessors may still renew.
        others_left: Duration,
    },
    /// Periodic tick.
    Tick,
    /// This process has begun to shut down.
    ShutdownStarted,
    /// This process exits now.
    Exit,
}

/// A call got no trustworthy answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoAnswer;
