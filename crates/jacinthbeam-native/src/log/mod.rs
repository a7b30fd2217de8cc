//! Client of the platform's log service.

pub mod append;
pub mod read;

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use jacinthbeam_connection::Line;

use crate::format::log::{FRAME_HEAD, MAX_RECORD};

/// Most bytes of records that one read asks for.
pub const MAX_READ: u32 = 4 << 20;
/// Longest wait that one read asks for.
pub const MAX_WAIT: Duration = Duration::from_secs(60);
/// Bound of the memory that an answer takes: [`MAX_READ`] bytes in records of one byte each, and
/// one more record.
const MAX_READ_ANSWER: usize = MAX_READ as usize * (FRAME_HEAD + 1) + FRAME_HEAD + MAX_RECORD;
const MAX_APPEND_ANSWER: usize = 16 << 10;

/// One connection for appends, and one for the reads of each stream, since a read may wait for records.
#[derive(Debug)]
pub struct Client {
    source: Option<IpAddr>,
    addr: SocketAddr,
    timeout: Duration,
    appends: Line,
    reads: Mutex<BTreeMap<String, Arc<Line>>>,
}

impl Client {
    /// A client of the log at `addr`. `timeout` bounds each call, beyond the wait that a read asks for.
    pub fn open(addr: SocketAddr, timeout: Duration) -> Self {
        let appends = Line::new(addr, MAX_APPEND_ANSWER);
        Self { source: None, addr, timeout, appends, reads: Mutex::new(BTreeMap::new()) }
    }

    /// Connects from this IP number of the host; the system picks one for `None`.
    pub fn bound_to(self, source: Option<IpAddr>) -> Self {
        Self { source, appends: self.appends.bound_to(source), ..self }
    }

    fn reads_of(&self, stream: &str) -> Arc<Line> {
        let mut reads = self.reads.lock().expect("no holder of the lock panics");
        let line = reads.entry(stream.to_owned()).or_insert_with(|| {
            Arc::new(Line::new(self.addr, MAX_READ_ANSWER).bound_to(self.source))
        });
        line.clone()
    }
}
