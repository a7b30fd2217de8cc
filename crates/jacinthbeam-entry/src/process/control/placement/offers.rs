//! The say of the host that attends the gaining server.
//!
//! Hosts decide on samples that are seconds old, so several may pick the same idle server at once: it would be overloaded next,
//! and its slots would go round. Its attendant knows every move towards it, so it is asked before a slot is held.

use std::{net::SocketAddr, time::Instant};

use jacinthbeam_peer::message::{self, Answer, Question};
use jacinthbeam_placement::{
    PlannedMove, Policy, Progress, View, accept, accept::accept as may_come, planned::Why,
    view::Load,
};
use jacinthbeam_types::prelude::*;

use super::{Begun, SlotOf};
use crate::process::control::{Control, Event};

impl Control {
    /// Begins a move, once the gaining side has agreed.
    pub(super) fn begin(
        &mut self,
        now: Instant,
        service: &ServiceName,
        planned: &PlannedMove,
        view: &View,
        policy: &Policy,
        progress: &mut Progress,
    ) {
        let attended = view.servers.get(&planned.to).is_some_and(|server| server.attended);
        let told_by = self.placement.heard.get(&planned.to).map(|heard| heard.by);
        if planned.why == Why::Leaving {
            // It must go somewhere, so nobody is asked.
            progress.begin(planned, &policy.pace, now);
            self.hand_over(now, service, planned);
        } else if attended {
            if may_come(planned, view, policy, progress, now) == accept::Answer::Accepted {
                progress.begin(planned, &policy.pace, now);
                self.hand_over(now, service, planned);
            }
        } else if let Some(addr) = told_by {
            progress.begin(planned, &policy.pace, now);
            self.note_begun(now, service, planned);
            self.offer(addr, service, planned);
        }
    }

    fn offer(&self, addr: SocketAddr, service: &ServiceName, planned: &PlannedMove) {
        let (service, planned) = (service.clone(), planned.clone());
        let question = Question::Offer(into_message(&service, &planned));
        let (peers, timeout) = (self.peers.clone(), self.timing.alive_within);
        self.spawn_event(async move {
            let answer = peers.ask(addr, &question, timeout).await;
            let agreed = matches!(answer, Ok(Answer::Done { agreed: true }));
            Some(Event::Offered { service, planned, agreed })
        });
    }

    /// The other side answered.
    pub(in super::super) fn offered(
        &mut self,
        service: &ServiceName,
        planned: &PlannedMove,
        agreed: bool,
    ) {
        let now = self.clock.now();
        match agreed {
            true => self.hand_over(now, service, planned),
            false => self.end_moves(now, service, &planned.from, &[planned.slot], false),
        }
    }

    /// Says whether a slot may come to a server that is attended here.
    pub(in super::super) fn answer_offer(&mut self, offer: message::Offer) -> Answer {
        let now = self.clock.now();
        let (service, planned) = from_message(offer);
        Answer::Done { agreed: self.agrees(now, &service, &planned).unwrap_or_default() }
    }

    fn agrees(
        &mut self,
        now: Instant,
        service: &ServiceName,
        planned: &PlannedMove,
    ) -> Option<bool> {
        let policy = Policy::configured(&self.state.service(service)?.balance, 1.0);
        let mut view = self.view(service)?;
        let progress = self.placement.progress.entry(service.clone()).or_default();
        progress.add_pending(&mut view, &policy, now);
        if may_come(planned, &view, &policy, progress, now) != accept::Answer::Accepted {
            return Some(false);
        }
        progress.accept(planned);
        self.note_begun(now, service, planned);
        Some(true)
    }

    /// A move that is not done in time is given up, also by the side that agreed to it.
    fn note_begun(&mut self, now: Instant, service: &ServiceName, planned: &PlannedMove) {
        let slot = SlotOf { server: planned.from.clone(), slot: planned.slot };
        self.placement.begun.insert(slot, Begun { service: service.clone(), at: now });
    }
}

fn into_message(service: &ServiceName, planned: &PlannedMove) -> message::Offer {
    let milli = |load: Load| (load.0.max(0.0) * 1000.0) as u32;
    message::Offer {
        service: service.clone(),
        slot: planned.slot,
        from: planned.from.clone(),
        to: planned.to.clone(),
        milli_load: milli(planned.load),
        milli_left: milli(planned.left),
        heavy: planned.heavy as u32,
        crowded: planned.why == Why::Crowded,
    }
}

fn from_message(offer: message::Offer) -> (ServiceName, PlannedMove) {
    let load = |milli: u32| Load(f64::from(milli) / 1000.0);
    let planned = PlannedMove {
        slot: offer.slot,
        from: offer.from,
        to: offer.to,
        load: load(offer.milli_load),
        left: load(offer.milli_left),
        heavy: offer.heavy as usize,
        why: if offer.crowded { Why::Crowded } else { Why::Overloaded },
    };
    (offer.service, planned)
}
