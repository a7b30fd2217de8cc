//! Grants: renewals, and first ones of ranges that have come.

use std::{collections::BTreeMap, time::Instant};

use jacinthbeam_types::prelude::*;

use super::Leading;
use crate::{
    balance,
    grantor::{Call, Order, contact::Contact},
    key::KeyRange,
    map::Held,
};

impl Leading {
    pub(super) fn has_right(&self, now: Instant) -> bool {
        now < self.right_until()
    }

    pub(super) fn grants(&mut self, now: Instant) -> Vec<Order> {
        let mut of_owner: BTreeMap<ServerId, Vec<Held>> = BTreeMap::new();
        for held in self.map.held() {
            if let Some(owner) = &held.owner {
                of_owner.entry(owner.server.clone()).or_default().push(held.clone());
            }
        }
        of_owner.iter().filter_map(|(server, held)| self.grant_held(server, held, now)).collect()
    }

    /// What one server should be granted now.
    pub(in crate::grantor) fn grant(&mut self, server: &ServerId, now: Instant) -> Option<Order> {
        let held: Vec<Held> = self.map.of_server(server).cloned().collect();
        self.grant_held(server, &held, now)
    }

    pub(super) fn grant_held(
        &mut self,
        server: &ServerId,
        held: &[Held],
        now: Instant,
    ) -> Option<Order> {
        if !self.has_right(now) {
            return None;
        }
        let calls = self.calls(self.contacts.get(server)?, held, now);
        if calls.is_empty() {
            return None;
        }
        let until = self.right_until();
        let contact = self.contacts.get_mut(server)?;
        contact.begin_round(now);
        Some(Order::Grant { to: contact.owner.clone(), calls, until })
    }

    /// What to grant to one server now: all its ranges if a renewal is due, else those it has not confirmed.
    pub(super) fn calls(&self, contact: &Contact, held: &[Held], now: Instant) -> Vec<Call> {
        if contact.busy || contact.ended || contact.given_up {
            return Vec::new();
        }
        let due = contact.is_due(now);
        let mut calls = Vec::new();
        for held in held {
            for range in self.still_held(held.range) {
                let new = !contact.has_confirmed(range, held.token);
                if due || (new && contact.takes_new()) {
                    let handover = held.handover.clone().filter(|_| new);
                    calls.push(Call { range, token: held.token, handover });
                }
            }
        }
        calls
    }

    /// What of a range is not on its way to another owner.
    pub(super) fn still_held(&self, range: KeyRange) -> Vec<KeyRange> {
        let moving = self.moves.iter().map(|m| m.range).filter(|moving| moving.overlaps(range));
        balance::without(range, &moving.collect::<Vec<_>>())
    }
}
