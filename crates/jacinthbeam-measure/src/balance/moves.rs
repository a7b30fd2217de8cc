//! Moves of slots, from the backend servers' own records and from the log.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam::{
    state::{CONTROL, Change, Envelope, How, Outcome, Record, State},
    types::prelude::*,
};
use jacinthbeam_standin::log;

use super::report::{LogCounts, MovesReport};
use crate::{
    judge::ServerRecord,
    load::Note,
    report::Requests,
    statistic::{millis, quantile},
};

/// How long before a slot leaves its owner's grant a request may have begun to wait for the move.
const HELD_BEFORE: Duration = Duration::from_millis(300);

/// All changes of owner that the backend servers saw.
pub(super) struct Moves(Vec<Move>);

/// A slot that went from one server's grant to another's.
struct Move {
    service: ServiceName,
    slot: SlotId,
    left: Instant,
    came: Instant,
}

/// A time during which one server's grant held one slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Span<'a> {
    from: Instant,
    until: Instant,
    server: &'a ServerId,
}

type Spans<'a> = BTreeMap<(&'a ServiceName, SlotId), Vec<Span<'a>>>;

fn spans(servers: &[ServerRecord]) -> Spans<'_> {
    let mut spans = Spans::new();
    for server in servers {
        for holding in &server.holdings {
            let span = Span { from: holding.from, until: holding.until, server: &server.id };
            for slot in holding.slots.iter() {
                spans.entry((&server.service, slot)).or_default().push(span);
            }
        }
    }
    spans
}

impl Moves {
    /// Those that began after `since`.
    pub fn of(servers: &[ServerRecord], since: Instant) -> Self {
        let mut moves = Vec::new();
        for ((service, slot), mut spans) in spans(servers) {
            spans.sort();
            for pair in spans.windows(2) {
                let (before, after) = (pair[0], pair[1]);
                if before.server != after.server && before.until >= since {
                    let (left, came) = (before.until, after.from);
                    moves.push(Move { service: service.clone(), slot, left, came });
                }
            }
        }
        Self(moves)
    }

    pub fn of_service(&self, service: &ServiceName) -> usize {
        self.0.iter().filter(|moved| moved.service == *service).count()
    }

    pub fn report(
        &self,
        servers: &[ServerRecord],
        notes: &[Note],
        service_time: Duration,
    ) -> MovesReport {
        let gaps: Vec<f64> = self
            .0
            .iter()
            .map(|moved| millis(moved.came.saturating_duration_since(moved.left)))
            .collect();
        let slots = slots_of_paths(servers);
        let during: Vec<&Note> =
            notes.iter().filter(|note| self.concern(note, slots.get(note.path.as_str()))).collect();
        let waits: Vec<f64> = during
            .iter()
            .filter(|note| note.is_success())
            .map(|note| millis((note.ended_at - note.sent).saturating_sub(service_time)))
            .collect();
        MovesReport {
            moves: self.0.len(),
            between_grants_ms: [0.5, 0.99, 1.0].map(|part| quantile(&gaps, part)),
            waited_ms: [0.5, 0.99, 1.0].map(|part| quantile(&waits, part)),
            requests: Requests::of(during.into_iter()),
        }
    }

    /// Whether a request was open while its slot moved. One that no server ran has no slot here and doesn't count.
    fn concern(&self, note: &Note, slot: Option<&SlotId>) -> bool {
        let Some(slot) = slot else { return false };
        self.0
            .iter()
            .filter(|moved| moved.slot == *slot && moved.service == note.service)
            .any(|moved| note.sent <= moved.came && note.ended_at + HELD_BEFORE >= moved.left)
    }
}

fn slots_of_paths(servers: &[ServerRecord]) -> BTreeMap<&str, SlotId> {
    let runs = servers.iter().flat_map(|server| &server.runs);
    runs.filter_map(|run| Some((run.path.as_str(), run.slot?))).collect()
}

/// What the control stream says.
pub(super) struct Records {
    pub counts: LogCounts,
    split: BTreeMap<ServiceName, usize>,
    merged: BTreeMap<ServiceName, usize>,
}

impl Records {
    /// Folds the whole log once more.
    pub fn of(log: &log::Handle) -> Self {
        let mut records =
            Self { counts: LogCounts::default(), split: BTreeMap::new(), merged: BTreeMap::new() };
        let mut state = State::new();
        for (offset, buf) in log.records(CONTROL) {
            let Ok(envelope) = Envelope::decode(&buf) else { continue };
            let Ok(outcome) = state.apply(offset, &envelope) else { continue };
            records.count(&envelope.record, &outcome);
        }
        records
    }

    pub fn split(&self, service: &ServiceName) -> usize {
        self.split.get(service).copied().unwrap_or_default()
    }

    pub fn merged(&self, service: &ServiceName) -> usize {
        self.merged.get(service).copied().unwrap_or_default()
    }

    fn count(&mut self, record: &Record, outcome: &Outcome) {
        self.counts.records += 1;
        let placed =
            matches!(record, Record::Move { .. } | Record::Split { .. } | Record::Merge { .. });
        self.counts.moves += u64::from(matches!(record, Record::Move { .. }));
        if let Outcome::Void(why) = outcome
            && placed
        {
            *self.counts.void.entry(why.to_string()).or_default() += 1;
        }
        for change in outcome.changes() {
            match change {
                Change::Slots { slots, how: How::Moved, .. } => {
                    self.counts.moved_slots += slots.len() as u64;
                }
                Change::Split { service, .. } => {
                    *self.split.entry(service.clone()).or_default() += 1;
                }
                Change::Merged { service, .. } => {
                    *self.merged.entry(service.clone()).or_default() += 1;
                }
                _ => {}
            }
        }
    }
}
