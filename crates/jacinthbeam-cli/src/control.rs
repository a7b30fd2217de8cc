//! Reads the control stream of the log and folds it, as an entry host does.

use std::{fmt, net::SocketAddr, time::Duration};

use jacinthbeam::{
    platform::log::{self, read},
    state::{
        CONTROL, Envelope, Outcome, RecordId, State, apply,
        load::{Loader, Step},
    },
    types::prelude::*,
};

/// Bound of one call to the log.
pub const TIMEOUT: Duration = Duration::from_secs(2);
/// Most bytes of records in one read.
const MAX_READ: u32 = 4 << 20;

/// Why the stream could not be folded to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The log can't be reached.
    Down(String),
    /// Older records have expired, and no whole snapshot stands in what is kept.
    NoSnapshot {
        /// First record still kept.
        earliest: Offset,
    },
    /// The stream holds what this release does not understand.
    Stuck(apply::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Down(why) => f.write_str(why),
            Self::NoSnapshot { earliest } => write!(
                f,
                "the log keeps records from {earliest} on and holds no whole snapshot; \
                 an entry host appends one within minutes, try again then"
            ),
            Self::Stuck(err) => err.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

/// A record that was read.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// Where it stands.
    pub offset: Offset,
    /// What it says; `None` if the bytes are no record.
    pub envelope: Option<Envelope>,
    /// What became of it; `None` if it stands before the state that was loaded from a snapshot.
    pub outcome: Option<Outcome>,
}

impl Seen {
    /// Who appended it; `None` if the bytes are no record.
    pub fn id(&self) -> Option<RecordId> {
        self.envelope.as_ref().map(|envelope| envelope.id)
    }
}

/// A reader of the control stream, from its first record that is kept.
#[derive(Debug)]
pub struct Reader {
    client: log::Client,
    state: State,
    loader: Option<Loader>,
}

impl Reader {
    /// A reader that has read nothing yet.
    pub fn open(log: SocketAddr) -> Self {
        Self { client: log::Client::open(log, TIMEOUT), state: State::new(), loader: None }
    }

    /// The client of the log, for appends.
    pub fn client(&self) -> &log::Client {
        &self.client
    }

    /// The fold of what was read.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Reads everything that stands in the stream at the time of the call, and hands each record to `seen`.
    ///
    /// After an error the next call goes on where this one ended.
    pub async fn to_end(&mut self, mut seen: impl FnMut(Seen)) -> Result<(), Error> {
        loop {
            let from = self.loader.as_ref().map_or(self.state.next, Loader::next);
            let batch = match self.client.read(CONTROL, from, MAX_READ, Duration::ZERO).await {
                Ok(batch) => batch,
                Err(read::Error::Expired { earliest, .. }) => {
                    self.loader = Some(Loader::at(earliest));
                    continue;
                }
                Err(err @ read::Error::Down(_)) => return Err(Error::Down(err.to_string())),
            };
            for record in &batch.records {
                seen(self.take(record).map_err(Error::Stuck)?);
            }
            let next = self.loader.as_ref().map_or(self.state.next, Loader::next);
            if next < batch.end {
                continue;
            }
            return match self.loader.take() {
                None => Ok(()),
                Some(_) => Err(Error::NoSnapshot { earliest: batch.earliest }),
            };
        }
    }

    fn take(&mut self, record: &read::Record) -> Result<Seen, apply::Error> {
        let offset = record.offset;
        let envelope = Envelope::decode(&record.bytes).ok();
        let Some(loader) = &mut self.loader else {
            let outcome = self.state.apply_bytes(offset, &record.bytes)?;
            return Ok(Seen { offset, envelope, outcome: Some(outcome) });
        };
        if let Step::Loaded(state) = loader.push(offset, &record.bytes)? {
            self.state = *state;
            self.loader = None;
        }
        Ok(Seen { offset, envelope, outcome: None })
    }
}
