//! Messages of requests that one host forwards to another over HTTP/2, and the connection that carries them.
//!
//! The body of a message is the length of its head in four bytes, the head, and then the body of the request or of the response.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use hyper::{
    body::Incoming,
    client::conn::http2::{self, SendRequest},
};
use hyper_util::rt::{TokioIo, TokioTimer};
use jacinthbeam_range::Key;
use jacinthbeam_route::Route;
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, task::spawn_local, time::timeout};

use super::serve::LocalExecutor;

/// Path of forwarded requests.
pub(crate) const PATH: &str = "/forward";

/// Largest head of a message. The headers of a request are bounded by the configuration.
pub(crate) const MAX_HEAD_BYTES: usize = 256 << 10;

/// Connect timeout: five times the 50 ms of latency allowed between two domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval of pings while requests are in flight, and the time after which a host that doesn't answer one counts as lost.
const PING_INTERVAL: Duration = Duration::from_millis(500);
const PING_TIMEOUT: Duration = Duration::from_millis(1000);

/// Headers as sent between hosts.
pub(crate) type Headers = Vec<(String, Vec<u8>)>;

/// A routed request, and what the host that accepted it has decided.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    /// The host that accepted it.
    pub(crate) origin: HostId,
    /// Id of the caller's attempt.
    pub(crate) id: Vec<u8>,
    pub(crate) method: String,
    /// Path and query.
    pub(crate) target: String,
    pub(crate) headers: Headers,
    pub(crate) caller: IpAddr,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) team: Option<TeamName>,
    /// Limit of connections to a server of the service.
    pub(crate) connections: u32,
    pub(crate) keyed: bool,
    pub(crate) key: Option<Key>,
    pub(crate) idempotent: bool,
    /// Sends that may have reached a server before.
    pub(crate) sends: u32,
    /// Time left until the deadline.
    pub(crate) left: Duration,
}

/// How a forwarded request ended.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ForwardedConclusion {
    /// A backend server answered; the response follows.
    Answered { status: u16, headers: Headers, success: bool },
    /// There is no answer of a server.
    Refused { refusal: Refusal, tried: u32 },
}

/// The message can't be decoded.
#[derive(Debug)]
pub(crate) struct Malformed(pub(crate) String);

/// Encodes a head with the length before it.
pub(crate) fn encode_head(head: &impl Serialize) -> Bytes {
    let head = bincode::serde::encode_to_vec(head, bincode::config::standard())
        .expect("a head has no type that can't be encoded");
    let mut buf = BytesMut::with_capacity(4 + head.len());
    buf.put_u32(head.len() as u32);
    buf.put_slice(&head);
    buf.freeze()
}

/// Decodes the head of a message and returns it with the rest.
pub(crate) fn decode<T: DeserializeOwned>(message: &Bytes) -> Result<(T, Bytes), Malformed> {
    let short = || Malformed("the message ends in its head".into());
    let (len, rest) = message.split_first_chunk::<4>().ok_or_else(short)?;
    let len = u32::from_be_bytes(*len) as usize;
    let head = rest.get(..len).ok_or_else(short)?;
    let (head, _) = bincode::serde::decode_from_slice(head, bincode::config::standard())
        .map_err(|err| Malformed(err.to_string()))?;
    Ok((head, message.slice(4 + len..)))
}

/// The headers as a list.
pub(crate) fn to_list(headers: &HeaderMap) -> Headers {
    headers.iter().map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect()
}

/// The headers of a list.
pub(crate) fn from_list(headers: Headers) -> Result<HeaderMap, Malformed> {
    let malformed = |err: http::Error| Malformed(err.to_string());
    let mut map = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name = HeaderName::try_from(name).map_err(|err| malformed(err.into()))?;
        let value = HeaderValue::try_from(value).map_err(|err| malformed(err.into()))?;
        map.append(name, value);
    }
    Ok(map)
}

/// A head and a body, sent after each other without being copied together.
#[derive(Debug)]
pub(crate) struct Message {
    head: Bytes,
    body: Bytes,
}

impl Message {
    /// A message with an encoded head.
    pub(crate) fn new(head: Bytes, body: Bytes) -> Self {
        Self { head, body }
    }

    /// A message of plain bytes.
    pub(crate) fn plain(bytes: Bytes) -> Self {
        Self { head: bytes, body: Bytes::new() }
    }
}

impl Body for Message {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let head = std::mem::take(&mut self.head);
        let next = if head.is_empty() { std::mem::take(&mut self.body) } else { head };
        Poll::Ready((!next.is_empty()).then(|| Ok(Frame::data(next))))
    }

    fn is_end_stream(&self) -> bool {
        self.head.is_empty() && self.body.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.head.len() + self.body.len()) as u64)
    }
}

/// Why a request got no response of the other host.
#[derive(Debug)]
pub(crate) enum Error {
    /// The other host has not begun to serve it: there is no connection, or the host declined.
    NotServed(String),
    /// The connection ended while the other host may have served it.
    Lost(hyper::Error),
}

/// A connection to another host for forwarded requests. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct ForwardLink {
    sender: SendRequest<Message>,
}

impl ForwardLink {
    /// Connects to a host.
    pub(crate) async fn open(addr: SocketAddr) -> Result<Self, Error> {
        let not_served = |why: String| Error::NotServed(why);
        let connected = timeout(CONNECT_TIMEOUT, connect(addr)).await;
        let stream = connected
            .map_err(|_| not_served("no connection in time".into()))?
            .map_err(|err| not_served(err.to_string()))?;
        let handshake = http2::Builder::new(LocalExecutor)
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .handshake(TokioIo::new(stream));
        let connected = timeout(CONNECT_TIMEOUT, handshake).await;
        let (sender, conn) = connected
            .map_err(|_| not_served("no handshake in time".into()))?
            .map_err(|err| not_served(err.to_string()))?;
        spawn_local(async move {
            if let Err(err) = conn.await {
                tracing::debug!(part = "peers", event = "forward-link-ended", error = ?err);
            }
        });
        Ok(Self { sender })
    }

    /// Whether the connection has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and returns the response once its head has arrived. Dropping the future cancels the request at the other
    /// host.
    pub(crate) async fn send(&mut self, message: Message) -> Result<Response<Incoming>, Error> {
        let req =
            Request::post(format!("http://host{PATH}")).body(message).expect("the path is valid");
        let sent = self.sender.try_send_request(req).await;
        let res = sent.map_err(|mut err| match err.take_message() {
            Some(_) => Error::NotServed("the connection was closed".into()),
            None => Error::Lost(err.into_error()),
        })?;
        match res.status() {
            StatusCode::OK => Ok(res),
            status => Err(Error::NotServed(format!("declined: {status}"))),
        }
    }
}

async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
