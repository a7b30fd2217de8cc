//! Writes log lines to standard output through a bounded queue, one JSON object each.
//!
//! Without the queue, a reader that stops reading standard output would block the host at its next line. Lines that don't fit
//! into the queue are dropped and counted, and the count is logged as soon as lines are written again. [`Quota`] limits the rate
//! of lines of one kind, so that logging refusals under overload can't cost more than the refusals themselves.

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

/// Capacity in lines: one second of the busiest host's log, about 600 KB at 300 bytes per line.
const QUEUE_LINES: usize = 2048;

/// The number of dropped lines is logged within this time even if no further line follows.
const REPORT_DROPPED_WITHIN: Duration = Duration::from_secs(1);

/// Bytes after which a batch of lines is written: the capacity of a pipe.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// Starts logging. A second call has no effect.
pub fn start(level: LevelFilter) {
    let (queue, rx) = Queue::new(QUEUE_LINES);
    let logger = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_current_span(false)
        .with_span_list(false)
        .with_max_level(level)
        .with_writer(queue.clone());
    if logger.try_init().is_err() {
        // The process already has a logger.
        return;
    }
    let started =
        thread::Builder::new().name("log".into()).spawn(move || queue.write_to(&rx, io::stdout()));
    if let Err(err) = started {
        eprintln!("can't start the log thread, log lines are lost: {err}");
    }
}

/// Bounded queue of lines to be written. Adding a line never blocks.
#[derive(Debug, Clone)]
pub struct Queue {
    tx: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Queue {
    /// Returns a queue with room for `lines` lines, and its receiver.
    pub fn new(lines: usize) -> (Self, Receiver<Vec<u8>>) {
        let (tx, rx) = sync_channel(lines);
        (Self { tx, dropped: Arc::default() }, rx)
    }

    /// Writes queued lines to `out` until a write fails or all senders are dropped.
    pub fn write_to(&self, rx: &Receiver<Vec<u8>>, mut out: impl Write) {
        loop {
            let mut lines = match rx.recv_timeout(REPORT_DROPPED_WITHIN) {
                Ok(line) => line,
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            // Batches queued lines into one write. The bound ends the loop if lines arrive faster than they are copied.
            while lines.len() < MAX_BATCH_BYTES
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
                // The output is closed, and there is no other place to report that.
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

/// Buffer of one line, which is queued when the buffer is dropped.
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

/// Rate limit for log lines of one kind. Counts the lines that it left out.
#[derive(Debug)]
pub struct Quota {
    per_second: u32,
    window_start: Option<Instant>,
    written: u32,
    left_out: u64,
}

impl Quota {
    /// Allows at most `per_second` lines per second.
    pub fn new(per_second: u32) -> Self {
        Self { per_second, window_start: None, written: 0, left_out: 0 }
    }

    /// Returns `None` if no line may be written now, otherwise the number of lines left out since the last one written.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        let is_over = |window_start: Instant| {
            now.saturating_duration_since(window_start) >= Duration::from_secs(1)
        };
        if self.window_start.is_none_or(is_over) {
            self.window_start = Some(now);
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
