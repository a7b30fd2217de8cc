//! Running a request at the attendant of its owner.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Uri, header::CONTENT_LENGTH};
use jacinthbeam_admission::{
    duplicate::{Begin, Scope, StoredAnswer},
    server::{Outcome, Ticket},
};
use jacinthbeam_native::{
    backend::{self, AnswerBody, Failure},
    format::backend as format,
};
use jacinthbeam_peer::{
    Body,
    body::Cut,
    message::{ForwardHead, ForwardReply},
};
use jacinthbeam_types::prelude::*;

use super::body::{OutBody, fingerprint};
use crate::{
    process::{
        Traffic,
        memory::{PATIENCE, Place as Kept},
        usage::Sent,
    },
    version::attended::{Attended, Place},
};

/// Runs a request on a backend server that this host attends.
pub async fn run(cx: &Arc<Traffic>, head: ForwardHead, body: Body) -> (ForwardReply, Body) {
    let id = head.id;
    let deadline = cx.clock.now() + head.deadline;
    match try_run(cx, head, body, deadline).await {
        Ok(answer) => answer,
        Err(refused) => {
            let Refused { refusal, attendant } = refused;
            (ForwardReply::Refused { id, refusal, attendant }, Body::empty())
        }
    }
}

struct Refused {
    refusal: Refusal,
    attendant: Option<std::net::SocketAddr>,
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, attendant: None }
    }
}

async fn try_run(
    cx: &Arc<Traffic>,
    head: ForwardHead,
    body: Body,
    deadline: Instant,
) -> Result<(ForwardReply, Body), Refused> {
    let version = cx.version.load_full();
    let Some(attended) = version.attended.get(&head.server).cloned() else {
        let refusal = Refusal::not_run(Reason::NotAttendant);
        return Err(Refused { refusal, attendant: version.attendants.get(&head.server).copied() });
    };
    let service = version.state.service(&head.service);
    let service = service.ok_or(Refusal::not_run(Reason::UnknownService))?;
    let slot = match version.state.services.get(&head.service) {
        Some(division) => Some(division.slot_of(KeyHash::of(&head.key))),
        None => None,
    };
    let ticket = Ticket { id: head.id, team: service.team.clone(), slot, deadline };
    let next = version.state.next;
    let work = Work { cx: cx.clone(), attended, slot, next, deadline };
    match head.idempotency_key.clone() {
        None => work.once(head, body, ticket, None).await.map_err(Refused::from),
        Some(key) => work.remembered(head, body, ticket, key).await.map_err(Refused::from),
    }
}

/// One request at its attendant.
struct Work {
    cx: Arc<Traffic>,
    attended: Arc<Attended>,
    slot: Option<SlotId>,
    /// First record that the fold which gave the slot does not contain.
    next: Offset,
    deadline: Instant,
}

impl Work {
    async fn once(
        &self,
        head: ForwardHead,
        body: Body,
        ticket: Ticket,
        kept: Option<&Kept>,
    ) -> Result<(ForwardReply, Body), Refusal> {
        self.attended.check(self.slot, self.next)?;
        let key = self.slot.map(|_| KeyHash::of(&head.key));
        let offered = self.cx.clock.now();
        let mut place = self.attended.admit(ticket, key).await?;
        let waited = self.cx.clock.now().saturating_duration_since(offered);
        self.cx.metrics.queued(&head.service, waited);
        let (team, service) = self.share(&head);
        let id = head.id;
        let is_head = head.method == Method::HEAD.as_str();
        let req = match self.request(head, body, kept) {
            Ok(req) => req,
            Err(refusal) => {
                place.finish(Outcome::NotSent);
                return Err(refusal);
            }
        };
        let sent = Sent::new(self.cx.clone(), team, service);
        let closed = place.watch();
        let sent_under = req.headers().get(format::TOKEN).cloned();
        let may_send = || self.check_again(sent_under.as_ref());
        match self.attended.pool.send_watched(req, self.deadline, closed, may_send).await {
            Ok(answer) => {
                sent.end(Verdict::Ran);
                Ok(stream_answer(id, is_head, answer, place))
            }
            Err(failure) => {
                sent.end(failure.verdict);
                place.finish(outcome(&failure));
                Err(failure.into())
            }
        }
    }

    /// Runs a request with an idempotency key: at most once, and a repeat gets the first answer.
    async fn remembered(
        &self,
        head: ForwardHead,
        body: Body,
        ticket: Ticket,
        key: IdempotencyKey,
    ) -> Result<(ForwardReply, Body), Refusal> {
        let cut = |_| Refusal::not_run(Reason::Cancelled);
        let body = body.collect(self.cx.limits.held_body).await.map_err(cut)?;
        let Some(slot) = self.slot else { return Err(Refusal::not_run(Reason::BadRequest)) };
        let scope = Scope {
            key: KeyHash::of(&head.key),
            idempotency_key: key,
            service: head.service.clone(),
        };
        let print = fingerprint(&head.method, &head.path, &body);
        let id = head.id;
        let until = self.deadline.min(self.cx.clock.now() + PATIENCE);
        self.attended.check(self.slot, self.next)?;
        let kept = self.cx.memory.until_ready(&self.attended.server, slot, until).await?;
        let attempt = match self.cx.memory.begin(&kept, &scope, print) {
            Begin::Run { attempt } => attempt,
            Begin::Replay(answer) => return Ok(replay(id, &answer)),
            Begin::Refuse(refusal) => return Err(refusal),
        };
        // Ends the attempt as one that may have run if this task is dropped anywhere below.
        let mut memo = self.cx.memory.attempt(kept.clone(), scope, attempt);
        // Without the copy, a repeat after the loss of this host would run again.
        if let Err(refusal) = memo.until_copied(until).await {
            memo.not_run();
            return Err(refusal);
        }
        let answered = self.once(head, Body::from(body), ticket, Some(&kept)).await;
        let (reply, body) = match answered {
            Ok(answered) => answered,
            Err(refusal) => {
                match refusal.verdict {
                    Verdict::NotRun => memo.not_run(),
                    _ => memo.unknown(),
                }
                return Err(refusal);
            }
        };
        self.keep_answer(id, reply, body, memo).await
    }

    /// Holds the answer so that it can be remembered; one too large to hold is passed on and only noted.
    async fn keep_answer(
        &self,
        id: RequestId,
        reply: ForwardReply,
        body: Body,
        mut memo: crate::process::memory::Attempt,
    ) -> Result<(ForwardReply, Body), Refusal> {
        let ForwardReply::Answer { status, headers, body_length, .. } = reply else {
            memo.unknown();
            return Ok((reply, body));
        };
        if body_length.is_none_or(|length| length > self.cx.limits.kept_answer) {
            memo.answered(None);
            return Ok((ForwardReply::Answer { id, status, headers, body_length }, body));
        }
        let Ok(body) = body.collect(self.cx.limits.kept_answer as usize).await else {
            // The head of an answer proves that the request ran, though its answer can't be repeated.
            memo.answered(None);
            return Err(Refusal {
                verdict: Verdict::Ran,
                reason: Reason::AnswerCut,
                retry_after: None,
            });
        };
        let answer = StoredAnswer { status, headers: headers.clone(), body: body.to_vec() };
        memo.answered(Some(answer));
        let reply = ForwardReply::Answer { id, status, headers, body_length };
        Ok((reply, Body::from(body)))
    }

    /// Builds the request under the permit of this very moment.
    ///
    /// The process may have been paused since the place was given. A permit that has ended by now must not be used: its
    /// slot may have another owner. What is written after this check still carries the token, which the backend server checks.
    fn request(
        &self,
        head: ForwardHead,
        body: Body,
        kept: Option<&Kept>,
    ) -> Result<Request<backend::RequestBody>, Refusal> {
        let bad = |_| Refusal::not_run(Reason::BadRequest);
        let permit = self.attended.check(self.slot, self.next)?;
        // The request may have waited while this host lost the server and got it back. Its key was looked up in the memory of
        // the earlier token, and another attendant may have run it in between.
        if kept.is_some_and(|kept| kept.token != permit.token || !self.cx.memory.is_keeper(kept)) {
            return Err(Refusal::not_run(Reason::NoCopy));
        }
        let uri: Uri = head.path.parse().map_err(|_| Refusal::not_run(Reason::BadRequest))?;
        let left = self.deadline.saturating_duration_since(self.cx.clock.now());
        let body = match body.length() {
            Some(0) => backend::empty(),
            _ => backend::stream(OutBody::from(body)),
        };
        let mut req =
            Request::builder().method(head.method.as_str()).uri(uri).body(body).map_err(bad)?;
        let headers = req.headers_mut();
        for (name, value) in head.headers {
            let name =
                HeaderName::try_from(name).map_err(|_| Refusal::not_run(Reason::BadRequest))?;
            let value =
                HeaderValue::try_from(value).map_err(|_| Refusal::not_run(Reason::BadRequest))?;
            headers.append(name, value);
        }
        headers.remove(CONTENT_LENGTH);
        insert(headers, format::TOKEN, permit.token.to_string())?;
        insert(headers, format::REQUEST, head.id.to_string())?;
        insert(headers, format::DEADLINE, left.as_millis().to_string())?;
        if let Some(slot) = self.slot {
            insert(headers, format::SLOT, slot.to_string())?;
            insert(headers, format::KEY, KeyHash::of(&head.key).to_string())?;
        }
        Ok(req)
    }

    /// Whether the permit that the request was built under still holds, after the wait for a connection.
    fn check_again(&self, sent_under: Option<&HeaderValue>) -> Result<(), Reason> {
        let permit = self.attended.check(self.slot, self.next).map_err(|refusal| refusal.reason)?;
        let token = permit.token.to_string();
        match sent_under.is_some_and(|sent| sent.as_bytes() == token.as_bytes()) {
            true => Ok(()),
            false => Err(Reason::NoLease),
        }
    }

    fn share(&self, head: &ForwardHead) -> (TeamName, ServiceName) {
        let version = self.cx.version.load();
        let team = version.state.service(&head.service).map(|service| service.team.clone());
        // Removed while the request waited: what runs is still counted, against the service's own name.
        let unknown = || head.service.as_str().parse().expect("a service's name is a name");
        (team.unwrap_or_else(unknown), head.service.clone())
    }
}

fn insert(headers: &mut http::HeaderMap, name: &'static str, value: String) -> Result<(), Refusal> {
    let value = HeaderValue::try_from(value).map_err(|_| Refusal::not_run(Reason::BadRequest))?;
    headers.insert(name, value);
    Ok(())
}

fn outcome(failure: &Failure) -> Outcome {
    use jacinthbeam_native::format::backend::RefusedBecause;
    match (failure.verdict, failure.refused) {
        (Verdict::NotRun, Some(RefusedBecause::Shed)) => Outcome::Shed,
        (Verdict::NotRun, Some(_)) => Outcome::Refused,
        (Verdict::NotRun, None) => Outcome::NotSent,
        _ => Outcome::Lost,
    }
}

fn replay(id: RequestId, answer: &StoredAnswer) -> (ForwardReply, Body) {
    let reply = ForwardReply::Answer {
        id,
        status: answer.status,
        headers: answer.headers.clone(),
        body_length: Some(answer.body.len() as u64),
    };
    (reply, Body::from(Bytes::from(answer.body.clone())))
}

/// Passes the answer on as it comes. The place is free when its end has been read.
fn stream_answer(
    id: RequestId,
    is_head: bool,
    answer: backend::Answer,
    place: Place,
) -> (ForwardReply, Body) {
    let (parts, body) = answer.into_parts();
    let length = http_body::Body::size_hint(&body).exact();
    let headers = parts
        .headers
        .iter()
        // The length is given by the body, but for an answer to HEAD, which tells the length of a body that does not come.
        .filter(|(name, _)| is_head || *name != CONTENT_LENGTH)
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect();
    let status = parts.status.as_u16();
    let reply = ForwardReply::Answer { id, status, headers, body_length: length };
    if length == Some(0) {
        place.finish(Outcome::Answered);
        return (reply, Body::empty());
    }
    (reply, Body::from_stream(answer_stream(body, place), length))
}

fn answer_stream(
    body: AnswerBody,
    place: Place,
) -> impl futures_util::Stream<Item = Result<Bytes, Cut>> + Send {
    futures_util::stream::unfold(Some((body, place)), |state| async move {
        let (mut body, place) = state?;
        match body.next().await {
            // Whoever writes an answer of known length does not ask for more after its last byte. Were the place kept until
            // then, it would be dropped as lost and stay taken until the backend server next says how many requests run.
            Some(Ok(data)) if http_body::Body::is_end_stream(&body) => {
                place.finish(Outcome::Answered);
                Some((Ok(data), None))
            }
            Some(Ok(data)) => Some((Ok(data), Some((body, place)))),
            Some(Err(_)) => {
                place.finish(Outcome::Lost);
                Some((Err(Cut::ConnectionLost), None))
            }
            None => {
                place.finish(Outcome::Answered);
                None
            }
        }
    })
}
