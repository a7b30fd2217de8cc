//! Letting other hosts of the cell read the control stream through this one.

use std::time::{Duration, Instant};

use jacinthbeam_peer::message::{Answer, Records};
use jacinthbeam_types::prelude::*;
use tokio::sync::oneshot;

use super::tail::{self, Tail};

/// Most bytes of records in one answer.
pub const MAX_ANSWER: u32 = 4 << 20;
/// Longest time that a host waits here. Longer than a read of this host's own takes, which ends the wait.
pub const MAX_WAIT: Duration = Duration::from_millis(250);
/// Most hosts that may wait at a time; a cell has at most 16.
const MAX_WAITING: usize = 64;

/// What this host can tell others of the stream, and who waits for it.
///
/// Only what it read from the log itself is handed on: over several hosts proofs would grow old.
#[derive(Debug, Default)]
pub struct Relay {
    tail: Tail,
    proved: Option<Proved>,
    waiting: Vec<Waiting>,
    answered: u64,
}

/// A read of the log itself that reached its end.
#[derive(Debug, Clone, Copy)]
pub struct Proved {
    /// Just before it was sent.
    pub started: Instant,
    /// Offset after the last record.
    pub end: Offset,
    /// First record still kept by the log.
    pub earliest: Offset,
}

/// What a host wants to read.
#[derive(Debug)]
pub struct Wanted {
    /// First record wanted.
    pub from: Offset,
    /// At most this many bytes of records, but at least one record.
    pub max_bytes: u32,
    /// How long to wait for a record or a new proof.
    pub wait: Duration,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Answer>,
}

#[derive(Debug)]
struct Waiting {
    wanted: Wanted,
    arrived: Instant,
    until: Instant,
}

impl Wanted {
    /// Answers that nothing is to be had here.
    pub fn refuse(self, why: impl Into<String>) {
        // Whoever asked may have gone away.
        let _ = self.reply.send(Answer::Failed { why: why.into() });
    }
}

impl Relay {
    /// Records kept for others.
    pub fn tail(&mut self) -> &mut Tail {
        &mut self.tail
    }

    /// Reads of other hosts that were answered.
    pub fn answered(&self) -> u64 {
        self.answered
    }

    /// Notes a read of the log itself that reached its end.
    pub fn proved(&mut self, proved: Proved) {
        self.proved = Some(proved);
    }

    /// Answers at once if there are records, else when a read of this host's own has ended.
    pub fn ask(&mut self, now: Instant, wanted: Wanted) {
        let until = now + wanted.wait.min(MAX_WAIT);
        let waiting = Waiting { wanted, arrived: now, until };
        if waiting.wanted.from < self.tail.next() {
            return self.try_answer(waiting);
        }
        if self.waiting.len() >= MAX_WAITING {
            return waiting.wanted.refuse("too many hosts read through this one");
        }
        self.waiting.push(waiting);
    }

    /// A read of the log itself has ended well: whoever waits is answered with its records, or with the newer proof.
    pub fn read_ended(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            self.try_answer(waiting);
        }
    }

    fn try_answer(&mut self, waiting: Waiting) {
        let max_bytes = waiting.wanted.max_bytes.min(MAX_ANSWER) as usize;
        match self.tail.read(waiting.wanted.from, max_bytes) {
            Ok(records) => self.answer(waiting, records),
            // The other host has read further; this one may get there with its next read.
            Err(tail::Error::Behind { .. }) => self.waiting.push(waiting),
            Err(err) => waiting.wanted.refuse(err.to_string()),
        }
    }

    /// The age is counted up to the arrival of the question, not to the answer: the host that asked subtracts it from
    /// a time before the arrival, so the proof is no younger than it says, and the wait here does not make it older.
    fn answer(&mut self, waiting: Waiting, records: Vec<(Offset, Vec<u8>)>) {
        let Some(Proved { started, end, earliest }) = self.proved else {
            let why = "no read of this host has reached the end of the stream yet";
            return waiting.wanted.refuse(why);
        };
        let proof_age = waiting.arrived.saturating_duration_since(started);
        let records = Records { records, earliest, end, proof_age };
        // Whoever asked may have gone away.
        let _ = waiting.wanted.reply.send(Answer::Records(records));
        self.answered += 1;
    }

    /// Refuses those who have waited for long: this host lags behind them, or its own read of the log is late.
    pub fn refuse_late(&mut self, now: Instant) {
        for waiting in self.waiting.extract_if(.., |waiting| now >= waiting.until) {
            waiting.wanted.refuse("this host's own read of the log is late");
        }
    }

    /// Refuses everybody who waits.
    pub fn refuse_all(&mut self, why: &str) {
        self.waiting.drain(..).for_each(|waiting| waiting.wanted.refuse(why));
    }
}
