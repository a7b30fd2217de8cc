//! Peers that don't keep to our protocol.

use std::net::SocketAddr;

use bytes::{BufMut, Bytes, BytesMut};
use h2::{Reason, client::SendRequest, server::SendResponse};
use http::{Method, Request, Response};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

use super::{any_port, frames};

pub(crate) fn encode(message: &impl Serialize) -> Bytes {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard()).unwrap();
    let mut buf = BytesMut::new();
    buf.put_u32(bytes.len() as u32);
    buf.put_slice(&bytes);
    buf.freeze()
}

/// What a strange peer does with every request.
#[derive(Debug, Clone)]
pub(crate) enum Conduct {
    Reply { status: u16, wire: &'static str, data: Bytes },
    Reset(Reason),
}

/// Speaks `h2`, and treats every request alike once its body has ended.
pub(crate) async fn peer(conduct: Conduct) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (tcp, _) = listener.accept().await.unwrap();
        let mut connection = h2::server::handshake(tcp).await.unwrap();
        while let Some(Ok((req, respond))) = connection.accept().await {
            tokio::spawn(respond_to(req, respond, conduct.clone()));
        }
    });
    addr
}

async fn respond_to(
    req: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    conduct: Conduct,
) {
    let mut body = req.into_body();
    while body.data().await.is_some() {}
    match conduct {
        Conduct::Reset(reason) => respond.send_reset(reason),
        Conduct::Reply { status, wire, data } => {
            let response =
                Response::builder().status(status).header("jacinthbeam-wire", wire).body(());
            let mut stream = respond.send_response(response.unwrap(), false).unwrap();
            stream.send_data(data, true).unwrap();
        }
    }
}

/// Answers PINGs, and says goodbye to the first request: `last_stream` is the last one it claims to have seen.
pub(crate) async fn peer_that_says_goodbye(last_stream: u32) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut tcp, _) = listener.accept().await.unwrap();
        let mut preface = [0; frames::PREFACE.len()];
        tokio::io::AsyncReadExt::read_exact(&mut tcp, &mut preface).await.unwrap();
        frames::write(&mut tcp, frames::SETTINGS, 0, 0, &[]).await;
        while let Some(frame) = frames::read(&mut tcp).await {
            match (frame.kind, frame.flags) {
                (frames::SETTINGS, 0) => {
                    frames::write(&mut tcp, frames::SETTINGS, frames::ACK, 0, &[]).await;
                }
                (frames::PING, 0) => {
                    frames::write(&mut tcp, frames::PING, frames::ACK, 0, &frame.payload).await;
                }
                (frames::HEADERS, _) => {
                    let mut goodbye = last_stream.to_be_bytes().to_vec();
                    goodbye.extend([0; 4]);
                    frames::write(&mut tcp, frames::GOAWAY, 0, 0, &goodbye).await;
                    return;
                }
                _ => {}
            }
        }
    });
    addr
}

/// Sends anything to our server.
pub(crate) struct Sender {
    send: SendRequest<Bytes>,
}

/// What our server said.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Said {
    pub(crate) status: u16,
    pub(crate) text: String,
}

impl Sender {
    pub(crate) async fn connect(addr: SocketAddr) -> Self {
        let tcp = TcpStream::connect(addr).await.unwrap();
        let (send, connection) = h2::client::handshake(tcp).await.unwrap();
        tokio::spawn(async move { connection.await.ok() });
        Self { send }
    }

    /// With `end` the stream ends after `data`; without it the message is left hanging.
    pub(crate) async fn post(&self, path: &str, wire: &str, data: &[u8], end: bool) -> Said {
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://peer{path}"))
            .header("jacinthbeam-wire", wire)
            .body(())
            .unwrap();
        let mut send = self.send.clone().ready().await.unwrap();
        let (response, mut stream) = send.send_request(req, false).unwrap();
        stream.send_data(Bytes::copy_from_slice(data), end).unwrap();
        let response = response.await.unwrap();
        let status = response.status().as_u16();
        let mut body = response.into_body();
        let mut text = Vec::new();
        while let Some(Ok(chunk)) = body.data().await {
            text.extend_from_slice(&chunk);
        }
        Said { status, text: String::from_utf8_lossy(&text).into_owned() }
    }
}
