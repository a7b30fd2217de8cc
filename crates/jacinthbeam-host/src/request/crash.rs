//! Whether a server has ended under a request, and what that means for the request.
//!
//! A connection that breaks proves nothing: it may have been reset, cut, or closed by a server over its cap. A server counts as ended when
//! nothing listens at its address, or another life of a server answers there, soon after; not if it had said that it leaves, since one
//! that is stopped in order ends with whatever still runs.

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
    process::{broken::Running, traffic::Traffic},
    send_outcome::{Lost, NotRun, SendOutcome},
    version::View,
};

/// How long a repeat waits for the look whether its server has ended. An address where nothing listens says so in one round trip.
const LIVENESS_WAIT: Duration = Duration::from_millis(50);

/// Tries of a look that finds no room for a connection, and the pause between two of them.
const LIVENESS_ATTEMPTS: usize = 3;
const LIVENESS_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A request that is not sent to any server, for the servers that crashed under it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Quarantine {
    pub(super) request: Fingerprint,
    /// Whether that stands; else it is on probation, and another attempt may be sent.
    pub(super) is_confirmed: bool,
}

/// One request of one caller, as far as servers may end under it.
#[derive(Debug, Clone, Copy)]
pub(super) struct CrashTracker<'a> {
    pub(super) traffic: &'a Rc<Traffic>,
    pub(super) request: &'a BufferedRequest,
    pub(super) caller: IpAddr,
}

impl CrashTracker<'_> {
    /// Why the request is not sent to a server now; `None` if it may be.
    pub(super) fn quarantine(self, view: &View) -> Option<Quarantine> {
        let request = fingerprint::of_suspect(&view.suspects, self.request)?;
        if view.suspects.is_quarantined(&request, self.caller) {
            return Some(Quarantine { request, is_confirmed: true });
        }
        let last = view.suspects.on_probation(&request, self.caller)?;
        let may_probe = self.traffic.may_probe(request, view.rank, last);
        (!may_probe).then_some(Quarantine { request, is_confirmed: false })
    }

    /// Whether the request may be sent once more at once, given that servers have ended under this attempt.
    ///
    /// Sent on and on, one attempt would end as many servers as it may be sent to before any other host hears of the first. After one lost
    /// server its caller is served as before. The last server that it takes to refuse a request is left to another attempt, which
    /// meets what all hosts know by then.
    pub(super) fn may_retry(self, view: &View, crashed: &BTreeSet<ServerId>) -> bool {
        if crashed.is_empty() {
            return true;
        }
        let request = fingerprint::of_suspect(&view.suspects, self.request);
        let crashes =
            request.map_or(0, |request| view.suspects.crashed_servers(&request, self.caller));
        crashes.max(crashed.len()) + 1 < QUARANTINE_THRESHOLD
    }

    /// Takes note of what a send says of its server. Returns whether the server is known to have ended under the request.
    pub(super) async fn on_sent(
        self,
        server: &Server,
        max_connections: u32,
        sent: &SendOutcome,
        waits: bool,
    ) -> bool {
        match sent {
            SendOutcome::Answered { success: true, .. } => {
                // As known now: servers may have ended under it at other hosts while it ran.
                self.on_success(&self.traffic.view());
                false
            }
            SendOutcome::NotRun(NotRun::NotListening | NotRun::OtherServer) => {
                report_crash(self.traffic, server);
                false
            }
            SendOutcome::Lost(Lost::Broken) => {
                self.traffic.server(server).broken.on_broken(self.running());
                let (traffic, server) = (self.traffic.clone(), server.clone());
                let check = async move { check_liveness(&traffic, &server, max_connections).await };
                let check = spawn_local(check);
                if !waits {
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

    /// A request that has run to a good end has not ended the servers that this caller's attempts were at before.
    fn on_success(self, view: &View) {
        let body = self.request.body.clone();
        self.traffic.on_good_answer(fingerprint::head(self.request), body, self.caller);
        let request = fingerprint::of_suspect(&view.suspects, self.request);
        let is_suspect =
            |request: &Fingerprint| view.suspects.crashed_servers(request, self.caller) > 0;
        if let Some(request) = request.filter(is_suspect) {
            let outcome = Outcome::Succeeded { caller: self.caller };
            self.traffic.tell_crash(Fact { request, outcome, at: self.traffic.now() });
        }
    }

    /// Notes that its caller has left while it was at a server.
    pub(super) fn on_caller_disconnect(self, server: &Server) {
        self.traffic.server(server).broken.on_left(self.running());
    }
}

/// Looks whether a server still takes connections. Returns whether it has ended.
async fn check_liveness(traffic: &Traffic, server: &Server, max_connections: u32) -> bool {
    let state = traffic.server(server);
    for _ in 0..LIVENESS_ATTEMPTS {
        if !state.broken.may_look(traffic.now()) {
            return false;
        }
        match state.pool.connect(max_connections).await {
            Ok(conn) => {
                state.broken.on_taken(traffic.now());
                state.pool.release(conn, traffic.now(), None);
                return false;
            }
            Err(err) if err.is_refused() => return report_crash(traffic, server),
            Err(pool::Error::Connect(_) | pool::Error::Silent) => return false,
            // The other connections to a server that has ended break at the same time, and make room when they are dropped.
            Err(pool::Error::Full) => tokio::time::sleep(LIVENESS_RETRY_DELAY).await,
        }
    }
    false
}

/// Tells of the requests that were running at a server which has ended. Returns whether it ended without a word.
fn report_crash(traffic: &Traffic, server: &Server) -> bool {
    let now = traffic.now();
    let running = traffic.server(server).broken.take(now);
    // As known now: it may have said that it leaves while they ran.
    let view = traffic.view();
    let leaving = view.leaving.get(&server.id).map(|leaving| leaving.elapsed(now));
    let had_said =
        |at: Instant| leaving.is_some_and(|since| since >= now.saturating_duration_since(at));
    for Running { request, caller, at } in running.into_iter().filter(|r| !had_said(r.at)) {
        let outcome = Outcome::Crashed { server: server.id.clone(), caller };
        traffic.tell_crash(Fact { request, outcome, at });
    }
    !had_said(now)
}
