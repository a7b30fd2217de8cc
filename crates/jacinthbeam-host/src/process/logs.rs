//! Log lines go to standard output, by `simplelog`, through a bounded queue.
//!
//! A reader that stops reading standard output would otherwise stop the host at its next line. Lines that find the queue full
//! are dropped and counted, and the count is written as soon as there is room.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
};

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Lines that may wait: a second of the busiest host's, at 200 bytes each some 400 KB.
const QUEUE: usize = 2048;

/// Starts logging. A second call has no effect.
pub fn start(level: LevelFilter) {
    let (tx, rx) = sync_channel(QUEUE);
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("jacinthbeam")
        .build();
    if WriteLogger::init(level, config, Queue { tx, line: Vec::new(), dropped: 0 }).is_err() {
        // Another part of the process logs already.
        return;
    }
    let written = thread::Builder::new().name("log".into()).spawn(move || write(&rx));
    if let Err(err) = written {
        eprintln!("log: lines are lost, no thread to write them: {err}");
    }
}

struct Queue {
    tx: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    dropped: u64,
}

impl Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if buf.last() == Some(&b'\n') {
            self.flush()?;
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.line.is_empty() {
            return Ok(());
        }
        let mut line = std::mem::take(&mut self.line);
        if self.dropped > 0 {
            line.extend_from_slice(
                format!("log: event=lines-dropped count={}\n", self.dropped).as_bytes(),
            );
        }
        match self.tx.try_send(line) {
            Ok(()) => self.dropped = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
        Ok(())
    }
}

fn write(rx: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut line) = rx.recv() {
        // What has gathered meanwhile goes out in one write.
        while let Ok(more) = rx.try_recv() {
            line.extend_from_slice(&more);
        }
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            // Nobody reads any more; there is no other place to say so.
            return;
        }
    }
}
