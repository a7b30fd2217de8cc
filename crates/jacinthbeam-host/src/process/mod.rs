//! The threads of the process and their state.
//!
//! The control thread follows the store, takes part in granting keys, and publishes a [`View`] at each change. The traffic thread
//! serves callers by the current view and never waits for the control thread.

pub mod broken;
pub mod clock;
mod control;
pub mod credits;
pub mod evacuation;
pub mod helping;
pub mod inbox;
pub mod load_counts;
pub mod logs;
pub mod map_history;
pub mod membership;
pub mod metrics;
mod pages;
pub mod partition;
pub mod peers;
pub mod permits;
pub mod reach;
pub mod replica;
pub mod request_log;
mod server_lines;
pub mod server_state;
pub mod service_loads;
pub mod service_times;
mod serving;
mod sockets;
pub mod status;
pub mod traffic;
pub mod usage;

use std::{
    fmt, io,
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
};

use jacinthbeam_connection::Dialer;
use jacinthbeam_types::prelude::*;
use tokio::sync::watch;

use crate::{
    Settings, Wire,
    connection::accept::Phase,
    version::{Freshness, View},
};
use load_counts::LoadCounts;
use metrics::Counters;

pub use sockets::Sockets;

/// A running host.
#[derive(Debug)]
pub struct Handle {
    settings: Settings,
    phase: watch::Sender<Phase>,
    threads: Vec<JoinHandle<()>>,
}

/// Why a host did not start.
#[derive(Debug)]
pub enum Error {
    /// A listening socket can't be bound.
    Bind {
        /// Purpose of the socket.
        what: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The cause.
        err: io::Error,
    },
    /// A thread can't be started.
    Thread(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { what, addr, err } => {
                write!(f, "can't listen for {what} at {addr}: {err}; is another process using it?")
            }
            Self::Thread(err) => write!(f, "can't start a thread: {err}"),
        }
    }
}

impl std::error::Error for Error {}

impl Handle {
    /// The settings that the host runs with. Each port 0 is replaced by the port that was bound.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Starts a graceful shutdown: no new callers, requests in flight are answered. Returns immediately; later calls have no effect.
    pub fn stop(&self) {
        self.phase.send_if_modified(|phase| {
            let first = *phase == Phase::Serving;
            if first {
                *phase = Phase::Leaving;
            }
            first
        });
    }

    /// Waits until both threads have exited.
    pub fn join(self) {
        for thread in self.threads {
            if thread.join().is_err() {
                tracing::error!(part = "process", event = "thread-panicked");
            }
        }
    }
}

/// Starts a host. For each port 0 of `settings`, any free port is bound; [`Handle::settings`] returns which.
pub fn spawn(settings: Settings, wire: Wire) -> Result<Handle, Error> {
    spawn_with(settings, wire, Dialer::default())
}

/// Like [`spawn`], with a dialer for the connections to backend servers.
pub fn spawn_with(mut settings: Settings, wire: Wire, dialer: Dialer) -> Result<Handle, Error> {
    let sockets = Sockets::bind(&mut settings)?;
    let clock: Arc<dyn Clock> = Arc::new(clock::SuspendClock::new());
    let counters = Counters::new();
    let usage = usage::Counted::default();
    let load_counts = LoadCounts::default();
    let incarnation = Incarnation(fastrand::u64(1..));
    let (view_tx, view) = watch::channel(Arc::new(View::default()));
    let (gates_tx, gates) = watch::channel(traffic::Gates::new());
    let (loads_tx, loads) = watch::channel(Arc::default());
    let (freshness_tx, freshness) = watch::channel(Freshness::default());
    let (phase, phase_rx) = watch::channel(Phase::Serving);
    let (done_tx, done) = tokio::sync::oneshot::channel();
    let (crashes_tx, crashes) = tokio::sync::mpsc::unbounded_channel();
    let (permits_tx, permits) = tokio::sync::mpsc::unbounded_channel();
    let (credits_tx, credits) = tokio::sync::mpsc::unbounded_channel();
    let (credits_in_tx, credits_in) = tokio::sync::mpsc::channel(credits::MAX_INCOMING);
    let (partitioned_tx, partitioned) = watch::channel(false);
    let (peers_tx, peers) = watch::channel(Arc::default());
    let (forwarded_tx, forwarded) = tokio::sync::mpsc::unbounded_channel();
    tracing::info!(part = "process", event = "start", host = %settings.host, domain = %settings.domain, incarnation = %incarnation, callers = %settings.callers, store = %settings.store);
    let control = control::Start {
        settings: settings.clone(),
        wire,
        clock: clock.clone(),
        dialer: dialer.clone(),
        counters: counters.clone(),
        usage: usage.clone(),
        load_counts: load_counts.clone(),
        incarnation,
        view: view_tx,
        freshness: freshness_tx,
        gates: gates_tx,
        loads: loads_tx,
        phase: phase_rx.clone(),
        crashes,
        permits,
        credits_out: credits,
        credits: credits_in_tx,
        partitioned,
        peers: peers_tx,
        forwarded: forwarded_tx,
        served: done,
    };
    let reports = sockets.reports.try_clone().map_err(Error::Thread)?;
    let control_sockets = control::Sockets {
        ready: sockets.ready,
        metrics: sockets.metrics,
        datagrams: sockets.reports,
        updates: sockets.news,
    };
    let traffic = traffic::Start {
        settings: settings.clone(),
        wire,
        clock,
        dialer,
        counters,
        usage,
        load_counts,
        view,
        freshness,
        phase: phase.subscribe(),
        gates,
        loads,
        crashes: crashes_tx,
        permits: permits_tx,
        credits: credits_tx,
        partitioned: partitioned_tx,
        peers,
    };
    let traffic = serving::Start {
        traffic,
        phase: phase.clone(),
        callers: sockets.callers,
        reports,
        forwarded,
        credits: credits_in,
        served: done_tx,
    };
    let threads = vec![
        run("control", move || control::run(control, control_sockets))?,
        run("traffic", move || serving::run(traffic))?,
    ];
    Ok(Handle { settings, phase, threads })
}

/// Starts a thread that runs `main` on a single-threaded runtime of its own.
fn run<F: Future<Output = ()>>(
    name: &'static str,
    main: impl FnOnce() -> F + Send + 'static,
) -> Result<JoinHandle<()>, Error> {
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        match runtime {
            Ok(runtime) => tokio::task::LocalSet::new().block_on(&runtime, async { main().await }),
            Err(err) => {
                tracing::error!(part = "process", event = "no-runtime", thread = %name, error = ?err)
            }
        }
    };
    thread::Builder::new().name(name.into()).spawn(run).map_err(Error::Thread)
}
