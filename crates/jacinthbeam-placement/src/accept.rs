//! The say of the gaining side.
//!
//! Hosts decide on samples that are seconds old, so several may pick the same idle server at once.
//! Its attendant knows its load and every move towards it, and declines what would make it the next
//! one to be relieved.

use std::time::Instant;

use crate::{
    draft::{mean, room},
    planned::{PlannedMove, Why},
    policy::Policy,
    progress::Progress,
    view::{Load, Standing, View},
};

/// What the attendant of the gaining server answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The move may go on; the caller notes it with [`Progress::accept`].
    Accepted,
    /// This host does not attend the server, or the server gains no slots.
    NotHere,
    /// As many moves as are allowed go to the server already.
    Busy,
    /// The server would be left with more load than it may take.
    NoRoom,
    /// The slot is heavy, and the server has enough heavy ones.
    Crowded,
}

/// Decides about a move to a server that this host attends.
///
/// A server that leaves must lose its slots, so for that only the standing of the gaining server counts.
pub fn accept(
    planned: &PlannedMove,
    view: &View,
    policy: &Policy,
    progress: &Progress,
    now: Instant,
) -> Answer {
    let server = view.servers.get(&planned.to);
    let Some(server) = server.filter(|server| server.attended && server.standing.is_active())
    else {
        return Answer::NotHere;
    };
    if planned.why == Why::Leaving {
        return Answer::Accepted;
    }
    if progress.towards(&planned.to) >= policy.pace.to_one_server {
        return Answer::Busy;
    }
    let heavy = view.heavy_slots(server);
    if planned.heavy > 0 && heavy >= planned.heavy {
        return Answer::Crowded;
    }
    let after = server.expected() + planned.load;
    let limit = room(server.standing, mean(view, policy, now), policy, now);
    let fits = match (planned.why, server.standing) {
        (Why::Crowded, Standing::Active) => {
            let is_light = |load: &Load| !view.is_heavy(*load);
            let light: Load = server.slots.values().map(|slot| slot.load).filter(is_light).sum();
            let fewer = heavy + PlannedMove::FEWER_HEAVY <= planned.heavy;
            fewer && progress.towards(&planned.to) == 0 && after <= limit + light
        }
        (_, Standing::Active) => after <= limit.max(planned.left),
        _ => after <= limit,
    };
    if fits { Answer::Accepted } else { Answer::NoRoom }
}
