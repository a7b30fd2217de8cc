//! The places of a backend server that are taken, or may be.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use super::Ticket;

/// How a sent request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Its whole answer arrived.
    Answered,
    /// No byte of it was written.
    NotSent,
    /// The backend server refused it before running it, for lack of room.
    Shed,
    /// The backend server refused it before running it, for another reason.
    Refused,
    /// The backend server closed its end of the connection, so it has ended the request.
    Closed,
    /// This host closed the connection or gave it up. The backend server may not know yet: the
    /// place is held on.
    Lost,
}

/// What a backend server said of its running requests in a reply to a grant or a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// When the question was sent.
    pub asked: Instant,
    /// Requests running, in all.
    pub running: u32,
    /// Those of them admitted under tokens lower than that of this host's present grant.
    pub running_older: u32,
}

#[derive(Debug)]
struct Running {
    ticket: Ticket,
    since: Instant,
    state: State,
    /// Sent under an earlier token, so counted by the backend server's reports.
    older: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Live,
    Lost { at: Instant, free_at: Instant },
}

/// Requests that hold a place.
///
/// Invariant: `counted` is the number of entries that are not `older`, `by_slot` counts all entries by slot.
#[derive(Debug)]
pub(super) struct Places {
    running: BTreeMap<RequestId, Running>,
    by_slot: BTreeMap<SlotId, u32>,
    counted: u32,
    foreign: u32,
}

impl Places {
    pub(super) fn new(foreign: u32) -> Self {
        Self { running: BTreeMap::new(), by_slot: BTreeMap::new(), counted: 0, foreign }
    }

    pub(super) fn start(&mut self, now: Instant, ticket: Ticket) {
        if let Some(slot) = ticket.slot {
            *self.by_slot.entry(slot).or_default() += 1;
        }
        self.counted += 1;
        let running = Running { since: now, state: State::Live, older: false, ticket };
        self.running.insert(running.ticket.id, running);
    }

    /// Ends a live request, or notes it as lost. Returns when it was started, or `None` if it is not live.
    pub(super) fn finish(
        &mut self,
        now: Instant,
        id: RequestId,
        outcome: Outcome,
        grace: Duration,
    ) -> Option<Instant> {
        let running = self.running.get_mut(&id)?;
        let since = running.since;
        let was_live = running.state == State::Live;
        match outcome {
            Outcome::Lost if was_live => {
                // A place freed at once would let one request too many onto a backend server that
                // still runs the lost one. The backend server knows the deadline, so deadline and
                // grace bound the time.
                let free_at = running.ticket.deadline.max(now) + grace;
                running.state = State::Lost { at: now, free_at };
            }
            Outcome::Lost => {}
            _ => self.remove(id),
        }
        was_live.then_some(since)
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.remove_lost(|_, free_at| free_at <= now);
    }

    pub(super) fn next_free(&self) -> Option<Instant> {
        let lost = self.running.values().filter_map(|running| match running.state {
            State::Lost { free_at, .. } => Some(free_at),
            State::Live => None,
        });
        lost.min()
    }

    pub(super) fn regranted(&mut self, running_older: u32) {
        // The backend server's own count covers every request of a lower token, those of this host
        // too. To count both would only waste places.
        for running in self.running.values_mut() {
            running.older = true;
        }
        self.counted = 0;
        self.foreign = running_older;
    }

    pub(super) fn reported(&mut self, report: Report, settle: Duration) {
        // No request of a lower token starts any more, so the lowest report holds, in whatever
        // order they arrive.
        self.foreign = self.foreign.min(report.running_older);
        if self.foreign == 0 {
            self.remove_older_lost();
        }
        // Only a report of none frees lost ones. With one running it can't be told whether that is
        // a lost request or one whose answer is on its way.
        if report.running == report.running_older {
            self.remove_lost(|at, _| at + settle <= report.asked);
        }
    }

    pub(super) fn in_use(&self) -> u32 {
        self.counted + self.foreign
    }

    pub(super) fn foreign(&self) -> u32 {
        self.foreign
    }

    pub(super) fn running(&self, slot: SlotId) -> u32 {
        self.by_slot.get(&slot).copied().unwrap_or(0)
    }

    pub(super) fn is_live(&self, id: RequestId) -> bool {
        self.running.get(&id).is_some_and(|running| running.state == State::Live)
    }

    pub(super) fn is_known(&self, id: RequestId) -> bool {
        self.running.contains_key(&id)
    }

    fn remove_older_lost(&mut self) {
        let ended: Vec<RequestId> =
            self.ids(|running| running.older && running.state != State::Live);
        ended.into_iter().for_each(|id| self.remove(id));
    }

    fn remove_lost(&mut self, ended: impl Fn(Instant, Instant) -> bool) {
        let ended = self.ids(|running| match running.state {
            State::Lost { at, free_at } => ended(at, free_at),
            State::Live => false,
        });
        ended.into_iter().for_each(|id| self.remove(id));
    }

    fn ids(&self, picked: impl Fn(&Running) -> bool) -> Vec<RequestId> {
        self.running.values().filter(|r| picked(r)).map(|r| r.ticket.id).collect()
    }

    fn remove(&mut self, id: RequestId) {
        let Some(running) = self.running.remove(&id) else { return };
        if !running.older {
            self.counted -= 1;
        }
        let Some(slot) = running.ticket.slot else { return };
        if let Some(count) = self.by_slot.get_mut(&slot) {
            *count -= 1;
            if *count == 0 {
                self.by_slot.remove(&slot);
            }
        }
    }
}
