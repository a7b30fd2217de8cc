//! Serves requests that other hosts forward because they reach no backend server.

use std::{cell::Cell, fmt, rc::Rc, sync::Arc, time::Instant};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{
    admit::Admitted,
    body,
    end::Conclusion,
    job::{Hop, Job},
    send::BufferedRequest,
    serve::run,
};
use crate::process::{
    peers::forward::{
        ForwardedConclusion, ForwardedRequest, MAX_HEAD_BYTES, Malformed, Message, decode,
        encode_head, from_list, to_list,
    },
    traffic::Traffic,
    usage::Use,
};

/// Why a forwarded request is not served.
#[derive(Debug)]
enum Declined {
    /// This host is shutting down, reaches no server itself, has no configuration, or has too many requests.
    Unavailable,
    /// There is no memory for the body, or it did not arrive completely.
    Body(body::Error),
    /// The message can't be decoded.
    Malformed(Malformed),
}

impl fmt::Display for Declined {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable => f.write_str("this host can't serve it now"),
            Self::Body(err) => write!(f, "the body was not read: {err:?}"),
            Self::Malformed(Malformed(why)) => write!(f, "the message can't be decoded: {why}"),
        }
    }
}

/// Serves a request that another host has forwarded.
pub(crate) async fn serve(traffic: Rc<Traffic>, req: Request<Incoming>) -> Response<Message> {
    let job = match accept(&traffic, req).await {
        Ok(job) => job,
        Err(declined) => return decline(&declined),
    };
    let conclusion = run(&Rc::new(job)).await;
    if conclusion.is_unreachable() && traffic.may_be_partitioned() {
        return decline(&Declined::Unavailable);
    }
    encode(conclusion).await
}

fn decline(declined: &Declined) -> Response<Message> {
    tracing::debug!(part = "request", event = "forward-declined", why = %declined);
    let mut res = Response::new(Message::plain(Bytes::new()));
    *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    res
}

async fn accept(traffic: &Rc<Traffic>, req: Request<Incoming>) -> Result<Job, Declined> {
    let received = traffic.now();
    if traffic.is_stopping() || traffic.is_partitioned() || !traffic.has_room_for_forwarded() {
        return Err(Declined::Unavailable);
    }
    let Some(cfg) = traffic.view().config.clone() else { return Err(Declined::Unavailable) };
    let max_bytes = cfg.limits.body + MAX_HEAD_BYTES;
    let message = body::read(req.into_body(), max_bytes, &traffic.request_memory).await;
    let message = message.map_err(Declined::Body)?;
    let (head, body) = decode(&message).map_err(Declined::Malformed)?;
    job(traffic, head, body, received).map_err(Declined::Malformed)
}

fn job(
    traffic: &Rc<Traffic>,
    head: ForwardedRequest,
    body: Bytes,
    received: Instant,
) -> Result<Job, Malformed> {
    let malformed = |err: http::Error| Malformed(err.to_string());
    traffic.on_forwarded_by(&head.origin);
    let request = BufferedRequest {
        method: Method::try_from(head.method.as_str()).map_err(|err| malformed(err.into()))?,
        target: Uri::try_from(head.target).map_err(|err| malformed(err.into()))?,
        headers: from_list(head.headers)?,
        body,
        id: HeaderValue::try_from(head.id).map_err(|err| malformed(err.into()))?,
    };
    Ok(Job {
        traffic: traffic.clone(),
        request,
        caller: head.caller,
        connections: head.connections,
        keyed: head.keyed,
        key: head.key,
        idempotent: head.idempotent,
        usage: Use::new(&traffic.usage, head.team.as_ref(), &head.service),
        team: head.team,
        service: head.service,
        received,
        deadline: received + head.left,
        route: Arc::new(head.route),
        hop: Hop::Forwarded { sends: head.sends },
        admitted: Admitted::default(),
        not_retried: Cell::default(),
    })
}

async fn encode(conclusion: Conclusion) -> Response<Message> {
    let (head, body) = match conclusion {
        Conclusion::Answered { res, success } => {
            let (parts, body) = res.into_parts();
            let (status, headers) = (parts.status.as_u16(), to_list(&parts.headers));
            let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
            (ForwardedConclusion::Answered { status, headers, success }, body)
        }
        Conclusion::Refused { refusal, tried } => {
            (ForwardedConclusion::Refused { refusal, tried: tried as u32 }, Bytes::new())
        }
    };
    Response::new(Message::new(encode_head(&head), body))
}
