//! Memory of requests with an idempotency key, so that a caller's repeat never runs twice.
//!
//! The attendant of the owner keeps it, and its successor holds a copy of each entry before the
//! request is sent. Bounds of entries, bytes and time are in [`Options`]; an entry that could still
//! prevent a second run is never dropped for room.

mod entry;
mod losses;
mod store;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

pub use entry::{Copy, Progress, Scope, SlotOf, StoredAnswer};

use losses::Losses;
use store::{copy_of, size_of_entry};

/// Bytes counted for an entry beside its idempotency key and its answer: the entry, its place in
/// the map and in the order of age. Measured by `examples/cost.rs`, rounded up.
pub const ENTRY_BYTES: u64 = 320;
/// An entry that is due within this share of [`Options::keep`] is waited for.
const SOON: u32 = 16;
/// Hint for a repeat that comes while the first request is in progress.
const IN_PROGRESS_RETRY: Duration = Duration::from_millis(100);
/// Hint for a request that found the memory full.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// Bounds of the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Most entries.
    pub entries: usize,
    /// Most bytes, by [`Memory::bytes`].
    pub bytes: Bytes,
    /// How long an entry is kept after its last change. A caller may repeat for that long. Must
    /// exceed the longest deadline.
    pub keep: Duration,
    /// Largest answer that is kept, in bytes.
    pub answer: Bytes,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entries: 100_000,
            bytes: Bytes(64 << 20),
            keep: Duration::from_secs(600),
            answer: Bytes(64 << 10),
        }
    }
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// Send it, after the successor has acknowledged [`Memory::copy`]. Then report how the attempt ended.
    Run {
        /// Number to report with.
        attempt: u32,
    },
    /// It ran before: this is the answer.
    Replay(Arc<StoredAnswer>),
    /// Refuse it.
    Refuse(Refusal),
}

/// Whether a copy was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Imported {
    /// It is kept, or something newer is.
    Kept,
    /// There is no room; the sender has no copy here and must not rely on it.
    Full,
}

#[derive(Debug)]
struct Entry {
    slot: Option<SlotId>,
    fingerprint: u64,
    attempt: u32,
    progress: Progress,
    /// Whether this host is waiting for the end of the attempt.
    in_progress: bool,
    changed: Instant,
}

/// When an entry is to be looked at.
#[derive(Debug)]
struct Age {
    due: Instant,
    scope: Scope,
}

/// Bounded memory of one entry host.
#[derive(Debug)]
pub struct Memory {
    options: Options,
    entries: BTreeMap<Scope, Entry>,
    /// One item an entry, about in the order of last change; checked against the entry before it is
    /// forgotten.
    ages: VecDeque<Age>,
    /// Entries with a kept answer, oldest first; may name entries that have none any more.
    answers: VecDeque<Scope>,
    losses: Losses,
    bytes: u64,
}

impl Memory {
    /// An empty memory.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            entries: BTreeMap::new(),
            ages: VecDeque::new(),
            answers: VecDeque::new(),
            losses: Losses::default(),
            bytes: 0,
        }
    }

    /// Decides on a request. On [`Begin::Run`] it counts as sent from here on.
    pub fn begin(
        &mut self,
        now: Instant,
        scope: &Scope,
        slot: Option<SlotId>,
        fingerprint: u64,
    ) -> Begin {
        self.forget(now);
        let lost = self.lost_for(now, scope, slot);
        let Some(entry) = self.entries.get_mut(scope) else {
            return self.begin_unknown(now, scope, slot, fingerprint, lost.is_some());
        };
        if entry.fingerprint != fingerprint {
            return Begin::Refuse(Refusal::not_run(Reason::KeyReused));
        }
        match &entry.progress {
            Progress::Answered(answer) => Begin::Replay(answer.clone()),
            Progress::AnsweredNotKept => Begin::Refuse(ran()),
            Progress::Sent if entry.in_progress => Begin::Refuse(in_progress()),
            Progress::Sent => Begin::Refuse(Refusal::may_have_run(Reason::MemoryLost)),
            // The attempt that followed it may be what was lost.
            Progress::NotRun if lost.is_some_and(|since| entry.changed <= since) => {
                Begin::Refuse(Refusal::may_have_run(Reason::MemoryLost))
            }
            Progress::NotRun => {
                entry.attempt += 1;
                entry.progress = Progress::Sent;
                entry.in_progress = true;
                entry.changed = now;
                Begin::Run { attempt: entry.attempt }
            }
        }
    }

    /// The entry, for the successor.
    pub fn copy(&self, scope: &Scope) -> Option<Copy> {
        Some(copy_of(scope, self.entries.get(scope)?))
    }

    /// The attempt is proven not to have run: never sent, or refused by the backend server before it ran.
    pub fn not_run(&mut self, now: Instant, scope: &Scope, attempt: u32) {
        self.end(now, scope, attempt, Progress::NotRun);
    }

    /// The attempt ended without an answer, and may have run.
    pub fn unknown(&mut self, now: Instant, scope: &Scope, attempt: u32) {
        self.end(now, scope, attempt, Progress::Sent);
    }

    /// The attempt was answered, with an answer that is kept if it is small enough (`None`: it is not).
    pub fn answered(
        &mut self,
        now: Instant,
        scope: &Scope,
        attempt: u32,
        answer: Option<StoredAnswer>,
    ) {
        let kept = answer.filter(|answer| answer.size() <= self.options.answer.0);
        let progress =
            kept.map_or(Progress::AnsweredNotKept, |kept| Progress::Answered(Arc::new(kept)));
        self.end(now, scope, attempt, progress);
    }

    /// Takes a copy from another host: as its successor, or as the new attendant. Order and
    /// repetition of copies do not matter.
    pub fn import(&mut self, now: Instant, copy: Copy) -> Imported {
        self.forget(now);
        let Some(entry) = self.entries.get(&copy.scope) else {
            return self.import_unknown(now, copy);
        };
        let newer = (copy.attempt, copy.progress.rank()) > (entry.attempt, entry.progress.rank());
        // An attempt of this host's own is ended by its own report only.
        if newer && !entry.in_progress {
            self.replace(now, &copy.scope, copy.attempt, copy.progress);
        }
        if let Some(entry) = self.entries.get_mut(&copy.scope) {
            entry.slot = copy.slot;
        }
        Imported::Kept
    }

    /// Copies of the entries picked by scope and by the slot that the key had when the request
    /// came; reads the whole memory.
    pub fn export<'a>(
        &'a self,
        picked: impl Fn(&Scope, Option<SlotId>) -> bool + 'a,
    ) -> impl Iterator<Item = Copy> + 'a {
        let entries = self.entries.iter();
        let of_slot = entries.filter(move |(scope, entry)| picked(scope, entry.slot));
        of_slot.map(|(scope, entry)| copy_of(scope, entry))
    }

    /// Drops the entries of slots whose memory has been handed over for good, when the record of
    /// the move has been read.
    ///
    /// If the slots come back, what the next attendant learnt in between counts, not what stood here.
    pub fn remove(&mut self, picked: impl Fn(&Scope, Option<SlotId>) -> bool) {
        let bytes = &mut self.bytes;
        self.entries.retain(|scope, entry| {
            let gone = picked(scope, entry.slot) && !entry.in_progress;
            if gone {
                *bytes -= size_of_entry(scope, &entry.progress);
            }
            !gone
        });
        let entries = &self.entries;
        self.ages.retain(|age| entries.contains_key(&age.scope));
        self.answers.retain(|scope| entries.contains_key(scope));
    }

    /// Drops the picked entries, also those in progress: a later keeper of their slots is the one that knows.
    ///
    /// The report of an attempt that was in progress changes nothing any more. That attempt was not
    /// sent after the later keeper began, since the backend server and the holders of copies refuse
    /// the earlier keeper.
    pub fn supersede(&mut self, picked: impl Fn(&Scope, Option<SlotId>) -> bool) {
        for (scope, entry) in &mut self.entries {
            entry.in_progress &= !picked(scope, entry.slot);
        }
        self.remove(picked);
    }

    /// Puts entries under the slot that now holds their key, as a key is split out of its slot or
    /// merged into it.
    ///
    /// `slot_of` gets the scope and the present slot of each entry of a divided service.
    pub fn relabel(&mut self, slot_of: impl Fn(&Scope, SlotId) -> SlotId) {
        for (scope, entry) in &mut self.entries {
            entry.slot = entry.slot.map(|slot| slot_of(scope, slot));
        }
    }

    /// When memory of the slot was last lost, if that still matters.
    pub fn lost_at(&self, now: Instant, slot: &SlotOf) -> Option<Instant> {
        self.losses.since(now, slot, self.options.keep)
    }

    /// Memory of these slots from before `when` may have been lost: unknown keys are refused until
    /// it would have been forgotten anyway.
    pub fn lost_since(&mut self, slots: impl IntoIterator<Item = SlotOf>, when: Instant) {
        for slot in slots {
            self.losses.add(slot, when);
        }
    }

    /// Forgets what is older than [`Options::keep`]. An entry may stay up to twice as long.
    pub fn forget(&mut self, now: Instant) {
        let keep = self.options.keep;
        while let Some(age) = self.ages.pop_front_if(|age| age.due <= now) {
            let Some(entry) = self.entries.get(&age.scope) else { continue };
            let due = match entry.in_progress {
                true => now + keep,
                false => entry.changed + keep,
            };
            if due <= now {
                self.drop_entry(&age.scope);
                continue;
            }
            let age = Age { due, scope: age.scope };
            // At the back it would wait for all entries before it, and most entries change once,
            // soon after they are made.
            if due - now <= keep / SOON {
                self.ages.push_front(age);
                break;
            }
            self.ages.push_back(age);
        }
        self.losses.forget(now, keep);
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes taken, about: [`ENTRY_BYTES`] an entry, its idempotency key and its kept answer.
    pub fn bytes(&self) -> Bytes {
        Bytes(self.bytes)
    }
}

fn in_progress() -> Refusal {
    Refusal::may_have_run(Reason::InProgress).retry_after(IN_PROGRESS_RETRY)
}

fn ran() -> Refusal {
    Refusal { verdict: Verdict::Ran, reason: Reason::MemoryLost, retry_after: None }
}
