//! A tiny HTTP/1.1 client that uses one connection.

#![allow(dead_code, reason = "each test program uses a part of it")]

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Any free port of the loopback interface.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A whole answer.
#[derive(Debug)]
pub struct Got {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Got {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    pub fn json<T: for<'a> serde::Deserialize<'a>>(&self) -> T {
        serde_json::from_slice(&self.body).expect("the answer is JSON of the expected type")
    }
}

/// One connection. Dropping it closes it.
#[derive(Debug)]
pub struct Client {
    sender: http1::SendRequest<Full<Bytes>>,
    task: tokio::task::JoinHandle<()>,
}

impl Client {
    pub async fn open(addr: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("handshake");
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self { sender, task })
    }

    /// Sends a request and reads its whole answer.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Got, hyper::Error> {
        self.sender.ready().await?;
        let mut req = Request::builder().method(method).uri(path).header("host", "standin");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into())).expect("a valid request");
        let (head, body) = self.sender.send_request(req).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Got { status: head.status, headers: head.headers, body })
    }

    /// Sends a request without headers or body.
    pub async fn get(&mut self, path: &str) -> Result<Got, hyper::Error> {
        self.send("GET", path, &[], "").await
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends one request on a connection of its own.
pub async fn get(addr: SocketAddr, path: &str) -> Got {
    Client::open(addr).await.expect("connects").get(path).await.expect("an answer")
}
