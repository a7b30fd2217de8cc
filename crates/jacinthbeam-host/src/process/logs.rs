//! Log lines go to standard output, one JSON object each, through a bounded queue.
//!
//! A reader that stops reading standard output would otherwise stop the host at its next line. Lines that find the queue full
//! are dropped and counted, and the count is written as soon as there is room. [`Quota`] bounds the lines of one kind, so
//! that an overload can't cost more in lines than in refusals.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Lines that may wait: a second of the busiest host's, at 300 bytes each some 600 KB.
const QUEUE: usize = 2048;

/// After a flood the number of dropped lines is told within this time, also if no line follows.
const TELL_DROPPED: Duration = Duration::from_secs(1);

/// Bytes that are written at once: what a pipe holds.
const ONE_WRITE: usize = 64 << 10;

/// Starts logging. A second call has no effect.
pub fn start(level: LevelFilter) {
    let (queue, rx) = Queue::new(QUEUE);
    let logger = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_max_level(level)
        .with_writer(queue.clone());
    if logger.try_init().is_err() {
        // Another part of the process logs already.
        return;
    }
    let written =
        thread::Builder::new().name("log".into()).spawn(move || queue.write_to(&rx, io::stdout()));
    if let Err(err) = written {
        eprintln!("lines of the log are lost, there is no thread to write them: {err}");
    }
}

/// Where lines wait to be written.
#[derive(Debug, Clone)]
pub struct Queue {
    tx: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// A queue of at most `lines`, and its end.
    pub fn new(lines: usize) -> (Self, Receiver<Vec<u8>>) {
        let (tx, rx) = sync_channel(lines);
        (Self { tx, dropped: Arc::default() }, rx)
    }

    /// Writes what comes, for as long as anybody reads it.
    pub fn write_to(&self, rx: &Receiver<Vec<u8>>, mut out: impl Write) {
        loop {
            let mut lines = match rx.recv_timeout(TELL_DROPPED) {
                Ok(line) => line,
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            // What has gathered meanwhile goes out in one write, up to a bound: lines may come faster than they are copied.
            while lines.len() < ONE_WRITE
                && let Ok(more) = rx.try_recv()
            {
                lines.extend_from_slice(&more);
            }
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                lines.extend_from_slice(dropped_line(dropped).as_bytes());
            }
            if lines.is_empty() {
                continue;
            }
            if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
                // Nobody reads any more; there is no other place to say so.
                return;
            }
        }
    }
}

fn dropped_line(count: u64) -> String {
    format!("{{\"level\":\"WARN\",\"part\":\"log\",\"event\":\"dropped\",\"count\":{count}}}\n")
}

impl<'a> MakeWriter<'a> for Queue {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        Line { queue: self, bytes: Vec::new() }
    }
}

/// One line; it is queued when dropped.
#[derive(Debug)]
pub struct Line<'a> {
    queue: &'a Queue,
    bytes: Vec<u8>,
}

impl Write for Line<'_> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.bytes);
        match self.queue.tx.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.queue.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Lines of one kind that may be written, and a count of those that were not.
#[derive(Debug)]
pub struct Quota {
    per_second: u32,
    begun: Option<Instant>,
    written: u32,
    left_out: u64,
}

impl Quota {
    /// At most this many lines a second.
    pub fn new(per_second: u32) -> Self {
        Self { per_second, begun: None, written: 0, left_out: 0 }
    }

    /// Whether a line may be written now; if so, how many were left out since the last one.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        let over = |begun: Instant| now.saturating_duration_since(begun) >= Duration::from_secs(1);
        if self.begun.is_none_or(over) {
            self.begun = Some(now);
            self.written = 0;
        }
        if self.written >= self.per_second {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
