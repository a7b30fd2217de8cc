//! Detects that this host is partitioned from all backend servers.

use std::{
    cell::RefCell,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use jacinthbeam_dispatch::reachability::{PROBED_SERVERS, Probed, Reachability};
use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;
use tokio::{
    sync::{Mutex, Notify, watch},
    task::JoinSet,
    time::timeout,
};

use super::traffic::Traffic;
use crate::connection::{
    carried::AttemptDigest,
    pool::{self, PooledConnection},
};

/// Interval between two checks whether probes are due, in addition to those after a failed attempt to connect.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time until it is known whether another server than the one that refuses connections can be reached. Longer than a
/// round of probes and the interval between two rounds.
const WITNESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether backend servers can be reached, as observed by the traffic thread.
#[derive(Debug)]
pub struct PartitionMonitor {
    reachability: RefCell<Reachability>,
    /// Notified when an attempt to connect has failed.
    failed: Notify,
    is_partitioned: watch::Sender<bool>,
    /// Held while other servers are probed to tell a crashed server from a partition.
    witness: Mutex<()>,
}

impl PartitionMonitor {
    /// A monitor that publishes whether this host is partitioned.
    pub fn new(is_partitioned: watch::Sender<bool>) -> Self {
        Self {
            reachability: RefCell::default(),
            failed: Notify::new(),
            is_partitioned,
            witness: Mutex::default(),
        }
    }
}

impl Traffic {
    /// Returns an idle connection of the server's pool that has not carried the attempt, or opens one and records whether the server can
    /// be reached.
    pub async fn acquire(
        &self,
        server: &Server,
        max_connections: u32,
        attempt: AttemptDigest,
    ) -> Result<PooledConnection, pool::Error> {
        let pool = &self.server(server).pool;
        let acquired = pool.acquire(self.now(), max_connections, attempt).await;
        self.on_connect(&server.id, &acquired);
        acquired
    }

    /// Opens a connection to a server and records whether the server can be reached.
    pub async fn connect(
        &self,
        server: &Server,
        max_connections: u32,
    ) -> Result<PooledConnection, pool::Error> {
        let connected = self.server(server).pool.connect(max_connections).await;
        self.on_connect(&server.id, &connected);
        connected
    }

    fn on_connect(&self, server: &ServerId, result: &Result<PooledConnection, pool::Error>) {
        let mut reachability = self.partition.reachability.borrow_mut();
        match result {
            Ok(conn) if !conn.reused => reachability.on_connected(server, self.now()),
            Err(err) if is_unreachable(err) => {
                reachability.on_unreachable(server, self.now());
                self.partition.failed.notify_one();
            }
            Ok(_) | Err(_) => {}
        }
    }

    /// Whether this host is partitioned from all backend servers.
    pub fn is_partitioned(&self) -> bool {
        self.partition.reachability.borrow().is_partitioned()
    }

    /// Whether this host may be partitioned from all backend servers.
    pub fn may_be_partitioned(&self) -> bool {
        self.partition.reachability.borrow().is_suspected(self.now())
    }

    /// Checks that this host reaches other servers than `server`, so that a refused connection shows the state of the server and
    /// not of the network. Connects to another server unless one has accepted a connection since `since`.
    pub async fn reaches_other_servers(&self, server: &ServerId, since: Instant) -> bool {
        let has_reached = || self.partition.reachability.borrow().has_reached_other(server, since);
        if has_reached() {
            return true;
        }
        // The requests in flight at a crashed server fail together, and one probe answers for all.
        let _witness = self.partition.witness.lock().await;
        if has_reached() {
            return true;
        }
        let others = self.draw_servers(|other| other != server);
        let wait = timeout(WITNESS_TIMEOUT, self.probe(others));
        wait.await.is_ok_and(|probed| probed.reached > 0) || has_reached()
    }

    /// Draws servers to probe.
    fn draw_servers(&self, filter: impl Fn(&ServerId) -> bool) -> Vec<Server> {
        let view = self.view();
        let is_usable = |server: &&Server| {
            filter(&server.id) && !server.draining && !view.leaving.contains_key(&server.id)
        };
        fastrand::choose_multiple(view.servers.iter().filter(is_usable), PROBED_SERVERS)
            .into_iter()
            .cloned()
            .collect()
    }

    /// Connects to servers simultaneously. The connections are kept in their pools.
    ///
    /// The limit of connections does not apply: a pool that is full says nothing about the network.
    async fn probe(&self, servers: Vec<Server>) -> Probed {
        let mut probes = JoinSet::new();
        for server in &servers {
            let state = self.server(server);
            let id = server.id.clone();
            probes.spawn_local(async move {
                let connected = state.pool.connect(u32::MAX).await;
                (id, state, connected)
            });
        }
        let mut probed = Probed { servers: servers.len(), reached: 0 };
        while let Some(joined) = probes.join_next().await {
            let Ok((id, state, connected)) = joined else { continue };
            self.on_connect(&id, &connected);
            if let Ok(conn) = connected {
                probed.reached += 1;
                state.pool.return_unused(conn, self.now());
            }
        }
        probed
    }
}

/// Probes servers while this host may be partitioned. Runs forever.
pub(super) async fn run(traffic: Rc<Traffic>) {
    loop {
        // The timeout only means that it is time for another check.
        let _ = timeout(CHECK_INTERVAL, traffic.partition.failed.notified()).await;
        if !traffic.partition.reachability.borrow_mut().begin_round(traffic.now()) {
            continue;
        }
        let probed = traffic.probe(traffic.draw_servers(|_| true)).await;
        let changed = traffic.partition.reachability.borrow_mut().on_probed(probed, traffic.now());
        if changed {
            publish(&traffic, probed);
        }
    }
}

fn publish(traffic: &Traffic, probed: Probed) {
    let is_partitioned = traffic.is_partitioned();
    let Probed { servers, reached } = probed;
    tracing::warn!(part = "partition", event = "changed", is_partitioned, probed = %servers, reached = %reached);
    traffic.counters.partitioned.record(u64::from(is_partitioned), &[]);
    traffic.partition.is_partitioned.send_replace(is_partitioned);
}

/// Whether the error is one of the network path or of the server, and not of this process.
fn is_unreachable(err: &pool::Error) -> bool {
    match err {
        pool::Error::Full => false,
        pool::Error::Silent => true,
        pool::Error::Connect(err) => matches!(
            err.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::TimedOut
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
        ),
    }
}
