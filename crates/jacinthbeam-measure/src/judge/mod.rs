//! Judging what must always hold, from the stand-ins' own records and the callers' notes.

mod ownership;
mod promise;
mod requests;
mod unavailable;

use std::time::{Duration, Instant};

use jacinthbeam::types::prelude::*;
use jacinthbeam_standin::backend::{Handle, Holding, Run, Summary};

use crate::{fault, load::Note};

pub use promise::{Broken, Promise};
pub use unavailable::{Unavailable, unavailable};

/// What a backend server recorded.
#[derive(Debug)]
pub struct ServerRecord {
    /// Its name.
    pub id: ServerId,
    /// Service that it served.
    pub service: ServiceName,
    /// Requests that it was to be given at once, at most.
    pub concurrency: u32,
    /// What it ran.
    pub runs: Vec<Run>,
    /// When it held which slots.
    pub holdings: Vec<Holding>,
    /// Counts.
    pub summary: Summary,
}

impl ServerRecord {
    /// Reads the records of a backend server.
    pub fn of(handle: &Handle, service: &ServiceName, concurrency: u32) -> Self {
        Self {
            id: handle.id().clone(),
            service: service.clone(),
            concurrency,
            runs: handle.runs(),
            holdings: handle.holdings(),
            summary: handle.summary(),
        }
    }
}

/// A time in which a fault stood, as far as judging needs it.
#[derive(Debug, Clone)]
pub struct Window {
    /// The fault.
    pub kind: fault::Kind,
    /// The backend server that it was about.
    pub server: ServerId,
    /// The entry hosts that it was about.
    pub hosts: Vec<HostId>,
    /// When it was brought about.
    pub began: Instant,
    /// When it was healed and everything was served again.
    pub ended: Instant,
}

impl Window {
    fn contains(&self, at: Instant) -> bool {
        self.began <= at && at <= self.ended
    }
}

/// Time within which a leaving backend server may still be given new work.
pub const LEAVING_WITHIN: Duration = Duration::from_secs(3);

/// Counts every promise that was broken.
pub fn judge(servers: &[ServerRecord], notes: &[Note], windows: &[Window]) -> Broken {
    let mut broken = Broken::default();
    ownership::judge(servers, &mut broken);
    requests::judge(servers, notes, windows, &mut broken);
    limits(servers, &mut broken);
    leaving(servers, windows, &mut broken);
    broken
}

fn limits(servers: &[ServerRecord], broken: &mut Broken) {
    for server in servers {
        let ServerRecord { id, concurrency, summary, .. } = server;
        if summary.max_running > *concurrency {
            let running = summary.max_running;
            broken.add(Promise::Concurrency, || {
                format!("{id} was given {running} requests at once, its limit is {concurrency}")
            });
        }
        if summary.excess_connections > 0 {
            let excess = summary.excess_connections;
            broken.add(Promise::Connections, || format!("{id} closed {excess} connections"));
        }
    }
}

fn leaving(servers: &[ServerRecord], windows: &[Window], broken: &mut Broken) {
    let drains = windows.iter().filter(|window| window.kind == fault::Kind::Drain);
    for window in drains {
        let Some(server) = servers.iter().find(|server| server.id == window.server) else {
            continue;
        };
        for run in server.runs.iter().filter(|run| run.at_start > window.began + LEAVING_WITHIN) {
            broken.add(Promise::LeavingGetsNothing, || {
                let after = run.at_start - window.began;
                format!("{} began {} {after:?} after it was listed as leaving", server.id, run.path)
            });
        }
    }
}
