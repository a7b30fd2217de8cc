//! What a client says of its connections on request.

use std::net::SocketAddr;

/// One connection to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDump {
    /// The peer.
    pub addr: SocketAddr,
    /// Whether new requests use this connection; an old one only lets its streams end.
    pub current: bool,
    /// Streams in progress.
    pub streams: usize,
    /// Bytes read from the socket since the connection was opened.
    pub bytes_read: u64,
    /// Bytes written to the socket since the connection was opened.
    pub bytes_written: u64,
}
