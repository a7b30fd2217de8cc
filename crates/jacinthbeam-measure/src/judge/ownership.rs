//! At most one owner of a slot at any time.

use std::{collections::BTreeMap, time::Instant};

use jacinthbeam::types::prelude::*;
use jacinthbeam_standin::backend::Outcome;

use super::{Broken, Promise, ServerRecord};

/// A time during which one server held one slot.
#[derive(Debug, Clone, Copy)]
struct Span<'a> {
    from: Instant,
    until: Instant,
    server: &'a ServerId,
}

type Spans<'a> = BTreeMap<(&'a ServiceName, SlotId), Vec<Span<'a>>>;

pub(super) fn judge(servers: &[ServerRecord], broken: &mut Broken) {
    let spans = spans(servers);
    for ((service, slot), spans) in &spans {
        overlaps(service, *slot, spans, broken);
    }
    for server in servers {
        effects(server, &spans, broken);
    }
}

/// All spans of each slot by the time they began.
fn spans(servers: &[ServerRecord]) -> Spans<'_> {
    let mut spans = Spans::new();
    for server in servers {
        // A grant that was delayed until after its end is accepted and holds nothing.
        let held = server.holdings.iter().filter(|holding| holding.from < holding.until);
        for holding in held {
            let span = Span { from: holding.from, until: holding.until, server: &server.id };
            for slot in holding.slots.iter() {
                spans.entry((&server.service, slot)).or_default().push(span);
            }
        }
    }
    spans.values_mut().for_each(|spans| spans.sort_by_key(|span| span.from));
    spans
}

fn overlaps(service: &ServiceName, slot: SlotId, spans: &[Span<'_>], broken: &mut Broken) {
    for (at, later) in spans.iter().enumerate() {
        let overlapping = spans[..at]
            .iter()
            .filter(|earlier| earlier.server != later.server && earlier.until > later.from);
        for earlier in overlapping {
            broken.add(Promise::OneOwner, || {
                let both = earlier.until.min(later.until) - later.from;
                let (one, other) = (earlier.server, later.server);
                format!("{one} and {other} both held slot {slot} of {service} for {both:?}")
            });
        }
    }
}

fn effects(server: &ServerRecord, spans: &Spans<'_>, broken: &mut Broken) {
    let ran = server.runs.iter().filter(|run| run.outcome == Outcome::Ran);
    for run in ran {
        let (Some(slot), Some(at)) = (run.slot, run.at_effect) else { continue };
        let Some(spans) = spans.get(&(&server.service, slot)) else { continue };
        let other = spans
            .iter()
            .find(|span| *span.server != server.id && span.from <= at && at < span.until);
        if let Some(other) = other {
            broken.add(Promise::EffectUnderOwnership, || {
                format!("{} ran {} while {} held slot {slot}", server.id, run.path, other.server)
            });
        }
    }
}
