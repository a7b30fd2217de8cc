//! Memory of open requests.
//!
//! Caller, router and stand-in are one process, so an open request over the router counts with its caller and its
//! stand-in; what a direct one takes is told too, and the difference is the router's. Nothing is closed between two readings: freed
//! memory that is used again would hide what a request takes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::Serialize;
use tokio::task::JoinSet;

use super::path::{Path, Route};
use crate::{Deployment, client::Connection, deployment, process, statistic::slope};

/// Longest wait until all requests have reached their backend server.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time in which buffers settle before memory is read.
const SETTLE: Duration = Duration::from_millis(500);

/// Memory of open requests over one path.
#[derive(Debug, Clone, Serialize)]
pub struct Memory {
    /// Bytes of the whole process for each open request.
    pub bytes_a_request: f64,
    /// Open requests and resident bytes more than before the first.
    pub points: Vec<(usize, u64)>,
}

/// Opens requests over one path after the other, and keeps them all open.
pub(super) async fn run(
    deployment: &Deployment,
    paths: &BTreeMap<Path, Route>,
    sizes: &[usize],
) -> Result<BTreeMap<Path, Memory>, deployment::Error> {
    let mut open = JoinSet::new();
    let mut measured = BTreeMap::new();
    for route in paths.values() {
        deployment.servers[&route.server].handle.set_hold(true);
    }
    for (path, route) in paths {
        let before = process::resident().0;
        let mut points = Vec::new();
        let mut at = 0;
        for size in sizes {
            for sequence in at..*size {
                open.spawn(hold(route.clone(), sequence as u64));
            }
            at = at.max(*size);
            until_running(deployment, route, at).await?;
            points.push((at, process::resident().0.saturating_sub(before)));
        }
        let line: Vec<_> =
            points.iter().map(|(open, bytes)| (*open as f64, *bytes as f64)).collect();
        measured.insert(*path, Memory { bytes_a_request: slope(&line), points });
    }
    open.shutdown().await;
    for route in paths.values() {
        deployment.servers[&route.server].handle.set_hold(false);
    }
    Ok(measured)
}

async fn hold(route: Route, sequence: u64) {
    if let Ok(mut connection) = Connection::open(route.addr).await {
        connection.send(route.request(sequence)).await;
    }
}

async fn until_running(
    deployment: &Deployment,
    route: &Route,
    wanted: usize,
) -> Result<(), deployment::Error> {
    let handle = &deployment.servers[&route.server].handle;
    let deadline = Instant::now() + PATIENCE;
    loop {
        let running = handle.grant_state().running as usize;
        if running >= wanted {
            tokio::time::sleep(SETTLE).await;
            return Ok(());
        }
        if Instant::now() > deadline {
            let what = format!("{running} of {wanted} requests reached {}", route.server);
            return Err(deployment::Error::NotReady(what));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
