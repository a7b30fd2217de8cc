//! Callers: HTTP/1.1 and HTTP/2 clients of one connection each.

use std::{io, net::SocketAddr};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, request::Builder};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    body::Incoming,
    client::conn::{http1, http2},
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
};

pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A whole answer.
#[derive(Debug)]
pub struct Got {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Got {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().expect("visible ASCII"))
    }

    /// Status and verdict, on which most tests agree.
    pub fn told(&self) -> (u16, &str) {
        (self.status, self.header("jacinthbeam-verdict"))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn echo(&self) -> jacinthbeam_standin::backend::Echo {
        serde_json::from_slice(&self.body).expect("the echo of a backend server")
    }
}

pub fn get(path: &str) -> Builder {
    Request::get(path)
}

pub fn post(path: &str) -> Builder {
    Request::post(path)
}

pub fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body of unknown length from a stream of chunks.
pub fn chunks(
    stream: impl futures_util::Stream<Item = io::Result<Bytes>> + Send + 'static,
) -> Body {
    let frames = futures_util::StreamExt::map(stream, |chunk| chunk.map(http_body::Frame::data));
    BodyExt::boxed_unsync(http_body_util::StreamBody::new(frames))
}

/// One HTTP/1.1 connection. Dropped, it is closed.
pub struct Caller {
    sender: http1::SendRequest<Body>,
    task: JoinHandle<()>,
}

impl Caller {
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        Self::over(TcpStream::connect(addr).await?).await
    }

    /// A caller that takes few bytes before it reads them.
    pub async fn open_narrow(addr: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(4096)?;
        Self::over(socket.connect(addr).await?).await
    }

    async fn over(stream: TcpStream) -> io::Result<Self> {
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok(Self { sender, task })
    }

    /// Sends a request and returns the head of its answer.
    pub async fn send(&mut self, req: Builder, body: Body) -> hyper::Result<Response<Incoming>> {
        self.sender.ready().await?;
        self.sender.send_request(req.header("host", "entry").body(body).expect("valid")).await
    }

    /// Sends a request and reads its whole answer.
    pub async fn ask(&mut self, req: Builder, body: impl Into<Bytes>) -> hyper::Result<Got> {
        read(self.send(req, whole(body)).await?).await
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub async fn read(res: Response<Incoming>) -> hyper::Result<Got> {
    let (head, body) = res.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Got { status: head.status.as_u16(), headers: head.headers, body })
}

/// Sends one request on a connection of its own.
pub async fn ask(addr: SocketAddr, req: Builder, body: impl Into<Bytes>) -> Got {
    let mut caller = Caller::open(addr).await.expect("connects");
    caller.ask(req, body).await.expect("an answer")
}

/// The same in a task of its own, which is the caller: aborting it makes the caller go away.
pub fn start(
    addr: SocketAddr,
    req: Builder,
    body: impl Into<Bytes> + Send + 'static,
) -> JoinHandle<Got> {
    tokio::spawn(ask(addr, req, body))
}

/// One HTTP/2 connection; clones share it.
pub async fn open_h2(addr: SocketAddr) -> http2::SendRequest<Body> {
    let stream = TcpStream::connect(addr).await.expect("connects");
    let (sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.expect("handshake");
    tokio::spawn(async move { drop(connection.await) });
    sender
}

/// A request as HTTP/2 has it.
pub fn h2(method: &str, path: &str) -> Builder {
    Request::builder().method(method).uri(format!("http://entry{path}"))
}
