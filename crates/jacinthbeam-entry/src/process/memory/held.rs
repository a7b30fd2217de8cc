//! Answers to other hosts, straight from memory: nothing here waits.

use std::{collections::BTreeSet, time::Instant};

use jacinthbeam_admission::duplicate::{Imported, Scope, SlotOf};
use jacinthbeam_lease::grant::next_token;
use jacinthbeam_peer::message::{
    ClaimSlots, Claimed, ClaimedSlot, Copies, Fetch, Fetched, KnownSlot, Stage,
};
use jacinthbeam_types::prelude::*;

use super::{Inner, Shared, claims::Taking, wire};

/// Most tokens of its own of which this host knows that it used them; beyond that it vouches for none.
const MAX_USED: usize = 1 << 16;
/// Bytes of copies in one message, about. Far below the largest message of the peer protocol.
pub(super) const PAGE: usize = 4 << 20;

impl Shared {
    /// Takes copies from the keeper of their slots; `false` if this host does not hold them and the sender must not rely on it.
    pub fn remember(&self, copies: Copies) -> bool {
        let now = self.clock.now();
        let mut inner = self.lock();
        let agreed = inner.remember(now, copies);
        drop(inner);
        agreed
    }

    /// Notes the claims of a new keeper, and says what is known of the slots.
    pub fn claimed(&self, claim: &ClaimSlots) -> Claimed {
        let now = self.clock.now();
        let mut inner = self.lock();
        let known = claim.slots.iter().filter_map(|slot| inner.claimed(now, &claim.service, slot));
        let slots = known.collect();
        let server = claim.slots.first().map(|slot| &slot.claim.server);
        let unused_before =
            server.is_some_and(|server| self.is_unused(&inner, server, claim.before));
        drop(inner);
        // A slot of this host's own may have been claimed.
        self.changes.send_replace(());
        Claimed { slots, unused_before }
    }

    /// Copies of all entries of some slots, a page at a time.
    pub fn fetch(&self, fetch: &Fetch) -> Fetched {
        let inner = self.lock();
        let slots: BTreeSet<SlotId> = fetch.slots.iter().copied().collect();
        let undivided =
            |scope: &Scope| scope.key.slot(fetch.divided_by.max(1), &Default::default());
        let after = fetch.after.as_ref();
        let picked = |scope: &Scope, slot: Option<SlotId>| {
            let is_later = after.is_none_or(|a| {
                (&scope.key, &scope.idempotency_key) > (&a.key, &a.idempotency_key)
            });
            scope.service == fetch.service
                && is_later
                && slot
                    .is_some_and(|slot| slots.contains(&slot) || slots.contains(&undivided(scope)))
        };
        let mut bytes = 0;
        let mut copies = Vec::new();
        for copy in inner.memory.export(picked) {
            if bytes > PAGE {
                return Fetched { copies, more: true };
            }
            bytes += wire::size(&copy);
            copies.push(wire::into_message(copy));
        }
        Fetched { copies, more: false }
    }

    /// Whether a token is one of this host's under which it has sent no request with an idempotency key. It never will once a later claim is noted.
    pub(super) fn is_unused(&self, inner: &Inner, server: &ServerId, token: Token) -> bool {
        let own = next_token(Token(0), self.me);
        let is_own = own.0 as u32 == token.0 as u32 && token != Token(0);
        is_own && inner.used.len() < MAX_USED && !inner.used.contains(&(server.clone(), token))
    }
}

impl Inner {
    fn remember(&mut self, now: Instant, copies: Copies) -> bool {
        let Copies { service, slots, stage, copies, lost } = copies;
        let slot_of = |slot| SlotOf { service: service.clone(), slot: Some(slot) };
        let mut replaced = BTreeSet::new();
        for ClaimedSlot { slot, claim } in &slots {
            match self.claims.receive(now, &slot_of(*slot), claim, stage) {
                Taking::Refuse => return false,
                Taking::Take => {}
                Taking::Replace => drop(replaced.insert(*slot)),
            }
        }
        if !replaced.is_empty() {
            self.memory.supersede(|scope, slot| {
                scope.service == service && slot.is_some_and(|slot| replaced.contains(&slot))
            });
        }
        let named: BTreeSet<SlotId> = slots.iter().map(|named| named.slot).collect();
        for remembered in copies {
            let is_named = remembered.slot.is_some_and(|slot| named.contains(&slot));
            if !is_named || remembered.service != service {
                return false;
            }
            if self.memory.import(now, wire::from_message(remembered)) == Imported::Full {
                return false;
            }
        }
        for (slot, ago) in lost {
            self.memory.lost_since([slot_of(slot)], now.checked_sub(ago).unwrap_or(now));
        }
        if stage == Stage::Last {
            for named in &slots {
                self.claims.cover_for(now, &slot_of(named.slot), &named.claim);
            }
        }
        true
    }

    pub(super) fn claimed(
        &mut self,
        now: Instant,
        service: &ServiceName,
        claimed: &ClaimedSlot,
    ) -> Option<KnownSlot> {
        let slot = SlotOf { service: service.clone(), slot: Some(claimed.slot) };
        self.claims.raise(&slot, &claimed.claim);
        let known = self.claims.answer(now, &slot, &claimed.claim)?;
        let lost = self.memory.lost_at(now, &slot);
        let lost = lost.map(|when| now.saturating_duration_since(when));
        Some(KnownSlot { lost, ..known })
    }
}
