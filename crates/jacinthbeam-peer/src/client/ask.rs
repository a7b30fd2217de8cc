//! Questions with one message as the answer.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;

use crate::{
    client::{
        connect,
        connection::{Started, Use},
        peers::{Peers, start},
    },
    message::{Answer, Question},
    request::{receive, send, wire},
};

/// A longer timeout is as good as none, and could not be added to every clock reading.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);
/// Longest text of a rejection that is kept, in bytes.
const MAX_TEXT: usize = 1024;

/// The question got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The question is longer than a message may be; it was not sent.
    TooLarge(String),
    /// There is no connection; the question was not sent.
    Connect(connect::Error),
    /// The connection ended before the question was sent.
    NotSent,
    /// The peer rejected the question before reading it: another wire version, or a broken protocol.
    Rejected {
        /// HTTP status.
        status: u16,
        /// What the peer says.
        text: String,
    },
    /// No answer came in time.
    Timeout(Duration),
    /// The connection was lost, or the peer gave the question up.
    Lost(String),
    /// The answer breaks the protocol.
    Protocol(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(why) => write!(f, "the question was not sent: {why}"),
            Self::Connect(err) => err.fmt(f),
            Self::NotSent => f.write_str("the connection ended before the question was sent"),
            Self::Rejected { status, text } => {
                write!(f, "the peer rejected the question with status {status}: {text}")
            }
            Self::Timeout(bound) => write!(f, "the peer gave no answer within {bound:?}"),
            Self::Lost(why) => write!(f, "the connection to the peer was lost: {why}"),
            Self::Protocol(why) => write!(f, "the peer's answer breaks the protocol: {why}"),
        }
    }
}

impl std::error::Error for Error {}

pub(crate) async fn ask(
    peers: &Peers,
    addr: SocketAddr,
    question: &Question,
    timeout: Duration,
) -> Result<Answer, Error> {
    let max = peers.options.limits.max_message();
    let message = wire::encode(question, max).map_err(|err| Error::TooLarge(err.to_string()))?;
    let deadline = Instant::now() + timeout.min(MAX_TIMEOUT);
    let starting = tokio::time::timeout_at(deadline, peers.start(addr, Use::Question));
    let (connection, started) = match starting.await {
        Ok(Ok(started)) => started,
        Ok(Err(start::Error::Connect(err))) => return Err(Error::Connect(err)),
        Ok(Err(start::Error::Ended)) => return Err(Error::NotSent),
        Err(_) => return Err(Error::Timeout(timeout)),
    };
    let since = Instant::now();
    let exchange = exchange(started, message, peers);
    let Ok(answer) = tokio::time::timeout_at(deadline, exchange).await else {
        connection.timed_out(since);
        return Err(Error::Timeout(timeout));
    };
    let answer = answer?;
    if !fits(question, &answer) {
        return Err(Error::Protocol("it is of another kind than the question".into()));
    }
    Ok(answer)
}

async fn exchange(started: Started, message: Bytes, peers: &Peers) -> Result<Answer, Error> {
    let limits = &peers.options.limits;
    let Started { response, mut sender, stream: _stream } = started;
    // A failure to send shows in the response, with the reason.
    drop(send::bytes(&mut sender, message, true, limits.stall, || {}).await);
    let response = response.await.map_err(|err| Error::Lost(err.to_string()))?;
    let (head, mut recv) = response.into_parts();
    if head.status != http::StatusCode::OK {
        return Err(Error::Rejected { status: head.status.as_u16(), text: text(&mut recv).await });
    }
    wire::check_version(&head.headers)
        .map_err(|theirs| Error::Protocol(format!("it has wire version {theirs}")))?;
    let read = receive::message(&mut recv, limits.max_message()).await;
    let message = read.map_err(|err| match err {
        receive::Error::Lost(err) => Error::Lost(err.to_string()),
        receive::Error::TooLarge { .. } | receive::Error::TooShort => {
            Error::Protocol(err.to_string())
        }
    })?;
    wire::decode(&message.bytes).map_err(|err| Error::Protocol(err.to_string()))
}

/// The text of a rejection.
pub(crate) async fn text(recv: &mut h2::RecvStream) -> String {
    let mut text = Vec::new();
    while let Some(Ok(chunk)) = recv.data().await {
        let room = MAX_TEXT - text.len();
        text.extend_from_slice(&chunk[..chunk.len().min(room)]);
        if text.len() == MAX_TEXT {
            break;
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Names every question, so that one without an answer does not compile.
fn fits(question: &Question, answer: &Answer) -> bool {
    if let Answer::Failed { .. } = answer {
        return true;
    }
    match question {
        Question::Heartbeat(_) => matches!(answer, Answer::Heartbeat(_)),
        Question::Probe(_) => matches!(answer, Answer::Probed(_)),
        Question::Retire { .. } => matches!(answer, Answer::Retired { .. }),
        Question::Attend { .. } | Question::Remember(_) | Question::Offer(_) => {
            matches!(answer, Answer::Done { .. })
        }
        Question::ReadLog { .. } => matches!(answer, Answer::Records(_)),
        Question::FetchState => matches!(answer, Answer::State { .. }),
        Question::Claim(_) => matches!(answer, Answer::Claimed(_)),
        Question::Fetch(_) => matches!(answer, Answer::Fetched(_)),
        Question::Loads => matches!(answer, Answer::Loads(_)),
        Question::LastRead { .. } => matches!(answer, Answer::LastRead { .. }),
    }
}
