//! What a host keeps for one backend server.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_admission::report::StatedLoad;
use jacinthbeam_connection::Dialer;
use jacinthbeam_dispatch::{
    ServerStats, choose::by_load::Included, pause::KnownPause, rate_limit::KnownLimit,
    retry::Streak, slow_start::Pacer,
};

use super::broken::Broken;
use crate::connection::Pool;

/// State of one incarnation of a backend server, on the traffic thread.
#[derive(Debug)]
pub struct ServerState {
    /// Connections to it.
    pub pool: Pool,
    /// Statistics that the choice of a server is based on.
    pub stats: RefCell<ServerStats>,
    /// Whether another server has answered at its address, which means that this one has ended.
    pub ended: Cell<bool>,
    /// Requests whose connections to it ended without a response.
    pub broken: Broken,
    /// Limits the rate of requests from this host while the server is cold.
    pub pacer: Cell<Pacer>,
    /// The rate limit that the server states.
    pub rate_limit: Cell<KnownLimit>,
    /// How long the server wants no request from this host.
    pub pause: Cell<KnownPause>,
    /// What the server stated last about its load, and when; `None` if it states nothing.
    pub stated_load: Cell<Option<(Instant, StatedLoad)>>,
    /// Its latest rejections in a row.
    pub rejections: Cell<Streak>,
    /// Requests of this host that are included in the collector's figure of the server's load.
    pub included: Cell<Option<Included>>,
    /// When the server first stated that it is draining.
    pub draining_since: Cell<Option<Instant>>,
    /// Whether an invalid header of the server was logged.
    pub invalid_logged: Cell<bool>,
}

impl ServerState {
    /// State of a server that becomes known at `now`; connections to it are opened by `dialer`.
    pub fn new(addr: SocketAddr, dialer: Dialer, now: Instant) -> Self {
        Self {
            pool: Pool::new(addr, dialer),
            stats: RefCell::new(ServerStats::new(now)),
            ended: Cell::default(),
            broken: Broken::default(),
            pacer: Cell::default(),
            rate_limit: Cell::default(),
            pause: Cell::default(),
            stated_load: Cell::default(),
            rejections: Cell::default(),
            included: Cell::default(),
            draining_since: Cell::default(),
            invalid_logged: Cell::default(),
        }
    }

    /// Whether the server stated so long ago that it is draining that it may have exited, given the grace period of draining servers.
    pub fn has_drained(&self, now: Instant, grace: Duration) -> bool {
        self.draining_since.get().is_some_and(|since| now.saturating_duration_since(since) >= grace)
    }
}
