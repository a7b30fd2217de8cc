//! Whether a request is sent once more.

use jacinthbeam_dispatch::retry::{self, Decision, MAX_SENDS, Rejection, TimeLeft};
use jacinthbeam_route::Server;

use super::job::Job;
use crate::{
    process::server_state::ServerState,
    send_outcome::{Lost, NotRun, SendOutcome},
    version::View,
};

/// Share of the route's objective that a request may wait while its key moves, after the former owner has released it.
///
/// A planned move takes as long as the requests that still run on the moving keys. That is mostly less than this, and the
/// rest of the objective is left for the request itself.
const MOVE_WAIT_SHARE: f64 = 0.4;

/// Whether the outcome of a send allows another one after `sends` sends. The retry budget is charged before that send, see
/// [`may_repeat`].
pub(super) async fn wants_retry(
    job: &Job,
    view: &View,
    server: &Server,
    sent: &SendOutcome,
    sends: u32,
) -> bool {
    let state = job.traffic.server(server);
    count_rejections(job, &state, sent);
    match sent {
        SendOutcome::Answered { success: true, .. } => false,
        SendOutcome::Answered { success: false, .. } => job.may_run_again(sends) && !job.keyed,
        // The same server would refuse it again, and each retry uses up the fleet's retry budget. So a retry waits for
        // another owner.
        SendOutcome::NotRun(NotRun::NotOwner) if job.keyed => {
            sends < MAX_SENDS && wait_for_ownership_change(job, view).await
        }
        SendOutcome::NotRun(NotRun::OtherServer | NotRun::NotListening | NotRun::Unreachable)
            if job.keyed =>
        {
            false
        }
        SendOutcome::NotRun(NotRun::Full) if job.keyed => {
            retries_keyed(job, view, &state)
                && is_likely_random(job, view, server, &state, sends) == Decision::Retry
        }
        SendOutcome::NotRun(NotRun::Full | NotRun::RateLimited | NotRun::Paused) => {
            !job.keyed && sends < MAX_SENDS
        }
        SendOutcome::NotRun(_) => sends < MAX_SENDS,
        SendOutcome::Lost(Lost::Late) => false,
        SendOutcome::Lost(Lost::Broken) => job.may_run_again(sends),
    }
}

/// Whether the retry budget allows one more send of the request, to this server. If so, the send is charged to the budget.
pub(super) fn may_repeat(
    job: &Job,
    view: &View,
    state: &ServerState,
    last: Option<&SendOutcome>,
) -> bool {
    if !retries_keyed(job, view, state) && !view.load_shared.contains_key(&job.service) {
        return job.traffic.may_repeat(&job.service, view.hosts);
    }
    let (time, rank) = (time_left(job, state), job.route.priority);
    // A request whose key has moved, or whose connection broke, is served at the next send, and leaves no reserve.
    let is_rejected = matches!(last, Some(SendOutcome::NotRun(NotRun::Full)));
    let spend = |budget| match is_rejected {
        true => retry::spend(time, budget),
        false => retry::spend_any(budget),
    };
    let now = job.traffic.now();
    match job.traffic.budgets.spend(&job.service, rank, view.hosts, now, spend) {
        Decision::Retry => true,
        Decision::Refuse(why) => {
            job.not_retried.set(Some(why));
            false
        }
    }
}

/// Whether keyed requests that the server rejects as full are sent again: if servers state their load, or if the service gets
/// requests of several ranks. Without either, a retry would displace a request that is worth as much.
fn retries_keyed(job: &Job, view: &View, state: &ServerState) -> bool {
    let is_stated = state.stated_load.get().is_some();
    let has_several_ranks = || {
        view.mixed_ranks.contains_key(&job.service)
            && job.traffic.budgets.has_several_ranks(&job.service)
    };
    job.keyed && (is_stated || has_several_ranks())
}

fn count_rejections(job: &Job, state: &ServerState, sent: &SendOutcome) {
    let mut rejections = state.rejections.get();
    match sent {
        SendOutcome::NotRun(NotRun::Full) => rejections.on_rejected(job.traffic.now()),
        SendOutcome::Answered { .. } => rejections.on_answered(),
        SendOutcome::NotRun(_) | SendOutcome::Lost(_) => return,
    }
    state.rejections.set(rejections);
}

/// Decides about a keyed request that its owner has rejected as full.
fn is_likely_random(
    job: &Job,
    view: &View,
    server: &Server,
    state: &ServerState,
    sends: u32,
) -> Decision {
    let now = job.traffic.now();
    let age = |at| now.saturating_duration_since(at);
    let rejection = Rejection {
        sends,
        gated: job.traffic.gate(&server.id).is_some_and(|gate| gate.rank <= job.route.priority),
        stated: state.stated_load.get().map(|(at, stated)| (age(at), stated)),
        in_streak: state.rejections.get().is_long(now),
    };
    let (time, rank) = (time_left(job, state), job.route.priority);
    let decide = |budget| retry::decide(rejection, time, budget);
    let decision = job.traffic.budgets.decide(&job.service, rank, view.hosts, now, decide);
    if let Decision::Refuse(why) = decision {
        job.not_retried.set(Some(why));
    }
    decision
}

fn time_left(job: &Job, state: &ServerState) -> TimeLeft {
    let objective = job.received + job.route.objective;
    let of_rank = job.traffic.service_times.borrow().get(&job.service, job.route.priority);
    TimeLeft {
        deadline: job.left(),
        objective: objective.saturating_duration_since(job.traffic.now()),
        // The mean of the server is over all ranks, of which the less urgent ones may take several times as long.
        service_time: of_rank.unwrap_or_else(|| state.stats.borrow().mean()),
    }
}

/// Waits until the owner or the fencing token of the key differs from that in `view`. Returns whether it does.
async fn wait_for_ownership_change(job: &Job, view: &View) -> bool {
    let of = |view: &View| {
        let held = view.maps.get(&job.service)?.lookup(job.key?);
        Some((held.owner.clone(), held.token))
    };
    let before = of(view);
    let begun = job.traffic.now();
    while job.may_wait(MOVE_WAIT_SHARE) && of(&job.traffic.view()) == before {
        job.traffic.view_changed(job.wait_left(MOVE_WAIT_SHARE)).await;
    }
    job.traffic.counters.on_wait(job.traffic.now().saturating_duration_since(begun));
    of(&job.traffic.view()) != before
}
