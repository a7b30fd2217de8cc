//! Keeping entries within their bounds.

use std::time::Instant;

use jacinthbeam_types::prelude::*;

use super::{
    Age, Begin, Copy, ENTRY_BYTES, Entry, FULL_RETRY, Imported, Memory, Progress, Scope, SlotOf,
};

impl Memory {
    pub(super) fn begin_unknown(
        &mut self,
        now: Instant,
        scope: &Scope,
        slot: Option<SlotId>,
        fingerprint: u64,
        may_be_lost: bool,
    ) -> Begin {
        // An unknown key may be the repeat of a request whose memory is lost; to run it would risk
        // a second effect.
        if may_be_lost {
            return Begin::Refuse(Refusal::may_have_run(Reason::MemoryLost));
        }
        let entry = Entry {
            slot,
            fingerprint,
            attempt: 1,
            progress: Progress::Sent,
            in_progress: true,
            changed: now,
        };
        match self.insert(now, scope.clone(), entry) {
            true => Begin::Run { attempt: 1 },
            // To run it without memory would let a repeat run again; to forget another one would
            // let that run again.
            false => Begin::Refuse(Refusal::not_run(Reason::Overloaded).retry_after(FULL_RETRY)),
        }
    }

    pub(super) fn import_unknown(&mut self, now: Instant, copy: Copy) -> Imported {
        let entry = Entry {
            slot: copy.slot,
            fingerprint: copy.fingerprint,
            attempt: copy.attempt,
            progress: Progress::Sent,
            in_progress: false,
            changed: now,
        };
        if !self.insert(now, copy.scope.clone(), entry) {
            return Imported::Full;
        }
        self.replace(now, &copy.scope, copy.attempt, copy.progress);
        Imported::Kept
    }

    /// Ends this host's own attempt. A report of an attempt that is not the present one changes nothing.
    pub(super) fn end(&mut self, now: Instant, scope: &Scope, attempt: u32, progress: Progress) {
        let Some(entry) = self.entries.get_mut(scope) else { return };
        if !entry.in_progress || entry.attempt != attempt {
            return;
        }
        entry.in_progress = false;
        self.replace(now, scope, attempt, progress);
    }

    /// Sets the progress of an entry that exists; an answer that finds no room is not kept.
    pub(super) fn replace(
        &mut self,
        now: Instant,
        scope: &Scope,
        attempt: u32,
        progress: Progress,
    ) {
        let size = answer_size(&progress);
        let fits = size <= self.options.answer.0 && self.make_room(size);
        let Some(entry) = self.entries.get_mut(scope) else { return };
        let progress = match progress {
            Progress::Answered(_) if !fits => Progress::AnsweredNotKept,
            progress => progress,
        };
        self.bytes -= answer_size(&entry.progress);
        self.bytes += answer_size(&progress);
        if matches!(progress, Progress::Answered(_)) {
            self.answers.push_back(scope.clone());
        }
        entry.attempt = attempt;
        entry.progress = progress;
        entry.changed = now;
    }

    pub(super) fn drop_entry(&mut self, scope: &Scope) {
        let Some(entry) = self.entries.remove(scope) else { return };
        self.bytes -= size_of_entry(scope, &entry.progress);
        // Answers are named in about the order in which they are forgotten, so the stale names
        // stand in front.
        while self.answers.front().is_some_and(|front| !self.has_answer(front)) {
            self.answers.pop_front();
        }
    }

    /// When memory of the slot may have been lost, if that still matters.
    pub(super) fn lost_for(
        &self,
        now: Instant,
        scope: &Scope,
        slot: Option<SlotId>,
    ) -> Option<Instant> {
        if self.losses.is_empty() {
            return None;
        }
        let slot = SlotOf { service: scope.service.clone(), slot };
        self.losses.since(now, &slot, self.options.keep)
    }

    fn insert(&mut self, now: Instant, scope: Scope, entry: Entry) -> bool {
        let size = size_of_entry(&scope, &entry.progress);
        if self.entries.len() >= self.options.entries || !self.make_room(size) {
            return false;
        }
        self.bytes += size;
        self.ages.push_back(Age { due: now + self.options.keep, scope: scope.clone() });
        self.entries.insert(scope, entry);
        true
    }

    /// Drops the oldest kept answers until there is room. Their entries stay: a repeat is refused
    /// as `ran` instead of replayed.
    fn make_room(&mut self, size: u64) -> bool {
        while self.bytes + size > self.options.bytes.0 {
            let Some(scope) = self.answers.pop_front() else { return false };
            let Some(entry) = self.entries.get_mut(&scope) else { continue };
            let freed = answer_size(&entry.progress);
            if freed > 0 {
                entry.progress = Progress::AnsweredNotKept;
                self.bytes -= freed;
            }
        }
        true
    }

    fn has_answer(&self, scope: &Scope) -> bool {
        let entry = self.entries.get(scope);
        entry.is_some_and(|entry| matches!(entry.progress, Progress::Answered(_)))
    }
}

pub(super) fn copy_of(scope: &Scope, entry: &Entry) -> Copy {
    Copy {
        scope: scope.clone(),
        slot: entry.slot,
        fingerprint: entry.fingerprint,
        attempt: entry.attempt,
        progress: entry.progress.clone(),
    }
}

pub(super) fn size_of_entry(scope: &Scope, progress: &Progress) -> u64 {
    ENTRY_BYTES + scope.idempotency_key.as_str().len() as u64 + answer_size(progress)
}

fn answer_size(progress: &Progress) -> u64 {
    match progress {
        Progress::Answered(answer) => answer.size(),
        Progress::Sent | Progress::NotRun | Progress::AnsweredNotKept => 0,
    }
}
