//! One stream: checks the request, runs the handler and sends what it says.

use std::{fmt, future::Future, future::poll_fn, pin::pin, sync::Arc};

use bytes::Bytes;
use h2::{RecvStream, SendStream, server::SendResponse};
use http::{Method, Request, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    body::Body,
    connection::Stream,
    message::{Answer, ForwardHead, ForwardReply, Question, VERSION},
    request::{
        receive::{self, Message, Received},
        send, wire,
    },
    server::{Cancelled, Options, bind::Server, cancelled},
};

/// A request that is answered by a status and a text.
#[derive(Debug)]
struct Rejection {
    status: StatusCode,
    text: String,
}

impl Rejection {
    fn new(status: StatusCode, text: impl fmt::Display) -> Self {
        Self { status, text: text.to_string() }
    }
}

enum Route {
    Ask,
    Forward,
}

/// Answers one request. `stream` is `None` if the connection takes no more; the request then gets no answer.
pub(crate) async fn serve<A, AF, F, FF>(
    server: Arc<Server<A, F>>,
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    stream: Option<Stream>,
) where
    A: Fn(Question) -> AF + Send + Sync + 'static,
    AF: Future<Output = Answer> + Send + 'static,
    F: Fn(ForwardHead, Body, Cancelled) -> FF + Send + Sync + 'static,
    FF: Future<Output = (ForwardReply, Body)> + Send + 'static,
{
    let Some(_stream) = stream else {
        respond.send_reset(h2::Reason::REFUSED_STREAM);
        return;
    };
    let served = match route(&req) {
        Ok(Route::Ask) => ask(&server, req.into_body(), &mut respond).await,
        Ok(Route::Forward) => forward(&server, req.into_body(), &mut respond).await,
        Err(rejection) => Err(rejection),
    };
    if let Err(rejection) = served {
        log::debug!("peer: rejected a request: {}", rejection.text);
        reject(&mut respond, &rejection);
    }
}

fn route(req: &Request<RecvStream>) -> Result<Route, Rejection> {
    let route = match req.uri().path() {
        wire::ASK => Route::Ask,
        wire::FORWARD => Route::Forward,
        path => {
            let text = format!("there is nothing at {path:?}");
            return Err(Rejection::new(StatusCode::NOT_FOUND, text));
        }
    };
    if req.method() != Method::POST {
        let text = format!("the method is POST, not {}", req.method());
        return Err(Rejection::new(StatusCode::METHOD_NOT_ALLOWED, text));
    }
    wire::check_version(req.headers()).map_err(|theirs| {
        let text = format!("this host speaks wire version {VERSION}, not {theirs}");
        Rejection::new(StatusCode::HTTP_VERSION_NOT_SUPPORTED, text)
    })?;
    Ok(route)
}

async fn ask<A, AF, F>(
    server: &Server<A, F>,
    mut recv: RecvStream,
    respond: &mut SendResponse<Bytes>,
) -> Result<(), Rejection>
where
    A: Fn(Question) -> AF,
    AF: Future<Output = Answer>,
{
    let (question, _) = message::<Question>(&mut recv, &server.options).await?;
    let answer = (server.handler.ask)(question).await;
    let answer = encode(&answer, &server.options)?;
    reply(respond, answer, None, &server.options).await;
    Ok(())
}

async fn forward<A, F, FF>(
    server: &Server<A, F>,
    mut recv: RecvStream,
    respond: &mut SendResponse<Bytes>,
) -> Result<(), Rejection>
where
    F: Fn(ForwardHead, Body, Cancelled) -> FF,
    FF: Future<Output = (ForwardReply, Body)>,
{
    let (head, rest) = message::<ForwardHead>(&mut recv, &server.options).await?;
    let id = head.id;
    let body = Body::received(Received::new(recv, rest), head.body_length);
    let (cancel, cancelled) = cancelled::pair();
    let mut running = pin!((server.handler.forward)(head, body, cancelled));
    let handled = tokio::select! {
        biased;
        handled = &mut running => Some(handled),
        _ = poll_fn(|cx| respond.poll_reset(cx)) => None,
    };
    let Some((mut answer, body)) = handled else {
        cancel.set();
        running.await;
        return Ok(());
    };
    if answer.id() != id {
        let text = format!("the handler answered request {} in place of {id}", answer.id());
        return Err(Rejection::new(StatusCode::INTERNAL_SERVER_ERROR, text));
    }
    let body = match &mut answer {
        ForwardReply::Answer { body_length, .. } => {
            *body_length = body_length.or(body.remaining());
            Some(body)
        }
        ForwardReply::Refused { .. } => None,
    };
    let answer = encode(&answer, &server.options)?;
    if !reply(respond, answer, body, &server.options).await {
        cancel.set();
    }
    Ok(())
}

async fn message<T: DeserializeOwned>(
    recv: &mut RecvStream,
    options: &Options,
) -> Result<(T, Bytes), Rejection> {
    let reading = receive::message(recv, options.limits.max_message());
    let Ok(read) = tokio::time::timeout(options.message, reading).await else {
        let text = format!("the message did not arrive within {:?}", options.message);
        return Err(Rejection::new(StatusCode::REQUEST_TIMEOUT, text));
    };
    let Message { bytes, rest } = read.map_err(|err| {
        let status = match err {
            receive::Error::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            receive::Error::TooShort | receive::Error::Lost(_) => StatusCode::BAD_REQUEST,
        };
        Rejection::new(status, err)
    })?;
    let message =
        wire::decode(&bytes).map_err(|err| Rejection::new(StatusCode::BAD_REQUEST, err))?;
    Ok((message, rest))
}

/// The handler has run, so this is no status that proves the contrary.
fn encode<T: Serialize>(message: &T, options: &Options) -> Result<Bytes, Rejection> {
    wire::encode(message, options.limits.max_message())
        .map_err(|err| Rejection::new(StatusCode::INTERNAL_SERVER_ERROR, err))
}

/// Sends message and body; whether all of it was handed to the connection.
async fn reply(
    respond: &mut SendResponse<Bytes>,
    message: Bytes,
    body: Option<Body>,
    options: &Options,
) -> bool {
    let Ok(mut stream) = respond.send_response(response(StatusCode::OK), false) else {
        return false;
    };
    let sent = send_all(&mut stream, message, body, options).await;
    if let Err(err) = &sent {
        log::debug!("peer: an answer was not sent to its end: {err}");
    }
    sent.is_ok()
}

async fn send_all(
    stream: &mut SendStream<Bytes>,
    message: Bytes,
    body: Option<Body>,
    options: &Options,
) -> Result<(), send::Error> {
    let stall = options.limits.stall;
    match body {
        Some(body) if !body.is_ended() => {
            send::bytes(stream, message, false, stall, || {}).await?;
            send::body(stream, body, stall).await
        }
        _ => send::bytes(stream, message, true, stall, || {}).await,
    }
}

fn reject(respond: &mut SendResponse<Bytes>, rejection: &Rejection) {
    // The peer may be gone already; then there is nobody to tell.
    if let Ok(mut stream) = respond.send_response(response(rejection.status), false) {
        drop(stream.send_data(Bytes::from(rejection.text.clone()), true));
    }
}

fn response(status: StatusCode) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    response.headers_mut().insert(wire::WIRE, wire::version());
    response
}
