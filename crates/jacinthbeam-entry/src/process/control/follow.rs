//! Following the control stream.

use std::time::{Duration, Instant};

use jacinthbeam_native::log::read::{Batch, Error};
use jacinthbeam_state::{
    CONTROL, Change, Outcome, State,
    load::{Loader, Step},
};
use jacinthbeam_types::prelude::*;

use super::{Control, Event, event::Source, relay::Proved};

/// How long a read waits for a record. A read proves the time of its start, so this must be short against the lease.
const WAIT: Duration = Duration::from_millis(150);
/// Most bytes of records in one read.
const MAX_READ: u32 = 4 << 20;
/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(100);
/// Time between two questions for the state of peers that have read further.
const CATCH_UP_EVERY: Duration = Duration::from_millis(200);
/// Failed reads after which a host without state asks its peers for theirs.
const ASK_PEERS_AFTER: u32 = 2;

/// Where this host stands in the stream.
#[derive(Debug)]
pub struct Follow {
    /// Set while the state is being searched for in a stream whose first records have expired.
    loader: Option<Loader>,
    failures: u32,
    /// When the peers may next be asked for their state because they have read further.
    next_catch_up: Option<Instant>,
    /// Offset at which this host must stop reading, because a newer release wrote it.
    stuck: Option<Offset>,
    /// Where the read goes that is on the way.
    source: Source,
}

impl Follow {
    /// At the start of the stream.
    pub fn new() -> Self {
        Self { loader: None, failures: 0, next_catch_up: None, stuck: None, source: Source::Log }
    }

    /// Failed reads since the last one that succeeded.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Where the read goes that is on the way.
    pub fn source(&self) -> &Source {
        &self.source
    }

    /// Whether records are simply applied one after the other.
    pub fn is_plain(&self) -> bool {
        self.loader.is_none() && self.stuck.is_none()
    }
}

impl Control {
    /// Takes the state of a peer that has read further, while the log does not answer this host.
    ///
    /// The word of a witness counts only for a fold that contains all that the witness has read. A host that was one record
    /// behind when its failure domain was cut off from the log could use no word, and lost all its leases for as long as
    /// the cut lasted; nobody else took them, since it lived and was elected.
    pub(super) fn catch_up_with_peers(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < self.timing.lease / 3;
        let is_due = self.follow.next_catch_up.is_none_or(|due| now >= due);
        if !is_due || self.proofs.log(&self.state).is_some_and(is_recent) {
            return;
        }
        if self.book.peers().values().any(|peer| peer.next > self.state.next) {
            self.follow.next_catch_up = Some(now + CATCH_UP_EVERY);
            self.fetch_state();
        }
    }

    /// Starts the next read of the stream, by the way that is due.
    pub(super) fn read_on(&mut self, pause: Duration) {
        match self.next_source(self.clock.now()) {
            Source::Log => self.read_log(pause, WAIT),
            Source::Relay { host, addr } => {
                self.follow.source = Source::Relay { host: host.clone(), addr };
                self.read_through(host, addr, pause);
            }
        }
    }

    /// Starts a read of the log itself.
    fn read_log(&mut self, pause: Duration, wait: Duration) {
        self.follow.source = Source::Log;
        let client = self.log.clone();
        let clock = self.clock.clone();
        let from = self.follow.loader.as_ref().map_or(self.state.next, Loader::next);
        self.spawn_event(async move {
            tokio::time::sleep(pause).await;
            let started = clock.now();
            let outcome = client.read(CONTROL, from, MAX_READ, wait).await;
            Some(Event::Read { source: Source::Log, started, outcome })
        });
    }

    pub(super) fn read(&mut self, source: Source, started: Instant, outcome: Result<Batch, Error>) {
        match (outcome, source) {
            (Ok(batch), source) => {
                self.follow.failures = 0;
                self.take_batch(&source, started, batch);
                let pause = if self.follow.stuck.is_some() { PAUSE } else { Duration::ZERO };
                self.read_on(pause);
            }
            (Err(err), Source::Relay { host, addr }) => {
                self.relay_failed(&host, addr, &err);
                // Without a wait: the answer proves its start at once, and the last proof may be old by now.
                self.read_log(Duration::ZERO, Duration::ZERO);
            }
            (Err(Error::Expired { earliest, .. }), Source::Log) => {
                log::warn!("log: records before {earliest} have expired, looking for a snapshot");
                self.follow.loader = Some(Loader::at(earliest));
                self.relay.refuse_all("this host has to start from a snapshot");
                self.read_on(Duration::ZERO);
            }
            (Err(err), Source::Log) => self.read_failed(&err),
        }
    }

    fn read_failed(&mut self, err: &Error) {
        self.follow.failures += 1;
        if self.follow.failures == 1 {
            log::warn!("log: read failed: {err}");
        }
        if self.follow.failures >= ASK_PEERS_AFTER && self.state.next == Offset(0) {
            self.fetch_state();
        }
        self.relay.refuse_all("this host can't read the log at present");
        self.read_on(PAUSE);
    }

    fn take_batch(&mut self, source: &Source, started: Instant, batch: Batch) {
        let now = self.clock.now();
        let moved = !batch.records.is_empty();
        for record in &batch.records {
            if self.follow.stuck.is_some() {
                return;
            }
            self.take_record(now, record.offset, &record.bytes);
        }
        // The stream has no snapshot that helps, and the next one may be minutes away. The peers have the state.
        if self.follow.loader.is_some() && !moved {
            self.fetch_state();
        }
        if self.follow.loader.is_none() && self.state.next >= batch.end {
            self.proofs.log_read(started, batch.end);
            if *source == Source::Log {
                let Batch { end, earliest, .. } = batch;
                self.relay.proved(Proved { started, end, earliest });
            }
        }
        self.ways.succeeded(source);
        if *source == Source::Log {
            self.relay.read_ended();
        }
        if moved {
            self.witness.forget(&self.state);
            self.changed = true;
            self.tick_attendants();
            self.keep_memory(now);
        }
    }

    fn take_record(&mut self, now: Instant, offset: Offset, buf: &[u8]) {
        if let Some(loader) = &mut self.follow.loader {
            match loader.push(offset, buf) {
                Ok(Step::Searching) => {}
                Ok(Step::Unusable(err)) => log::warn!("log: snapshot before {offset}: {err}"),
                Ok(Step::Loaded(state)) => self.adopt(now, *state),
                Err(err) => self.stick(offset, &err),
            }
            return;
        }
        // A read may bring records again that were applied while it was on the way.
        if offset < self.state.next {
            return;
        }
        let outcome = match self.state.apply_bytes(offset, buf) {
            Ok(outcome) => outcome,
            Err(err) => return self.stick(offset, &err),
        };
        self.observed.read(now, offset);
        self.relay.tail().push(offset, buf);
        match outcome {
            Outcome::Applied { changes, .. } => {
                changes.iter().for_each(|change| self.note_change(offset, change));
            }
            Outcome::Void(why) => {
                self.counts.void_records += 1;
                log::info!("log: record {offset} is void: {why}");
            }
        }
    }

    /// Replaces the fold by one that reaches further. How long ago its records were written is unknown, so every wait
    /// for a lease's end starts now.
    pub(super) fn adopt(&mut self, now: Instant, state: State) {
        if state.next <= self.state.next && self.follow.loader.is_none() {
            return;
        }
        self.follow.loader = None;
        if state.next > self.state.next {
            log::info!("log: state taken over up to record {}", state.next);
            self.state = state;
            self.relay.tail().restart(self.state.next);
            self.observed.replaced(now);
            self.changed = true;
        }
    }

    fn note_change(&mut self, offset: Offset, change: &Change) {
        self.note_placed(change);
        if let Change::SnapshotPart { part, of, .. } = change {
            if part + 1 == *of {
                self.snapshots.seen(self.clock.now(), offset);
            }
            return;
        }
        if let Change::Config(version) = change {
            log::info!("config: version {version} is in force");
            self.reconfigure_teams();
            return;
        }
        self.note_origin(change);
        self.counts.note(change);
        log::info!("owner: record {offset}: {change}{}", self.reason(offset, change));
    }

    /// The reason that the author of a record gave, as far as the fold keeps it.
    fn reason(&self, offset: Offset, change: &Change) -> String {
        let about = change.servers().filter_map(|server| self.state.recent(server).last());
        let mut entries = about.filter(|entry| entry.offset == offset);
        entries.next().map_or_else(String::new, |entry| format!(" because: {}", entry.why))
    }

    fn stick(&mut self, offset: Offset, err: &jacinthbeam_state::apply::Error) {
        log::error!("log: {err}");
        self.follow.stuck = Some(offset);
    }

    pub(super) fn fetched(&mut self, next: Offset, snapshot: &[u8]) {
        match State::decode(next, snapshot) {
            Ok(state) => self.adopt(self.clock.now(), state),
            Err(err) => log::warn!("log: state of a peer: {err}"),
        }
    }
}
