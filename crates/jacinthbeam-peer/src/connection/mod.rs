//! What lives for one connection, on both of its ends: limits, silence detection and stream counting.

pub(crate) mod io;
pub mod silence;
mod status;

use std::time::Duration;

use jacinthbeam_types::prelude::Bytes;

pub(crate) use status::{Status, Stream};

/// Limits of a connection, the same for the end that opened it and the end that accepted it.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Longest message that is read or sent, without the body that follows it. Never more than 64 MiB. Default 16 MiB.
    pub max_message: Bytes,
    /// Longest list of headers that is read; ours have some 100 bytes. Default 4 KiB.
    pub max_header: Bytes,
    /// Streams open at a time. Default 512, of which the client keeps 64 for questions.
    pub max_streams: u32,
    /// Bytes of one stream that may wait for their reader. Default 64 KiB.
    ///
    /// The connection's window is this times [`Limits::max_streams`], so that slow readers of some streams never
    /// block the heartbeats on another. That product is also the bound on the memory of waiting bytes.
    pub stream_window: Bytes,
    /// Longest wait for the other end to take more bytes of a body. Default 30 s.
    pub stall: Duration,
    /// A connection without streams is closed after this. The client's bound should lie below the server's, or
    /// a request may meet a connection that is being closed. Default 30 s for clients, 60 s for servers.
    pub idle: Duration,
    /// How a connection that has gone silent is noticed.
    pub silence: Silence,
}

/// When a connection with open streams counts as silent.
///
/// Something between the ends may forget a connection without telling either. Writes still succeed then, and
/// nothing ever comes back; so the ends ask each other by an `h2` PING, whose answer needs no handler.
#[derive(Debug, Clone, Copy)]
pub struct Silence {
    /// A forwarded request waits for a PING's answer first if nothing was heard for this long. Default 1 s.
    pub trust_for: Duration,
    /// A PING is sent when nothing was heard for this long. Default 200 ms.
    pub ping_after: Duration,
    /// New requests use another connection when a PING has had no answer for this long. Default 400 ms.
    pub suspect_after: Duration,
    /// The streams in progress are given up when a PING has had no answer for this long. Default 2 s for
    /// clients and 10 s for servers.
    pub give_up_after: Duration,
}

impl Limits {
    /// Defaults of the end that opens the connection.
    pub fn client() -> Self {
        Self {
            max_message: Bytes(16 << 20),
            max_header: Bytes(4 << 10),
            max_streams: 512,
            stream_window: Bytes(64 << 10),
            stall: Duration::from_secs(30),
            idle: Duration::from_secs(30),
            silence: Silence {
                trust_for: Duration::from_secs(1),
                ping_after: Duration::from_millis(200),
                suspect_after: Duration::from_millis(400),
                give_up_after: Duration::from_secs(2),
            },
        }
    }

    /// Defaults of the end that accepts the connection.
    pub fn server() -> Self {
        let mut limits = Self::client();
        limits.idle = Duration::from_secs(60);
        limits.silence.give_up_after = Duration::from_secs(10);
        limits
    }

    pub(crate) fn max_message(&self) -> usize {
        usize::try_from(self.max_message.0).unwrap_or(usize::MAX)
    }

    pub(crate) fn max_header(&self) -> u32 {
        u32::try_from(self.max_header.0).unwrap_or(u32::MAX)
    }

    pub(crate) fn stream_window(&self) -> u32 {
        clamp_window(self.stream_window.0)
    }

    pub(crate) fn connection_window(&self) -> u32 {
        clamp_window(self.stream_window.0.saturating_mul(self.max_streams.into()))
    }

    /// A reset stream is remembered for a while; frames that were under way to it are then no violation.
    pub(crate) fn max_reset_streams(&self) -> usize {
        self.max_streams as usize
    }
}

/// The protocol's smallest default and largest allowed window.
fn clamp_window(bytes: u64) -> u32 {
    const MIN: u64 = (1 << 16) - 1;
    const MAX: u64 = (1 << 31) - 1;
    bytes.clamp(MIN, MAX) as u32
}
