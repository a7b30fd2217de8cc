//! Waiting tickets: by deadline within a team, teams by weighted turns.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Instant,
};

use jacinthbeam_types::prelude::*;

use super::Ticket;

/// A team of weight `w` pays `TURN / w` for each place it gets; the team that has paid least is next.
const TURN: u64 = 1 << 20;

/// Tickets of one team.
#[derive(Debug, Default)]
struct Line {
    /// Ascending by deadline, equal ones in order of arrival.
    tickets: VecDeque<Ticket>,
    /// What the team has paid so far.
    paid: u64,
}

/// Tickets of all teams. Lines without tickets are removed, so its size is bounded by the number of tickets.
#[derive(Debug, Default)]
pub(super) struct Queue {
    lines: BTreeMap<TeamName, Line>,
    /// Slots that are not served, and since when.
    held: BTreeMap<SlotId, Instant>,
    len: usize,
    /// What the last served team had paid before. A team that comes anew starts here: it neither
    /// has to catch up with the others nor may it spend turns that it did not use.
    floor: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn push(&mut self, ticket: Ticket, weights: &BTreeMap<TeamName, u32>) {
        let floor = self.floor;
        let line = self.lines.entry(ticket.team.clone()).or_insert_with(|| Line {
            tickets: VecDeque::new(),
            paid: floor + TURN / weight(weights, &ticket.team),
        });
        let at = line.tickets.partition_point(|other| other.deadline <= ticket.deadline);
        line.tickets.insert(at, ticket);
        self.len += 1;
    }

    /// Takes the next ticket of a slot that is not held.
    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let held = &self.held;
        let ready = |line: &Line| line.tickets.iter().position(|t| !is_held(held, t.slot));
        let lines =
            self.lines.iter().filter_map(|(team, line)| Some((line.paid, team, ready(line)?)));
        let (_, team, at) = lines.min_by_key(|(paid, ..)| *paid)?;
        let team = team.clone();
        self.take(&team, at)
    }

    /// Lets the team pay for a place that it got.
    pub(super) fn charge(&mut self, team: &TeamName, weights: &BTreeMap<TeamName, u32>) {
        let Some(line) = self.lines.get_mut(team) else { return };
        self.floor = self.floor.max(line.paid);
        line.paid += TURN / weight(weights, team);
    }

    /// Tickets that would be served before one of this team and deadline.
    pub(super) fn ahead_of(
        &self,
        team: &TeamName,
        deadline: Instant,
        weights: &BTreeMap<TeamName, u32>,
    ) -> usize {
        let own = self
            .lines
            .get(team)
            .map_or(0, |line| line.tickets.partition_point(|other| other.deadline <= deadline));
        self.ahead(team, own, weights)
    }

    /// Tickets that would be served before the one of this team that has `own` tickets of its team before it.
    fn ahead(&self, team: &TeamName, own: usize, weights: &BTreeMap<TeamName, u32>) -> usize {
        let turns = own as u64 + 1;
        let mine = weight(weights, team);
        let others = self.lines.iter().filter(|(other, _)| *other != team).map(|(other, line)| {
            let theirs = (turns * weight(weights, other)).div_ceil(mine);
            line.tickets.len().min(theirs as usize)
        });
        own + others.sum::<usize>()
    }

    /// Takes the last ticket of the team that is furthest above its share of a full queue, if
    /// `team` is below its own.
    ///
    /// Without this a team in overload would fill the queue and all others would be refused.
    pub(super) fn displace_for(
        &mut self,
        team: &TeamName,
        capacity: usize,
        weights: &BTreeMap<TeamName, u32>,
    ) -> Option<Ticket> {
        let others: u64 =
            self.lines.keys().filter(|t| *t != team).map(|t| weight(weights, t)).sum();
        let total = others + weight(weights, team);
        let share = |team: &TeamName| capacity as u64 * weight(weights, team) / total;
        let own = self.lines.get(team).map_or(0, |line| line.tickets.len()) as u64;
        if own >= share(team) {
            return None;
        }
        let above = |(team, line): (&TeamName, &Line)| {
            let above = (line.tickets.len() as u64).checked_sub(share(team))?;
            (above > 0).then(|| (above, team.clone()))
        };
        let (_, richest) = self.lines.iter().filter_map(above).max()?;
        let last = self.lines.get(&richest)?.tickets.len() - 1;
        let ticket = self.take(&richest, last);
        self.drop_empty();
        ticket
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<Ticket> {
        let find = |line: &Line| line.tickets.iter().position(|ticket| ticket.id == id);
        let (team, at) = self.lines.iter().find_map(|(team, l)| Some((team.clone(), find(l)?)))?;
        let ticket = self.take(&team, at);
        self.drop_empty();
        ticket
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.lines.values().any(|line| line.tickets.iter().any(|ticket| ticket.id == id))
    }

    /// Takes the tickets picked by the number of tickets that would be served before them.
    pub(super) fn remove_by_position(
        &mut self,
        weights: &BTreeMap<TeamName, u32>,
        picked: impl Fn(usize, &Ticket) -> bool,
    ) -> Vec<Ticket> {
        let mut ids = BTreeSet::new();
        for (team, line) in &self.lines {
            let tickets = line.tickets.iter().enumerate();
            let taken = tickets.filter(|(own, t)| picked(self.ahead(team, *own, weights), t));
            ids.extend(taken.map(|(_, ticket)| ticket.id));
        }
        match ids.is_empty() {
            true => Vec::new(),
            false => self.drain_where(|ticket| ids.contains(&ticket.id)),
        }
    }

    pub(super) fn drain_where(&mut self, picked: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let mut taken = Vec::new();
        for line in self.lines.values_mut() {
            let (gone, kept) = line.tickets.drain(..).partition(|ticket| picked(ticket));
            line.tickets = kept;
            taken.extend::<VecDeque<Ticket>>(gone);
        }
        self.len -= taken.len();
        self.drop_empty();
        taken
    }

    /// Forgets teams without tickets. To be called after a round of [`Queue::pop`], whose teams are
    /// still to be charged.
    pub(super) fn drop_empty(&mut self) {
        self.lines.retain(|_, line| !line.tickets.is_empty());
    }

    pub(super) fn earliest(&self) -> Option<Instant> {
        self.lines.values().filter_map(|line| Some(line.tickets.front()?.deadline)).min()
    }

    pub(super) fn hold(&mut self, now: Instant, slots: impl IntoIterator<Item = SlotId>) {
        for slot in slots {
            self.held.entry(slot).or_insert(now);
        }
    }

    pub(super) fn held_since(&self, slot: Option<SlotId>) -> Option<Instant> {
        self.held.get(&slot?).copied()
    }

    /// Takes the tickets of slots that were held at `since` or before.
    pub(super) fn remove_held(&mut self, since: Instant) -> Vec<Ticket> {
        let held: BTreeSet<SlotId> =
            self.held.iter().filter(|(_, at)| **at <= since).map(|(slot, _)| *slot).collect();
        match held.is_empty() {
            true => Vec::new(),
            false => self.drain_where(|t| t.slot.is_some_and(|slot| held.contains(&slot))),
        }
    }

    /// Since when the slot of a waiting ticket has been held, the longest of them.
    pub(super) fn longest_held(&self) -> Option<Instant> {
        let tickets = self.lines.values().flat_map(|line| line.tickets.iter());
        tickets.filter_map(|ticket| self.held_since(ticket.slot)).min()
    }

    pub(super) fn resume(&mut self, slots: impl IntoIterator<Item = SlotId>) {
        for slot in slots {
            self.held.remove(&slot);
        }
    }

    pub(super) fn is_held(&self, slot: Option<SlotId>) -> bool {
        is_held(&self.held, slot)
    }

    /// Whether a ticket waits that could be sent.
    pub(super) fn has_ready(&self) -> bool {
        let mut tickets = self.lines.values().flat_map(|line| line.tickets.iter());
        tickets.any(|ticket| !self.is_held(ticket.slot))
    }

    fn take(&mut self, team: &TeamName, at: usize) -> Option<Ticket> {
        let line = self.lines.get_mut(team)?;
        let ticket = line.tickets.remove(at)?;
        self.len -= 1;
        Some(ticket)
    }
}

fn is_held(held: &BTreeMap<SlotId, Instant>, slot: Option<SlotId>) -> bool {
    slot.is_some_and(|slot| held.contains_key(&slot))
}

fn weight(weights: &BTreeMap<TeamName, u32>, team: &TeamName) -> u64 {
    weights.get(team).map_or(1, |weight| u64::from((*weight).max(1)))
}
