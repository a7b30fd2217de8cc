//! One request from its admission to its answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use jacinthbeam_native::format::backend::{
    DEADLINE, KEY, REFUSED, REQUEST, RefusedBecause, SLOT, TOKEN,
};
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{
    run::{Outcome, Run},
    state::{Shared, State},
};
use crate::net::{Answer, Body, Dropped, answer, json, read_body};

/// Request header: milliseconds of service time in place of the server's own.
pub const SERVICE_MS: &str = "standin-service-ms";
/// Request header: bytes of padding in the answer, at most 64 MiB.
pub const ANSWER_BYTES: &str = "standin-answer-bytes";
/// Largest padding of an answer, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// Answer to a request that ran.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Server that ran it.
    pub server: ServerId,
    /// Its id, if it named one.
    pub request: Option<String>,
    /// The caller's key.
    pub key: String,
    /// Slot of the key.
    pub slot: Option<SlotId>,
    /// Token that it was sent under.
    pub token: Option<Token>,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Bytes of its body.
    pub body_bytes: u64,
    /// Padding asked for by [`ANSWER_BYTES`].
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub padding: String,
}

/// What the headers of a request say. Those that are absent or malformed are `None`.
#[derive(Debug)]
struct Head {
    request: Option<RequestId>,
    key: String,
    slot: Option<SlotId>,
    token: Option<Token>,
    deadline: Option<Instant>,
    service_time: Option<Duration>,
    padding: usize,
}

impl Head {
    fn of(headers: &HeaderMap, now: Instant) -> Self {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let millis = |name: &str| text(name)?.parse().ok().map(Duration::from_millis);
        Self {
            request: text(REQUEST).and_then(|text| text.parse().ok()),
            key: text(KEY).unwrap_or_default().to_owned(),
            slot: text(SLOT).and_then(|text| text.parse().ok()),
            token: text(TOKEN).and_then(|text| text.parse().ok()),
            deadline: millis(DEADLINE).and_then(|left| now.checked_add(left)),
            service_time: millis(SERVICE_MS),
            padding: text(ANSWER_BYTES).and_then(|text| text.parse().ok()).unwrap_or(0),
        }
    }
}

/// Runs one request and answers it, or refuses it.
pub(super) async fn run(shared: &Arc<Shared>, req: Request<Incoming>) -> Answer {
    let head = Head::of(req.headers(), shared.options.clock.now());
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let running = match Running::admit(shared, &head, &path) {
        Ok(running) => running,
        Err(because) => return Ok(refusal(because)),
    };
    let (parts, body) = req.into_parts();
    let body = read_body(body).await.ok_or(Dropped)?;
    serve(shared, running.service_time).await;
    match running.take_effect(head.deadline) {
        Effect::Ran => {}
        Effect::Aborted(because) => return Ok(refusal(because)),
        Effect::Lost => return Err(Dropped),
    }
    let late = shared.lock().faults.late;
    if !late.is_zero() {
        tokio::time::sleep(late).await;
    }
    let echo = Echo {
        server: shared.options.server.clone(),
        request: head.request.map(|request| request.to_string()),
        key: head.key,
        slot: head.slot,
        token: head.token,
        method: parts.method.to_string(),
        path,
        body_bytes: body.len() as u64,
        padding: "x".repeat(head.padding.min(MAX_ANSWER)),
    };
    let res = json(StatusCode::OK, &echo);
    Ok(if shared.lock().cuts_answer() { res.map(Body::cut) } else { res })
}

/// Waits for a place and passes the service time in it.
async fn serve(shared: &Shared, service_time: Duration) {
    let _place = shared.places.acquire().await;
    if !service_time.is_zero() {
        tokio::time::sleep(service_time).await;
    }
    let _ = shared.hold.subscribe().wait_for(|hold| !hold).await;
    shared.server.freeze.work().await;
}

fn refusal(because: RefusedBecause) -> Response<Body> {
    let status = match because {
        RefusedBecause::Shed => StatusCode::TOO_MANY_REQUESTS,
        RefusedBecause::Draining => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::CONFLICT,
    };
    let mut res = answer(status, format!("not run: {}", because.as_str()));
    res.headers_mut().insert(REFUSED, HeaderValue::from_static(because.as_str()));
    res
}

/// A request between its admission and its effect. If it is dropped before, it was cancelled.
struct Running {
    shared: Arc<Shared>,
    number: u64,
    incarnation: Incarnation,
    service_time: Duration,
    run: Option<Run>,
}

enum Effect {
    Ran,
    Aborted(RefusedBecause),
    /// The server died meanwhile.
    Lost,
}

impl Running {
    fn admit(shared: &Arc<Shared>, head: &Head, path: &str) -> Result<Self, RefusedBecause> {
        let mut state = shared.lock();
        let now = shared.options.clock.now();
        if let Err(because) = may_start(shared, &state, head, now) {
            state.runs.refused(because);
            return Err(because);
        }
        let number = state.next_run;
        state.next_run += 1;
        state.running.insert(number, head.token);
        let running = state.running.len();
        state.runs.running(running);
        let run = Run {
            request: head.request,
            key: head.key.clone(),
            path: path.to_owned(),
            slot: head.slot,
            token: head.token,
            at_start: now,
            at_effect: None,
            at_end: now,
            outcome: Outcome::Cancelled,
        };
        Ok(Self {
            shared: shared.clone(),
            number,
            incarnation: state.fence.incarnation,
            service_time: state.next_service_time(shared, head),
            run: Some(run),
        })
    }

    /// The effect, if the request may still have it. Check and effect are one step.
    fn take_effect(mut self, deadline: Option<Instant>) -> Effect {
        let shared = self.shared.clone();
        let mut state = shared.lock();
        // Another thread may be here while a kill closes the connection. An effect after the kill
        // would be one of a dead process; since a kill changes the incarnation under the same lock,
        // none can follow it.
        if state.fence.incarnation != self.incarnation {
            return Effect::Lost;
        }
        let now = shared.options.clock.now();
        let checked = self.may_finish(&state, deadline, now);
        if checked.is_ok()
            && let Some(run) = &mut self.run
        {
            run.at_effect = Some(now);
        }
        self.end(&mut state, checked.map_or_else(Outcome::Aborted, |()| Outcome::Ran));
        checked.map_or_else(Effect::Aborted, |()| Effect::Ran)
    }

    fn may_finish(
        &self,
        state: &State,
        deadline: Option<Instant>,
        now: Instant,
    ) -> Result<(), RefusedBecause> {
        let options = &self.shared.options;
        if deadline.is_some_and(|deadline| now >= deadline) {
            return Err(RefusedBecause::DeadlinePassed);
        }
        let Some(run) = self.run.as_ref().filter(|_| options.checks_grants) else {
            return Ok(());
        };
        if !options.older_tokens_finish {
            state.fence.check_token(run.token)?;
        }
        state.fence.check_slot(run.slot, self.shared.clock(state))
    }

    fn end(&mut self, state: &mut State, outcome: Outcome) {
        state.running.remove(&self.number);
        if let Some(mut run) = self.run.take() {
            run.at_end = self.shared.options.clock.now();
            run.outcome = outcome;
            state.runs.ended(run);
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.run.is_none() {
            return;
        }
        let shared = self.shared.clone();
        let mut state = shared.lock();
        let same_life = state.fence.incarnation == self.incarnation;
        self.end(&mut state, if same_life { Outcome::Cancelled } else { Outcome::Lost });
    }
}

fn may_start(
    shared: &Shared,
    state: &State,
    head: &Head,
    now: Instant,
) -> Result<(), RefusedBecause> {
    if state.faults.draining {
        return Err(RefusedBecause::Draining);
    }
    if state.faults.shed {
        return Err(RefusedBecause::Shed);
    }
    if head.deadline.is_some_and(|deadline| now >= deadline) {
        return Err(RefusedBecause::DeadlinePassed);
    }
    if !shared.options.checks_grants {
        return Ok(());
    }
    state.fence.check_token(head.token)?;
    state.fence.check_slot(head.slot, shared.clock(state))
}

impl State {
    /// Time that the next request takes; counts the cold start down.
    fn next_service_time(&mut self, shared: &Shared, head: &Head) -> Duration {
        let warm = head.service_time.unwrap_or(shared.options.service_time);
        if self.cold == 0 {
            return warm;
        }
        self.cold -= 1;
        warm + shared.options.cold_start.extra
    }

    fn cuts_answer(&mut self) -> bool {
        let cuts = self.faults.answers_to_cut > 0;
        self.faults.answers_to_cut -= u32::from(cuts);
        cuts
    }
}
