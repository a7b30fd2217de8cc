//! Frames of `h2`, read from what a relay kept or from a socket.

use std::collections::BTreeMap;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

pub(crate) const DATA: u8 = 0;
pub(crate) const HEADERS: u8 = 1;
pub(crate) const RST_STREAM: u8 = 3;
pub(crate) const SETTINGS: u8 = 4;
pub(crate) const PING: u8 = 6;
pub(crate) const GOAWAY: u8 = 7;
pub(crate) const ACK: u8 = 1;
const END_STREAM: u8 = 1;
const HEAD: usize = 9;
pub(crate) const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

#[derive(Debug)]
pub(crate) struct Frame {
    pub(crate) kind: u8,
    pub(crate) flags: u8,
    pub(crate) stream: u32,
    pub(crate) payload: Vec<u8>,
}

/// What one end sent on one stream.
#[derive(Debug, Default)]
pub(crate) struct Sent {
    pub(crate) data: Vec<u8>,
    pub(crate) ended: bool,
    pub(crate) reset: Option<u32>,
}

pub(crate) fn parse(mut bytes: &[u8]) -> Vec<Frame> {
    bytes = bytes.strip_prefix(PREFACE).unwrap_or(bytes);
    let mut frames = Vec::new();
    while let Some((head, rest)) = bytes.split_first_chunk::<HEAD>() {
        let (mut frame, len) = parse_head(head);
        let Some((payload, rest)) = rest.split_at_checked(len) else { break };
        frame.payload = payload.to_vec();
        bytes = rest;
        frames.push(frame);
    }
    frames
}

fn parse_head(head: &[u8; HEAD]) -> (Frame, usize) {
    let len = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
    let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
    (Frame { kind: head[3], flags: head[4], stream, payload: Vec::new() }, len)
}

pub(crate) fn by_stream(bytes: &[u8]) -> BTreeMap<u32, Sent> {
    let mut streams = BTreeMap::<u32, Sent>::new();
    for frame in parse(bytes) {
        match frame.kind {
            DATA => {
                let sent = streams.entry(frame.stream).or_default();
                sent.data.extend(frame.payload);
                sent.ended |= frame.flags & END_STREAM != 0;
            }
            RST_STREAM => {
                let reason = frame.payload.first_chunk().map(|code| u32::from_be_bytes(*code));
                streams.entry(frame.stream).or_default().reset = reason;
            }
            _ => {}
        }
    }
    streams
}

pub(crate) async fn read(tcp: &mut TcpStream) -> Option<Frame> {
    let mut head = [0; HEAD];
    tcp.read_exact(&mut head).await.ok()?;
    let (mut frame, len) = parse_head(&head);
    frame.payload = vec![0; len];
    tcp.read_exact(&mut frame.payload).await.ok()?;
    Some(frame)
}

pub(crate) async fn write(tcp: &mut TcpStream, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
    let mut frame = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    frame.extend([kind, flags]);
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    tcp.write_all(&frame).await.unwrap();
}
