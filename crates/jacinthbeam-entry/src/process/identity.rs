//! Who this process is.

use std::{
    net::{IpAddr, SocketAddr},
    sync::atomic::{AtomicU64, Ordering},
};

use jacinthbeam_types::prelude::*;

/// Who this process is.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Identity {
    /// Its host.
    pub host: HostId,
    /// Its cell.
    pub cell: CellId,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Where other entry hosts reach it.
    pub peer_address: SocketAddr,
    /// IP number that its connections come from, if set.
    pub source: Option<IpAddr>,
}

/// Draws the incarnation of a process that starts now.
///
/// Entry hosts keep nothing, so it can't be counted up. The time of day keeps it rising as a rule, which is of use to a
/// reader of the log; the random part keeps two lives apart that start at the same time or after a clock was set back.
pub fn draw_incarnation(clock: &dyn Clock) -> Incarnation {
    let since = clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    Incarnation((since.as_secs() << 32) | u64::from(fastrand::u32(..)))
}

/// Numbers the requests that this process receives.
#[derive(Debug, Default)]
pub struct RequestIds(AtomicU64);

impl RequestIds {
    /// The next id.
    pub fn next(&self, incarnation: Incarnation) -> RequestId {
        let sequence = self.0.fetch_add(1, Ordering::Relaxed);
        RequestId { incarnation, sequence }
    }
}
