//! Starting and stopping the process.

use std::{
    collections::BTreeMap,
    fmt, io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use arc_swap::ArcSwap;
use jacinthbeam_admission::{duplicate, fair::Teams};
use jacinthbeam_config::settings::{Settings, TimingSettings};
use jacinthbeam_lease::{Timing, timing};
use jacinthbeam_peer::{Client, server};
use jacinthbeam_types::prelude::*;
use tokio::{
    runtime::{Builder, EnterGuard, Runtime},
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
    time::timeout,
};

use super::{
    Identity, Limits, Traffic,
    control::{self, Control, Event, Start},
    dump::Dump,
    identity::draw_incarnation,
    memory,
    metrics::Metrics,
    usage::Usage,
};
use crate::{
    connection::{
        callers::{self, serve_callers},
        listen,
        operators::{Operators, serve_operators},
        peers,
    },
    version::{Version, route::Hints},
};

/// Bound of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a stop leaves to requests in progress beyond the control thread's own hand-over.
const STOP_PATIENCE: Duration = Duration::from_secs(15);

/// Why the process could not be started.
#[derive(Debug)]
pub enum Error {
    /// An address could not be listened on.
    Listen {
        /// What for.
        purpose: &'static str,
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A thread could not be started.
    Thread(io::Error),
    /// The timing can't work.
    Timing(timing::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { purpose, addr, source } => {
                write!(f, "can't listen for {purpose} on {addr}: {source}")
            }
            Self::Thread(err) => write!(f, "can't start a thread: {err}"),
            Self::Timing(err) => write!(f, "the timing can't work: {err}"),
        }
    }
}

impl std::error::Error for Error {}

/// A running entry host.
///
/// Dropped, it ends at once, as if its host were lost; [`Handle::stop`] ends it gracefully.
#[derive(Debug)]
pub struct Handle {
    me: Identity,
    callers: SocketAddr,
    operators: SocketAddr,
    control: mpsc::Sender<Event>,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
    peers: Option<server::Handle>,
    /// Ends after the control thread, which uses what lives in it.
    _traffic: TrafficRuntime,
    control_thread: Option<(oneshot::Sender<()>, thread::JoinHandle<()>)>,
}

/// Starts an entry host. Returns once it listens; it serves requests as soon as it has read the log.
pub fn spawn(settings: &Settings, clock: Arc<dyn Clock>) -> Result<Handle, Error> {
    let timing = timing_of(&settings.timing)?;
    let traffic = Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(Error::Thread)?;
    let traffic = TrafficRuntime(Some(traffic));
    let entered = traffic.enter();

    let (tx, rx) = control::channel();
    let callers = bind("callers", settings.callers)?;
    let operators = bind("operators", settings.operators)?;
    // The peers' port has to be known before the identity is, and the identity before the peers are served.
    let peers = bind("peers", settings.peers)?;
    let peers_listen = local_addr("peers", settings.peers, &peers)?;
    let me = Identity {
        host: settings.host.clone(),
        cell: settings.cell.clone(),
        incarnation: draw_incarnation(&*clock),
        peer_address: settings.advertise.unwrap_or(peers_listen),
        source: settings.source,
    };
    let cx = Arc::new(shared(settings, &me, clock));
    let mut peer_options = server::Options {
        max_connections: settings.limits.max_peer_connections as usize,
        ..Default::default()
    };
    peer_options.limits.max_message = settings.limits.max_message;
    let peers = peers::serve(peers, peer_options, cx.clone(), tx.clone())
        .map_err(|source| Error::Listen { purpose: "peers", addr: peers_listen, source })?;

    let callers_addr = local_addr("callers", settings.callers, &callers)?;
    let operators_addr = local_addr("operators", settings.operators, &operators)?;
    let (stop, stopped) = watch::channel(false);
    let options = callers::Options {
        connections: settings.limits.max_connections as usize,
        head: settings.limits.max_header.0 as usize,
        idle: settings.limits.idle_timeout,
        ..Default::default()
    };
    let serving = tokio::spawn(serve_callers(cx.clone(), callers, options, stopped));
    let operators_cx = Operators { control: tx.clone(), metrics: cx.metrics.clone() };
    tokio::spawn(serve_operators(operators, Arc::new(operators_cx)));
    drop(entered);

    let start = Start {
        me: me.clone(),
        traffic: cx,
        timing,
        log: settings.log,
        hosts: settings.hosts,
        platform_timeout: PLATFORM_TIMEOUT,
    };
    let control_thread = spawn_control(start, tx.clone(), rx)?;
    log::info!("process: host {} of cell {} serves callers on {callers_addr}", me.host, me.cell);
    Ok(Handle {
        me,
        callers: callers_addr,
        operators: operators_addr,
        control: tx,
        stop,
        serving,
        peers: Some(peers),
        _traffic: traffic,
        control_thread: Some(control_thread),
    })
}

impl Handle {
    /// Who the process is.
    pub fn identity(&self) -> &Identity {
        &self.me
    }

    /// Where it listens for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where it listens for other entry hosts, which may not be where they are told to reach it.
    pub fn peers(&self) -> Option<SocketAddr> {
        self.peers.as_ref().map(server::Handle::local_addr)
    }

    /// Where it listens for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// State of the process; `None` if its control thread does not answer.
    pub async fn dump(&self) -> Option<Dump> {
        let (reply, dump) = oneshot::channel();
        self.control.send(Event::Dump { reply }).await.ok()?;
        dump.await.ok()
    }

    /// Stops gracefully: takes no new requests, lets those in progress end, hands its backend servers over.
    pub async fn stop(mut self) {
        log::info!("process: host {} stops", self.me.host);
        // No receiver is left if the listener has ended by itself.
        let _ = self.stop.send(true);
        let serving = std::mem::replace(&mut self.serving, tokio::spawn(async {}));
        // Callers first: what they still wait for may run on the backend servers attended here.
        if timeout(STOP_PATIENCE, serving).await.is_err() {
            log::warn!("process: some callers did not end within {STOP_PATIENCE:?}");
        }
        let (done, handed_over) = oneshot::channel();
        if self.control.send(Event::Stop { done }).await.is_ok()
            && timeout(STOP_PATIENCE, handed_over).await.is_err()
        {
            log::warn!("process: not all backend servers were handed over");
        }
        if let Some(peers) = self.peers.take() {
            let cut = peers.shutdown(STOP_PATIENCE).await.cut;
            if cut > 0 {
                log::warn!("process: {cut} requests of other hosts were cut off");
            }
        }
        log::info!("process: host {} has stopped", self.me.host);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        if let Some((end, thread)) = self.control_thread.take() {
            // The thread has ended already if nobody listens.
            let _ = end.send(());
            let _ = thread.join();
        }
    }
}

/// Runs what serves requests.
///
/// A runtime that is dropped as it is waits for its threads, which panics inside another runtime: a port in use would
/// end the process with that panic in place of the error.
#[derive(Debug)]
struct TrafficRuntime(Option<Runtime>);

impl TrafficRuntime {
    fn enter(&self) -> Option<EnterGuard<'_>> {
        self.0.as_ref().map(Runtime::enter)
    }
}

impl Drop for TrafficRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

fn timing_of(settings: &TimingSettings) -> Result<Timing, Error> {
    let mut timing = Timing::default();
    let set = |value: &mut Duration, setting: Option<Duration>| {
        *value = setting.unwrap_or(*value);
    };
    set(&mut timing.lease, settings.lease);
    set(&mut timing.renew_every, settings.renew_every);
    set(&mut timing.heartbeat_every, settings.heartbeat_every);
    set(&mut timing.alive_within, settings.alive_within);
    set(&mut timing.silent_after, settings.silent_after);
    set(&mut timing.probe_timeout, settings.probe_timeout);
    set(&mut timing.margin, settings.margin);
    timing.check().map_err(Error::Timing)?;
    Ok(timing)
}

fn shared(settings: &Settings, me: &Identity, clock: Arc<dyn Clock>) -> Traffic {
    let limits = Limits { head: settings.limits.max_header.0 as usize, ..Default::default() };
    let memory =
        duplicate::Options { bytes: settings.limits.duplicate_memory, ..Default::default() };
    let peers =
        Client::open(jacinthbeam_peer::client::Options { source: me.source, ..Default::default() });
    Traffic {
        version: Arc::new(ArcSwap::from_pointee(Version::default())),
        peers: peers.clone(),
        hints: Hints::default(),
        unreachable: Default::default(),
        ids: Default::default(),
        memory: memory::Shared::new(memory, me.incarnation, peers, clock.clone()),
        usage: Usage::new(me.incarnation),
        teams: Mutex::new(Teams::new(
            settings.limits.max_requests,
            &BTreeMap::new(),
            &BTreeMap::new(),
        )),
        budgets: Mutex::new(BTreeMap::new()),
        metrics: Arc::new(Metrics::new(clock.clone())),
        limits,
        me: me.clone(),
        clock,
    }
}

fn bind(purpose: &'static str, addr: SocketAddr) -> Result<tokio::net::TcpListener, Error> {
    listen::bind(addr).map_err(|source| Error::Listen { purpose, addr, source })
}

fn local_addr(
    purpose: &'static str,
    addr: SocketAddr,
    listener: &tokio::net::TcpListener,
) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(|source| Error::Listen { purpose, addr, source })
}

fn spawn_control(
    start: Start,
    tx: mpsc::Sender<Event>,
    rx: mpsc::Receiver<Event>,
) -> Result<(oneshot::Sender<()>, thread::JoinHandle<()>), Error> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(Error::Thread)?;
    let (end, ended) = oneshot::channel::<()>();
    let run = move || {
        runtime.block_on(async move {
            tokio::select! {
                () = Control::new(start, tx).run(rx) => {}
                _ = ended => {}
            }
        });
    };
    let thread = thread::Builder::new().name("control".into()).spawn(run).map_err(Error::Thread)?;
    Ok((end, thread))
}
