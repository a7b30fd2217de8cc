//! Appending a record of changes and learning what became of it.

use std::time::{Duration, Instant};

use jacinthbeam::{
    platform::log::append,
    state::{CONTROL, Change, Envelope, Outcome, RecordId, Why},
    types::prelude::*,
};

use crate::{
    Terminal,
    control::{Reader, Seen},
};

/// Pause between two calls to a log that is down.
pub const PAUSE: Duration = Duration::from_millis(200);

/// What the log made of a record of changes.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// All of it is in force since this version.
    Accepted(ConfigVersion),
    /// None of it is in force.
    Refused(Why),
    /// It stands before the snapshot that the reader started from, so its effect shows only in the
    /// files in force.
    TooOld,
}

/// A verdict that was found.
#[derive(Debug, Clone, PartialEq)]
pub struct Settled {
    /// What the log made of the first copy of the record.
    pub verdict: Verdict,
    /// Whether another copy may still come.
    pub may_come_again: bool,
}

/// Why there is no verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The record was not written.
    NotWritten(String),
    /// The record may have been written, and could not be found in time.
    InDoubt(String),
}

/// Keeps the verdict on one record while others are read past it.
///
/// A record may stand in the log twice, see [`settle`]. The first copy decides, since it is the one
/// that takes effect.
#[derive(Debug)]
pub struct Watch {
    id: RecordId,
    verdict: Option<Verdict>,
    copies: u32,
}

impl Watch {
    /// Looks out for a record.
    pub fn new(id: RecordId) -> Self {
        Self { id, verdict: None, copies: 0 }
    }

    /// Takes a record that was read.
    pub fn see(&mut self, seen: &Seen) {
        if seen.id() != Some(self.id) {
            return;
        }
        self.copies += 1;
        if self.verdict.is_none() {
            self.verdict = Some(verdict(seen.outcome.as_ref()));
        }
    }

    /// The verdict, if the record was read.
    pub fn verdict(&self) -> Option<&Verdict> {
        self.verdict.as_ref()
    }
}

fn verdict(outcome: Option<&Outcome>) -> Verdict {
    match outcome {
        None => Verdict::TooOld,
        Some(Outcome::Void(why)) => Verdict::Refused(why.clone()),
        Some(Outcome::Applied { changes, .. }) => {
            let version = changes.iter().find_map(|change| match change {
                Change::Config(version) => Some(*version),
                _ => None,
            });
            version.map_or(Verdict::TooOld, Verdict::Accepted)
        }
    }
}

/// Appends a record of changes and reads on until it is found, for as long as `until` lies ahead.
///
/// An append without an answer may have taken effect, may do so later, or never. The stream is
/// therefore read to its end first; only if the record is not there is it appended again, under the
/// same id. Should both copies end up in the stream, the second has no effect: its files are in
/// force already, or were changed since and then its base is stale.
pub async fn settle(
    reader: &mut Reader,
    envelope: &Envelope,
    until: Instant,
    terminal: &mut Terminal<'_>,
) -> Result<Settled, Error> {
    let buf = envelope.encode().map_err(|err| Error::NotWritten(err.to_string()))?;
    let mut watch = Watch::new(envelope.id);
    let mut appended = 1;
    let mut missing = match reader.client().append(CONTROL, buf.clone()).await {
        Ok(_) => "it was written, but not read back yet".to_owned(),
        Err(append::Error::Refused(why)) => return Err(Error::NotWritten(why)),
        Err(append::Error::Unknown(why)) => {
            terminal.warn(format_args!(
                "no answer to the append of record {} ({why}); reads the log to find it",
                envelope.id
            ));
            why
        }
    };
    loop {
        match reader.to_end(|seen| watch.see(&seen)).await {
            Ok(()) if watch.verdict().is_none() => {
                appended += 1;
                append_again(reader, &buf, envelope.id, terminal).await;
            }
            Ok(()) => {}
            Err(err) => missing = err.to_string(),
        }
        if let Some(verdict) = watch.verdict() {
            let may_come_again = watch.copies < appended;
            return Ok(Settled { verdict: verdict.clone(), may_come_again });
        }
        if Instant::now() >= until {
            return Err(Error::InDoubt(missing));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// What this append answers proves nothing about the one before; the next read tells.
async fn append_again(reader: &Reader, buf: &[u8], id: RecordId, terminal: &mut Terminal<'_>) {
    terminal.warn(format_args!("record {id} is not in the log, appends it again"));
    let _ = reader.client().append(CONTROL, buf.to_vec()).await;
}
