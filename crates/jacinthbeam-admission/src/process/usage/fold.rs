//! Totals from the usage stream.

use std::collections::{BTreeMap, BTreeSet};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Batch, Count, Record};

/// Most process lives whose sequences are kept. Far more than can have a batch on its way.
pub const MAX_LIVES: usize = 16_384;
/// Most sequences kept beyond a missing one for one life. A counter has one batch on its way, so
/// there are none unless it misbehaves.
pub const MAX_GAPS: usize = 64;

/// Requests of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Those that ran.
    pub ran: u64,
    /// Those of which nobody knows.
    pub may_have_run: u64,
}

/// Totals of one service of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Team that was billed.
    pub team: TeamName,
    /// The service.
    pub service: ServiceName,
    /// Its totals.
    pub totals: Totals,
}

/// Which batches of one process life are counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// The life.
    pub incarnation: Incarnation,
    /// All batches up to this sequence are counted, or missing for good.
    pub through: u64,
    /// Counted batches beyond.
    pub above: BTreeSet<u64>,
    /// Where its last batch stood.
    pub last: Offset,
}

/// Everything counted in the records before `upto`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// First record that is not contained.
    pub upto: Offset,
    /// Totals.
    pub totals: Vec<Total>,
    /// What is counted of each life, so that a repeat of a batch after the snapshot is known.
    pub lives: Vec<Life>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Counted {
    totals: BTreeMap<TeamName, BTreeMap<ServiceName, Totals>>,
    lives: BTreeMap<Incarnation, Life>,
}

/// Batch that was read before any snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Early {
    offset: Offset,
    batch: Batch,
}

/// State of a reader of the usage stream. A pure function of the records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fold {
    counted: Counted,
    next: Offset,
    /// Batches read so far, while older ones are missing. `None` once the fold is complete.
    early: Option<Vec<Early>>,
    first: Offset,
    last_snapshot: Option<Offset>,
}

impl Fold {
    /// A reader that starts with the record at `first`, the earliest that the log keeps.
    pub fn open(first: Offset) -> Self {
        let early = (first != Offset(0)).then(Vec::new);
        Self { counted: Counted::default(), next: first, early, first, last_snapshot: None }
    }

    /// Takes the record at this offset; records are to be given in order. One that was given before
    /// changes nothing.
    pub fn apply(&mut self, offset: Offset, record: &Record) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        match record {
            Record::Batch(batch) => self.apply_batch(offset, batch),
            Record::Snapshot(snapshot) => self.apply_snapshot(offset, snapshot),
        }
    }

    /// A record that can't be decoded stands at this offset.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset.next());
    }

    /// Whether everything ever counted is known. If not, a snapshot is still to come.
    pub fn is_complete(&self) -> bool {
        self.early.is_none()
    }

    /// First record that was not read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Where the newest snapshot stands.
    pub fn last_snapshot(&self) -> Option<Offset> {
        self.last_snapshot
    }

    /// Totals by team and service; `None` while incomplete.
    pub fn totals(&self) -> Option<&BTreeMap<TeamName, BTreeMap<ServiceName, Totals>>> {
        self.is_complete().then_some(&self.counted.totals)
    }

    /// A record that carries all of this past the log's retention; `None` while incomplete. Any
    /// number of hosts may append one at any time.
    pub fn snapshot(&self) -> Option<Record> {
        if !self.is_complete() {
            return None;
        }
        let of_team = |(team, services): (&TeamName, &BTreeMap<ServiceName, Totals>)| {
            let team = team.clone();
            let total = move |(service, totals): (&ServiceName, &Totals)| Total {
                team: team.clone(),
                service: service.clone(),
                totals: *totals,
            };
            services.iter().map(total).collect::<Vec<_>>()
        };
        Some(Record::Snapshot(Snapshot {
            upto: self.next,
            totals: self.counted.totals.iter().flat_map(of_team).collect(),
            lives: self.counted.lives.values().cloned().collect(),
        }))
    }

    fn apply_batch(&mut self, offset: Offset, batch: &Batch) {
        match &mut self.early {
            Some(early) => early.push(Early { offset, batch: batch.clone() }),
            None => self.counted.add(offset, batch),
        }
    }

    fn apply_snapshot(&mut self, offset: Offset, snapshot: &Snapshot) {
        self.last_snapshot = Some(offset);
        // Records between the snapshot's end and the first one kept would be missing.
        if snapshot.upto < self.first {
            return;
        }
        // A complete fold knows all that a snapshot can tell, so snapshots of several hosts do not
        // disturb it.
        let Some(early) = self.early.take() else { return };
        self.counted = Counted::from(snapshot);
        for early in early.iter().filter(|early| early.offset >= snapshot.upto) {
            self.counted.add(early.offset, &early.batch);
        }
    }
}

impl Counted {
    fn add(&mut self, offset: Offset, batch: &Batch) {
        let id = batch.id;
        let life = self.lives.entry(id.incarnation).or_insert_with(|| Life {
            incarnation: id.incarnation,
            through: 0,
            above: BTreeSet::new(),
            last: offset,
        });
        life.last = offset;
        if life.note(id.sequence) {
            batch.counts.iter().for_each(|count| self.add_count(count));
        }
        self.retire();
    }

    fn add_count(&mut self, count: &Count) {
        let team = self.totals.entry(count.team.clone()).or_default();
        let totals = team.entry(count.service.clone()).or_default();
        match count.verdict {
            Verdict::Ran => totals.ran = totals.ran.saturating_add(count.count),
            Verdict::MayHaveRun => {
                totals.may_have_run = totals.may_have_run.saturating_add(count.count);
            }
            Verdict::NotRun => {}
        }
    }

    /// Drops the life that has been quiet the longest. By offset and not by time, so that all
    /// readers drop the same one.
    fn retire(&mut self) {
        if self.lives.len() <= MAX_LIVES {
            return;
        }
        let quiet = self.lives.values().min_by_key(|life| life.last).map(|life| life.incarnation);
        if let Some(incarnation) = quiet {
            self.lives.remove(&incarnation);
        }
    }
}

impl From<&Snapshot> for Counted {
    fn from(snapshot: &Snapshot) -> Self {
        let mut counted = Self::default();
        for total in &snapshot.totals {
            let team = counted.totals.entry(total.team.clone()).or_default();
            team.insert(total.service.clone(), total.totals);
        }
        let lives = snapshot.lives.iter().map(|life| (life.incarnation, life.clone()));
        counted.lives = lives.collect();
        counted
    }
}

impl Life {
    /// Notes a batch as counted. Returns whether it was not before.
    fn note(&mut self, sequence: u64) -> bool {
        if sequence <= self.through || !self.above.insert(sequence) {
            return false;
        }
        if self.above.len() > MAX_GAPS {
            // What is missing below is given up, or the set would grow without bound.
            let lowest = self.above.first().copied().unwrap_or(sequence);
            self.through = lowest.saturating_sub(1);
        }
        while self.above.remove(&(self.through + 1)) {
            self.through += 1;
        }
        true
    }
}
