//! Requests with a body, forwarded to the host that attends the owner of their key.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use h2::SendStream;
use http::{Response, StatusCode};
use jacinthbeam_types::prelude::{Reason, Refusal, RequestId, Verdict};

use crate::{
    body::{Body, Cut},
    client::{
        ask, connect,
        connection::{Permitted, Started, Use},
        left,
        peers::{Peers, start},
    },
    message::{ForwardHead, ForwardReply},
    request::{
        receive::{self, Received, Upload},
        send, wire,
    },
};

/// The request got no reply of the peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The head is longer than a message may be; it was not sent.
    TooLarge(String),
    /// There is no connection; nothing was sent.
    Connect(connect::Error),
    /// The deadline passed, or the connection ended, before the whole head was sent.
    ///
    /// The peer hands a request to its handler only when it has the whole head.
    NotSent(Reason),
    /// The peer refused the stream: it takes no more, or is stopping.
    StreamRefused(String),
    /// The peer rejected the request before its handler saw it: another wire version, or a broken protocol.
    Rejected {
        /// HTTP status.
        status: u16,
        /// What the peer says.
        text: String,
    },
    /// The deadline passed after the head was sent.
    DeadlinePassed,
    /// The connection was lost or silent after the head was sent, or the peer reset the stream.
    Lost(String),
    /// The reply breaks the protocol, or answers another request.
    Protocol(String),
    /// The body of the request is not whole; the peer has been told so.
    RequestCut(Cut),
}

impl Error {
    /// Whether the request may have run. `NotRun` only with proof that no handler saw it or will see it.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::TooLarge(_)
            | Self::Connect(_)
            | Self::NotSent(_)
            | Self::StreamRefused(_)
            | Self::Rejected { .. } => Verdict::NotRun,
            Self::DeadlinePassed | Self::Lost(_) | Self::Protocol(_) | Self::RequestCut(_) => {
                Verdict::MayHaveRun
            }
        }
    }

    /// Why it failed, in the words used towards callers.
    pub fn reason(&self) -> Reason {
        match self {
            Self::TooLarge(_) => Reason::BadRequest,
            Self::Connect(_) => Reason::Unreachable,
            Self::NotSent(reason) => *reason,
            Self::StreamRefused(_) => Reason::Stopping,
            Self::Rejected { .. } | Self::Protocol(_) => Reason::PeerProtocol,
            Self::DeadlinePassed => Reason::DeadlinePassed,
            Self::Lost(_) => Reason::ConnectionLost,
            Self::RequestCut(_) => Reason::Cancelled,
        }
    }

    /// The refusal that a caller gets if nothing else is tried.
    pub fn refusal(&self) -> Refusal {
        Refusal { verdict: self.verdict(), reason: self.reason(), retry_after: None }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(why) => write!(f, "the request was not sent: {why}"),
            Self::Connect(err) => err.fmt(f),
            Self::NotSent(reason) => write!(f, "the request was not sent: {reason}"),
            Self::StreamRefused(why) => write!(f, "the peer took no more requests: {why}"),
            Self::Rejected { status, text } => {
                write!(f, "the peer rejected the request with status {status}: {text}")
            }
            Self::DeadlinePassed => f.write_str("the peer gave no reply before the deadline"),
            Self::Lost(why) => write!(f, "the connection to the peer was lost: {why}"),
            Self::Protocol(why) => write!(f, "the peer's reply breaks the protocol: {why}"),
            Self::RequestCut(cut) => write!(f, "the request's body is not whole: {cut}"),
        }
    }
}

impl std::error::Error for Error {}

pub(crate) async fn forward(
    peers: &Peers,
    addr: SocketAddr,
    head: ForwardHead,
    body: Body,
    deadline: Instant,
) -> Result<(ForwardReply, Body), Error> {
    let at = deadline.into();
    let starting = tokio::time::timeout_at(at, peers.start(addr, Use::Forward));
    let Ok(started) = starting.await else {
        return Err(Error::NotSent(Reason::DeadlinePassed));
    };
    let (connection, started) = started.map_err(|err| match err {
        start::Error::Connect(err) => Error::Connect(err),
        start::Error::Ended => Error::NotSent(Reason::ConnectionLost),
    })?;
    let since = tokio::time::Instant::now();
    let sent = Arc::new(AtomicBool::new(false));
    let exchange = exchange(started, head, body, deadline, peers, sent.clone());
    let Ok(replied) = tokio::time::timeout_at(at, exchange).await else {
        connection.timed_out(since);
        return Err(match sent.load(Ordering::Relaxed) {
            true => Error::DeadlinePassed,
            false => Error::NotSent(Reason::DeadlinePassed),
        });
    };
    match replied {
        Err(Error::Lost(_)) if !sent.load(Ordering::Relaxed) => {
            Err(Error::NotSent(Reason::ConnectionLost))
        }
        replied => replied,
    }
}

/// Sends the request, and reads the head of the reply. Dropping it resets the stream.
async fn exchange(
    started: Started,
    mut head: ForwardHead,
    body: Body,
    deadline: Instant,
    peers: &Peers,
    sent: Arc<AtomicBool>,
) -> Result<(ForwardReply, Body), Error> {
    let limits = &peers.options.limits;
    let id = head.id;
    head.deadline = left(deadline);
    if head.deadline.is_zero() {
        return Err(Error::NotSent(Reason::DeadlinePassed));
    }
    head.body_length = head.body_length.or(body.remaining());
    let message = wire::encode(&head, limits.max_message())
        .map_err(|err| Error::TooLarge(err.to_string()))?;
    let Started { mut response, sender, stream } = started;
    let mut upload = Box::pin(upload(sender, message, body, limits.stall, sent));
    let mut uploading = true;
    let response = loop {
        tokio::select! {
            biased;
            response = &mut response => break response.map_err(|err| lost(&err))?,
            uploaded = &mut upload, if uploading => {
                uploading = false;
                // Any other failure shows in the response, with the reason.
                if let Err(send::Error::Cut(cut)) = uploaded {
                    return Err(Error::RequestCut(cut));
                }
            }
        }
    };
    // The peer may answer before it has read the whole request.
    let upload = uploading.then(|| Upload(tokio::spawn(upload).abort_handle()));
    reply(response, id, stream, upload, limits.max_message()).await
}

async fn upload(
    mut sender: SendStream<Bytes>,
    message: Bytes,
    body: Body,
    stall: Duration,
    sent: Arc<AtomicBool>,
) -> Result<(), send::Error> {
    let end = body.is_ended();
    let last = || sent.store(true, Ordering::Relaxed);
    send::bytes(&mut sender, message, end, stall, last).await?;
    match end {
        true => Ok(()),
        false => send::body(&mut sender, body, stall).await,
    }
}

async fn reply(
    response: Response<h2::RecvStream>,
    id: RequestId,
    stream: Permitted,
    upload: Option<Upload>,
    max: usize,
) -> Result<(ForwardReply, Body), Error> {
    let (head, mut recv) = response.into_parts();
    if head.status != StatusCode::OK {
        let text = ask::text(&mut recv).await;
        return Err(rejected(head.status, text));
    }
    wire::check_version(&head.headers)
        .map_err(|theirs| Error::Protocol(format!("it has wire version {theirs}")))?;
    let message = receive::message(&mut recv, max).await.map_err(|err| match err {
        receive::Error::Lost(err) => lost(&err),
        receive::Error::TooLarge { .. } | receive::Error::TooShort => {
            Error::Protocol(err.to_string())
        }
    })?;
    let reply: ForwardReply =
        wire::decode(&message.bytes).map_err(|err| Error::Protocol(err.to_string()))?;
    // Another request's answer must never reach this caller, whatever went wrong at the peer.
    if reply.id() != id {
        return Err(Error::Protocol(format!("it answers request {} in place of {id}", reply.id())));
    }
    let body = match &reply {
        ForwardReply::Answer { body_length, .. } => {
            let received = Received::new(recv, message.rest).with(stream, upload);
            Body::received(received, *body_length)
        }
        ForwardReply::Refused { .. } => Body::empty(),
    };
    Ok((reply, body))
}

/// Our server sends these statuses only before it calls a handler.
fn rejected(status: StatusCode, text: String) -> Error {
    if status.is_client_error() || status == StatusCode::HTTP_VERSION_NOT_SUPPORTED {
        Error::Rejected { status: status.as_u16(), text }
    } else {
        Error::Protocol(format!("it has status {status}: {text}"))
    }
}

/// `REFUSED_STREAM`, and a GOAWAY of the peer that leaves this stream out, say that the peer did not process it.
///
/// `h2` puts the peer's GOAWAY as error on just the streams above its last stream id; a connection that ends
/// otherwise gives an I/O error.
fn lost(err: &h2::Error) -> Error {
    let refused = err.is_reset() && err.reason() == Some(h2::Reason::REFUSED_STREAM);
    if err.is_remote() && (refused || err.is_go_away()) {
        Error::StreamRefused(err.to_string())
    } else {
        Error::Lost(err.to_string())
    }
}
