//! The control thread: holds this host's replica of the store's data and runs its grantors.
//!
//! All state is in one [`Control`], which handles one [`Input`] at a time. Everything that waits (reads of the store, calls to backend
//! servers) runs in tasks that send their results as inputs.

mod calls;
mod contact;
mod crashes;
mod credits;
mod cross_domain;
mod duty;
mod enrolment;
mod feed;
mod follow;
mod gates;
mod granting;
mod input;
mod learn;
mod loads;
mod maps;
mod permits;
mod registration;
mod restore;
mod state;
mod unreadable;
mod update_client;

use std::{
    cell::RefCell,
    net::{TcpListener, UdpSocket},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use jacinthbeam_connection::Dialer;
use jacinthbeam_crash::{Fact, Fingerprint, Outcome, fingerprint};
use jacinthbeam_range::Event;
use jacinthbeam_types::prelude::*;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::spawn_local,
};

use super::{
    inbox::{Inbox, Waiting},
    load_counts::LoadCounts,
    metrics::Counters,
    pages,
    peers::{
        self,
        source::MAX_STALENESS,
        update::{StateUpdate, UpdateRequest},
    },
    service_loads::ServiceLoads,
    serving::Forwarded,
    status,
    traffic::Gates,
    usage,
};
use crate::{
    Settings, Wire,
    connection::accept::Phase,
    operators,
    request::{answer, forward::Peer},
    version::{Freshness, View},
};
use input::{Input, Tx};
use state::Control;

/// What the thread is started with.
pub(super) struct Start {
    pub(super) settings: Settings,
    pub(super) wire: Wire,
    pub(super) clock: Arc<dyn Clock>,
    /// Opens connections to backend servers.
    pub(super) dialer: Dialer,
    pub(super) counters: Arc<Counters>,
    pub(super) usage: usage::Counted,
    /// Counts of requests to services whose load is exchanged between hosts.
    pub(super) load_counts: LoadCounts,
    pub(super) incarnation: Incarnation,
    pub(super) view: watch::Sender<Arc<View>>,
    pub(super) freshness: watch::Sender<Freshness>,
    pub(super) gates: watch::Sender<Gates>,
    pub(super) loads: watch::Sender<Arc<ServiceLoads>>,
    pub(super) phase: watch::Receiver<Phase>,
    /// Crash facts observed by the traffic thread.
    pub(super) crashes: mpsc::UnboundedReceiver<Fact>,
    /// Queries of the traffic thread about rate limits.
    pub(super) permits: mpsc::UnboundedReceiver<super::permits::Query>,
    /// Messages of the traffic thread to other hosts about retry budgets.
    pub(super) credits_out: mpsc::UnboundedReceiver<super::credits::Outgoing>,
    /// Receives messages of other hosts about retry budgets.
    pub(super) credits: mpsc::Sender<super::credits::Incoming>,
    /// Whether this host is partitioned from all backend servers.
    pub(super) partitioned: watch::Receiver<bool>,
    /// The other hosts, in the order in which this one prefers them as helpers.
    pub(super) peers: watch::Sender<Arc<Vec<Peer>>>,
    /// Receives the requests that other hosts forward.
    pub(super) forwarded: mpsc::UnboundedSender<Forwarded>,
    /// Resolves when the traffic thread has answered its last request.
    pub(super) served: oneshot::Receiver<()>,
}

/// Interval between ticks, which drive everything that depends on time alone.
const TICK: Duration = Duration::from_millis(100);

/// Time for the final calls to the store after the last request.
const FINAL_CALLS_TIMEOUT: Duration = Duration::from_millis(100);

/// The thread's sockets.
pub(super) struct Sockets {
    pub(super) ready: TcpListener,
    pub(super) metrics: TcpListener,
    /// For datagrams between hosts.
    pub(super) datagrams: UdpSocket,
    /// For other hosts' update requests.
    pub(super) updates: TcpListener,
}

pub(super) async fn run(mut start: Start, sockets: Sockets) {
    let (to, mut rx) = mpsc::unbounded_channel();
    let tx = Tx { clock: start.clock.clone(), to };
    let mut inbox = Inbox::new(Input::kind);
    let Sockets { ready, metrics, datagrams, updates } = sockets;
    serve_pages(&start, ready, metrics, &tx);
    let reports = match tokio::net::UdpSocket::from_std(datagrams) {
        Ok(socket) => Rc::new(socket),
        Err(err) => return tracing::error!(part = "peers", event = "no-socket", error = ?err),
    };
    spawn_local(receive_datagrams(reports.clone(), tx.clone()));
    let forwarded = start.forwarded.clone();
    spawn_local(serve_peers(updates, tx.clone(), start.view.subscribe(), forwarded));
    spawn_local(tick(tx.clone()));
    spawn_local(await_stop(start.phase.clone(), tx.clone()));
    let mut served = std::mem::replace(&mut start.served, oneshot::channel().1);
    let crashes = std::mem::replace(&mut start.crashes, mpsc::unbounded_channel().1);
    spawn_local(forward(crashes, tx.clone(), Input::Crash));
    let permits = std::mem::replace(&mut start.permits, mpsc::unbounded_channel().1);
    spawn_local(forward(permits, tx.clone(), Input::RateLimit));
    let credits = std::mem::replace(&mut start.credits_out, mpsc::unbounded_channel().1);
    spawn_local(forward(credits, tx.clone(), Input::Credit));
    let usage = start.usage.clone();
    let mut control = Control::new(start, tx, reports);
    control.start_tasks();
    let mut is_served = false;
    let mut last = control.recorder(usage.clone());
    spawn_local(control.recorder(usage).run());
    loop {
        tokio::select! {
            input = rx.recv(), if inbox.is_empty() => match input {
                Some(input) => enqueue(&mut control, &mut inbox, input),
                None => break,
            },
            // Resolves with an error when the sender is dropped, which means the same.
            _ = &mut served, if !is_served => is_served = true,
            // The tasks that read the store and other hosts run on this thread. Without this yield, a host with a long backlog of grants
            // would receive nothing while inputs wait.
            () = tokio::task::yield_now(), if !inbox.is_empty() => {}
        }
        while let Ok(input) = rx.try_recv() {
            enqueue(&mut control, &mut inbox, input);
        }
        process_batch(&mut control, &mut inbox);
        if is_served && !control.must_keep_granting() {
            break;
        }
    }
    control.step_all(&Event::Exit);
    tokio::join!(tokio::time::sleep(FINAL_CALLS_TIMEOUT), last.record());
    tracing::info!(part = "process", event = "stop");
}

/// Queues an input; counts a load report that was dropped for it.
fn enqueue(control: &mut Control, inbox: &mut Inbox<Input>, input: Waiting<Input>) {
    if inbox.push(input) {
        control.counters.reports_left_out.add(1, &[]);
    }
}

/// Handles the next batch of inputs.
fn process_batch(control: &mut Control, inbox: &mut Inbox<Input>) {
    for Waiting { input, since } in inbox.next_batch() {
        control.record_wait(&input, since);
        control.handle(input);
    }
    control.finish_batch();
}

async fn serve_peers(
    listener: TcpListener,
    tx: Tx,
    changes: watch::Receiver<Arc<View>>,
    forwarded: mpsc::UnboundedSender<Forwarded>,
) {
    let find = move |request: UpdateRequest| {
        let (tx, changes) = (tx.clone(), changes.clone());
        let max_wait = if request.only_crashes { cross_domain::MAX_WAIT } else { feed::MAX_WAIT };
        let wait = request.wait.min(max_wait);
        let request = RefCell::new(request);
        async move {
            let look = async || {
                let request_now = request.borrow().clone();
                let update = request_update(&tx, &request_now).await;
                // The facts in the request are merged now, and their ages are relative to its arrival: don't merge them again.
                request.borrow_mut().crashes.iter_mut().for_each(|question| question.facts.clear());
                update
            };
            peers::long_poll::long_poll(look, changes, wait, MAX_STALENESS).await
        }
    };
    peers::serve::run(listener, find, forwarded).await;
}

/// Requests from the control thread what this host has and the requesting host lacks.
async fn request_update(tx: &Tx, request: &UpdateRequest) -> StateUpdate {
    let (reply, update) = oneshot::channel();
    let nothing = || StateUpdate { age: Duration::MAX, ..StateUpdate::default() };
    match tx.send(Input::PeerRequest { request: request.clone(), reply }) {
        Ok(()) => update.await.unwrap_or_else(|_| nothing()),
        Err(_) => nothing(),
    }
}

fn serve_pages(start: &Start, ready: TcpListener, metrics: TcpListener, tx: &Tx) {
    let (view, phase) = (start.view.subscribe(), start.phase.clone());
    serve_page(ready, move |_, _| {
        let ready = view.borrow().config.is_some() && *phase.borrow() == Phase::Serving;
        std::future::ready(pages::ready(ready))
    });
    let (counters, view) = (start.counters.clone(), start.view.subscribe());
    let (settings, phase) = (start.settings.clone(), start.phase.clone());
    let (tx, clock) = (tx.clone(), start.clock.clone());
    let (loads, load_counts) = (start.loads.subscribe(), start.load_counts.clone());
    serve_page(metrics, move |method, path| {
        let text = match path {
            "/metrics" => Some(counters.text()),
            "/status" => {
                let now = clock.now();
                let mut status = status::of(&settings, &view.borrow(), *phase.borrow(), now);
                status.load = status::loads(&loads.borrow(), &load_counts, now);
                let text = serde_json::to_string_pretty(&status);
                Some(text.expect("names and numbers can be written"))
            }
            _ => path
                .strip_prefix(operators::LET_THROUGH)
                .filter(|_| method == Method::POST)
                .map(|request| let_through(&tx, request, clock.now())),
        };
        let dump = (path == "/dump").then(|| dump(tx.clone()));
        async move {
            let text = match dump {
                Some(dump) => Some(dump.await),
                None => text,
            };
            match text {
                Some(text) => answer::plain(StatusCode::OK, text),
                None => answer::plain(StatusCode::NOT_FOUND, PAGES.into()),
            }
        }
    });
}

/// Body of the 404 answer on the operators' port.
const PAGES: &str = "pages: /metrics, /status, /dump; POST /let-through/FINGERPRINT";

/// Clears a request of its crashes, at this host and through it at all others. Returns the answer to the operator.
fn let_through(tx: &Tx, request: &str, now: Instant) -> String {
    let Ok(request) = request.parse::<Fingerprint>() else {
        return format!("refused: {}", fingerprint::ParseError);
    };
    tracing::info!(part = "crash", event = "let-through", request = %request);
    match tx.send(Input::Crash(Fact { request, outcome: Outcome::Allowed, at: now })) {
        Ok(()) => format!("{request} is let through"),
        Err(_) => "refused: the process ends".into(),
    }
}

/// The whole state of the control thread as text.
async fn dump(tx: Tx) -> String {
    let (reply, text) = oneshot::channel();
    let is_sent = tx.send(Input::Dump(reply)).is_ok();
    let text = if is_sent { text.await.ok() } else { None };
    text.unwrap_or_else(|| "the process ends".into())
}

fn serve_page<F>(listener: TcpListener, page: impl Fn(&Method, &str) -> F + 'static)
where
    F: Future<Output = http::Response<http_body_util::Full<bytes::Bytes>>> + 'static,
{
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => drop(spawn_local(pages::serve(listener, page))),
        Err(err) => tracing::error!(part = "pages", event = "no-listener", error = ?err),
    }
}

async fn tick(tx: Tx) {
    let mut every = tokio::time::interval(TICK);
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while tx.send(Input::Tick).is_ok() {
        every.tick().await;
    }
}

/// Forwards what the traffic thread sends as inputs.
async fn forward<T>(mut rx: mpsc::UnboundedReceiver<T>, tx: Tx, input: fn(T) -> Input) {
    while let Some(sent) = rx.recv().await {
        if tx.send(input(sent)).is_err() {
            return;
        }
    }
}

async fn await_stop(mut phase: watch::Receiver<Phase>, tx: Tx) {
    if phase.wait_for(|phase| *phase > Phase::Serving).await.is_ok()
        && tx.send(Input::Stop).is_err()
    {
        tracing::debug!(part = "process", event = "stopped-already");
    }
}

/// Receives datagrams from other hosts and sends them on as inputs.
async fn receive_datagrams(socket: Rc<tokio::net::UdpSocket>, tx: Tx) {
    let mut buf = [0; peers::load::MAX_DATAGRAM_BYTES * 2];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                tracing::debug!(part = "peers", event = "receive-failed", error = ?err);
                continue;
            }
        };
        match peers::load::Message::from_bytes(&buf[..len]) {
            Ok(message) => {
                if tx.send(Input::Datagram(from, message)).is_err() {
                    return;
                }
            }
            Err(err) => {
                tracing::warn!(part = "peers", event = "unreadable", from = %from, error = ?err)
            }
        }
    }
}
