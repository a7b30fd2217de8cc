//! Detects server crashes under a request, and decides whether a request with crashes may still be sent.
//!
//! A broken connection is no proof of a crash: it may have been reset, cut, or closed by a server over its connection limit. A
//! server counts as crashed if, soon afterwards, nothing listens at its address or another incarnation answers there. A refused
//! connection counts only if this host reaches other servers, since a network partition may refuse it as well. A server does
//! not count as crashed if it had announced that it is draining, since a server that is stopped in order also ends the
//! requests that still run on it.

use std::{
    collections::BTreeSet,
    net::IpAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use jacinthbeam_crash::{Fact, Fingerprint, Outcome, suspects::QUARANTINE_THRESHOLD};
use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;
use tokio::task::spawn_local;

use super::{fingerprint, send::BufferedRequest};
use crate::{
    connection::pool,
    process::{
        broken::{BROKEN_TTL, Running},
        traffic::Traffic,
    },
    send_outcome::{Lost, NotRun, SendOutcome},
    version::View,
};

/// How long a retry waits for the liveness check of the server. An address where nothing listens refuses within one round trip.
const LIVENESS_WAIT: Duration = Duration::from_millis(50);

/// Attempts of a liveness check that finds the connection pool full, and the delay between two of them.
const LIVENESS_ATTEMPTS: usize = 3;
const LIVENESS_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval of checks of a server that refuses connections while no other server can be reached.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A request that is not sent to any server because servers crashed under it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Quarantine {
    pub(super) request: Fingerprint,
    /// Whether the quarantine is definite. If not, the request is on probation: a later attempt may be sent as a probe.
    pub(super) is_confirmed: bool,
}

/// Tracks server crashes under one request of one caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct CrashTracker<'a> {
    pub(super) traffic: &'a Rc<Traffic>,
    pub(super) request: &'a BufferedRequest,
    pub(super) caller: IpAddr,
}

impl CrashTracker<'_> {
    /// Returns the quarantine that keeps the request from being sent now; `None` if it may be sent.
    pub(super) fn quarantine(self, view: &View) -> Option<Quarantine> {
        let request = fingerprint::of_suspect(&view.suspects, self.request)?;
        if view.suspects.is_quarantined(&request, self.caller) {
            return Some(Quarantine { request, is_confirmed: true });
        }
        let last = view.suspects.on_probation(&request, self.caller)?;
        let may_probe = self.traffic.may_probe(request, view.rank, last);
        (!may_probe).then_some(Quarantine { request, is_confirmed: false })
    }

    /// Whether the request may be retried immediately, given the servers that crashed under this attempt.
    ///
    /// Without this limit one attempt could crash every server that it may be sent to before any other host receives the first
    /// report. One crash doesn't change how the request is served. The last crash that would complete the quarantine is left to
    /// a later attempt, which is checked against the crashes that all hosts have reported by then.
    pub(super) fn may_retry(self, view: &View, crashed: &BTreeSet<ServerId>) -> bool {
        if crashed.is_empty() {
            return true;
        }
        let request = fingerprint::of_suspect(&view.suspects, self.request);
        let crashes =
            request.map_or(0, |request| view.suspects.crashed_servers(&request, self.caller));
        crashes.max(crashed.len()) + 1 < QUARANTINE_THRESHOLD
    }

    /// Records the outcome of a send. Returns whether the server is known to have crashed under the request.
    ///
    /// With `wait_for_check`, waits up to [`LIVENESS_WAIT`] for the liveness check after a broken connection; without it, the
    /// check runs in the background.
    pub(super) async fn on_sent(
        self,
        server: &Server,
        max_connections: u32,
        sent: &SendOutcome,
        wait_for_check: bool,
    ) -> bool {
        match sent {
            SendOutcome::Answered { success: true, .. } => {
                // Uses the current view: crashes under this request may have been reported by other hosts while it ran.
                self.on_success(&self.traffic.view());
                false
            }
            SendOutcome::NotRun(NotRun::OtherServer) => {
                report_crash(self.traffic, server);
                false
            }
            SendOutcome::NotRun(NotRun::NotListening) => {
                if !self.traffic.server(server).broken.is_empty() {
                    let (traffic, server) = (self.traffic.clone(), server.clone());
                    let since = traffic.now();
                    let check =
                        async move { on_refused(&traffic, &server, max_connections, since).await };
                    spawn_local(check);
                }
                false
            }
            SendOutcome::Lost(Lost::Broken) => {
                self.traffic.server(server).broken.on_broken(self.running());
                let (traffic, server) = (self.traffic.clone(), server.clone());
                let check = async move { check_liveness(&traffic, &server, max_connections).await };
                let check = spawn_local(check);
                if !wait_for_check {
                    return false;
                }
                matches!(tokio::time::timeout(LIVENESS_WAIT, check).await, Ok(Ok(true)))
            }
            SendOutcome::Answered { .. }
            | SendOutcome::NotRun(_)
            | SendOutcome::Lost(Lost::Late) => false,
        }
    }

    fn running(self) -> Running {
        let request = fingerprint::of(self.request);
        Running { request, caller: self.caller, at: self.traffic.now() }
    }

    /// Reports a successful request as cleared: it did not cause the crashes of the servers that this caller's earlier attempts
    /// were sent to.
    fn on_success(self, view: &View) {
        let body = self.request.body.clone();
        self.traffic.on_good_answer(fingerprint::head(self.request), body, self.caller);
        let request = fingerprint::of_suspect(&view.suspects, self.request);
        let is_suspect =
            |request: &Fingerprint| view.suspects.crashed_servers(request, self.caller) > 0;
        if let Some(request) = request.filter(is_suspect) {
            let outcome = Outcome::Succeeded { caller: self.caller };
            self.traffic.report_fact(Fact { request, outcome, at: self.traffic.now() });
        }
    }

    /// Records that the caller disconnected while the request was in flight at `server`.
    pub(super) fn on_caller_disconnect(self, server: &Server) {
        self.traffic.server(server).broken.on_caller_disconnect(self.running());
    }
}

/// Checks whether a server still accepts connections. Returns whether it has crashed.
async fn check_liveness(traffic: &Rc<Traffic>, server: &Server, max_connections: u32) -> bool {
    let state = traffic.server(server);
    for _ in 0..LIVENESS_ATTEMPTS {
        if !state.broken.is_check_due(traffic.now()) {
            return false;
        }
        let since = traffic.now();
        match traffic.connect(server, max_connections).await {
            Ok(conn) => {
                state.broken.on_connected(traffic.now());
                state.pool.return_unused(conn, traffic.now());
                return false;
            }
            Err(err) if err.is_refused() => {
                return on_refused(traffic, server, max_connections, since).await;
            }
            Err(pool::Error::Connect(_) | pool::Error::Silent) => return false,
            // The other connections to a crashed server break at the same time, and free the pool when they are dropped.
            Err(pool::Error::Full) => tokio::time::sleep(LIVENESS_RETRY_DELAY).await,
        }
    }
    false
}

/// A server refused a connection that was attempted at `since`. Returns whether it has crashed.
///
/// If this host reaches no other server, the requests that were in flight there are kept, and the server is checked again.
async fn on_refused(
    traffic: &Rc<Traffic>,
    server: &Server,
    max_connections: u32,
    since: Instant,
) -> bool {
    if traffic.reaches_other_servers(&server.id, since).await {
        return report_crash(traffic, server);
    }
    tracing::info!(part = "crash", event = "not-shown", server = %server.id, why = "no server reached");
    if !traffic.server(server).broken.start_rechecks() {
        return false;
    }
    let (traffic, server) = (traffic.clone(), server.clone());
    spawn_local(async move {
        recheck(&traffic, &server, max_connections).await;
        traffic.server(&server).broken.end_rechecks();
    });
    false
}

/// Checks a server that has refused connections until another server can be reached, or the requests that were in flight are too old.
async fn recheck(traffic: &Traffic, server: &Server, max_connections: u32) {
    let end = traffic.now() + BROKEN_TTL;
    while traffic.now() < end {
        tokio::time::sleep(RECHECK_INTERVAL).await;
        let since = traffic.now();
        match traffic.connect(server, max_connections).await {
            Ok(conn) => {
                let state = traffic.server(server);
                state.broken.on_connected(traffic.now());
                return state.pool.return_unused(conn, traffic.now());
            }
            Err(err) if err.is_refused() => {
                if traffic.reaches_other_servers(&server.id, since).await {
                    report_crash(traffic, server);
                    return;
                }
            }
            Err(_) => {}
        }
    }
}

/// Reports the requests that were in flight at a server that is gone. Returns whether it crashed, which means that it ended
/// without having announced that it is draining.
fn report_crash(traffic: &Traffic, server: &Server) -> bool {
    let now = traffic.now();
    let running = traffic.server(server).broken.take(now);
    // Uses the current view: the server may have announced that it is draining while the requests ran.
    let view = traffic.view();
    let listed = view.leaving.get(&server.id).map(|leaving| leaving.elapsed(now));
    let stated = traffic.server(server).draining_since.get();
    let leaving = listed.max(stated.map(|since| now.saturating_duration_since(since)));
    let had_announced_drain =
        |at: Instant| leaving.is_some_and(|since| since >= now.saturating_duration_since(at));
    for Running { request, caller, at } in
        running.into_iter().filter(|r| !had_announced_drain(r.at))
    {
        let outcome = Outcome::Crashed { server: server.id.clone(), caller };
        traffic.report_fact(Fact { request, outcome, at });
    }
    !had_announced_drain(now)
}
