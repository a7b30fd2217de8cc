//! What a grantor is told.

use std::time::{Duration, Instant};

use jacinthbeam_types::prelude::*;

use super::owner_state::Outcome;
use crate::{
    demand::LoadReport,
    key::KeyRange,
    map::{Leader, Map},
};

/// What has happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// The store's group gave this host the duty to grant, or took it away. Advice only: it may name two hosts at a time.
    Duty(bool),
    /// The newest record as read from the store.
    Read {
        /// When the read was sent. Nothing newer was there at some moment after that.
        sent_at: Instant,
        /// The record; `None` if there is none.
        map: Option<Map>,
    },
    /// The record of the last [`Action::Record`](super::Action::Record) is kept. The append was sent at `asked`.
    Recorded {
        /// Nobody had replaced this host at some moment after that.
        sent_at: Instant,
    },
    /// That record was surely not kept, or it isn't known. The newest one is read next.
    NotRecorded,
    /// A round of grants has ended.
    Granted {
        /// Who was granted.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// End of the last call that may have had an effect.
        last_call: Option<Instant>,
        /// What the server confirmed.
        confirmed: Vec<(KeyRange, Token)>,
        /// What it refused, since it has seen a higher token for one of the keys.
        refused: Vec<KeyRange>,
    },
    /// A release was answered with what to hand over, if anything; `Err` if no answer came.
    Released {
        /// The keys.
        range: KeyRange,
        /// Token of the release.
        token: Token,
        /// What the old owner gave out, or no answer.
        handover: Result<Option<String>, NoAnswer>,
    },
    /// Counts of one host.
    Load {
        /// The host.
        from: HostId,
        /// Its counts since its last report.
        report: LoadReport,
    },
    /// Another host knows this record. It may be older than what is known here.
    PeerMap(Map),
    /// A host that led sends no grant of that epoch any more.
    PeerStopped {
        /// It.
        leader: Leader,
        /// The epoch in which it led. It may have led again since.
        epoch: Epoch,
        /// For how long hosts that led before it may still renew.
        others_left: Duration,
    },
    /// Time has passed.
    Tick,
    /// This process is about to stop.
    ShutdownStarted,
    /// It stops now.
    Exit,
}

/// A call got no answer that could be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoAnswer;
