//! The duties to grant, dealt out by a group of the store.

use std::{
    cell::Cell,
    collections::BTreeSet,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_store::{Call, Client, Lane, Reply};
use jacinthbeam_types::prelude::*;

use super::{
    input::{Input, Tx},
    state::Control,
};
use crate::process::membership::{DutyLease, Event, Membership, Next, Notice, lease::LEASE};

/// Pause between two words of a host: three in a lease, so that one lost answer costs nothing.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Name of the group.
const GROUP: &str = "grantors";

/// What the duty task is told.
#[derive(Debug, Default)]
pub(super) struct DutyRequest {
    /// The host takes no duty until then.
    pub(super) pause_until: Cell<Option<Instant>>,
    /// The host leaves duties to hosts with more processor.
    pub(super) stands_by: Cell<bool>,
    /// The host takes no duty any more.
    pub(super) leave: Cell<bool>,
}

/// The group as one host sees it.
pub(super) struct Group {
    pub(super) store: Client,
    /// Its partitions are the duties.
    pub(super) topic: &'static str,
    /// Name of this life of the process.
    pub(super) member: String,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) duty_request: Rc<DutyRequest>,
    pub(super) tx: Tx,
}

/// Stays a member of the group, and tells which duties fall to this host.
pub(super) async fn run(group: Group) {
    let lane = group.store.lane();
    let mut membership = Membership::default();
    let mut lease = DutyLease::default();
    loop {
        membership.handle(group.due());
        match membership.next() {
            Next::Nothing => {}
            Next::Join(generation) => {
                let asked = group.clock.now();
                let event = match group.join(&lane, generation).await {
                    Some(generation) => {
                        lease.renew(asked);
                        Event::Joined(generation)
                    }
                    None => Event::Failed,
                };
                membership.handle(event);
            }
            Next::Leave => group.leave(&lane).await,
            Next::End => return,
        }
        if lease.expire(group.clock.now()) {
            tracing::info!(part = "duty", event = "lapsed");
            group.tell(BTreeSet::new());
        }
        match membership.take_notice() {
            Some(Notice::Lost) => tracing::warn!(part = "duty", event = "lost"),
            Some(Notice::Regained) => tracing::info!(part = "duty", event = "regained"),
            None => {}
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
}

impl Group {
    fn due(&self) -> Event {
        let paused =
            self.duty_request.pause_until.get().is_some_and(|until| self.clock.now() < until);
        let paused = paused || self.duty_request.stands_by.get();
        Event::Due { paused, leaving: self.duty_request.leave.get() }
    }

    /// Joins or stays. Returns the generation, if the store answered.
    async fn join(&self, lane: &Lane, generation: u64) -> Option<u64> {
        let join = Call::Join {
            group: GROUP.into(),
            member: self.member.clone(),
            topic: self.topic.into(),
            lease: LEASE,
            generation,
        };
        match lane.call(&join).await {
            Ok(Reply::Member { generation, shares }) => {
                let duties = shares.iter().map(|share| share.partition.number).collect();
                self.tell(duties);
                Some(generation)
            }
            Ok(_) => {
                tracing::warn!(part = "duty", event = "wrong-answer");
                None
            }
            // A duty that was had stays until its lease has run out. A host that leads goes on: the right to grant is proved elsewhere.
            Err(err) => {
                tracing::debug!(part = "duty", event = "not-joined", error = %err);
                None
            }
        }
    }

    fn tell(&self, duties: BTreeSet<u32>) {
        if self.tx.send(Input::Duties(duties)).is_err() {
            tracing::debug!(part = "duty", event = "stopped-meanwhile");
        }
    }

    async fn leave(&self, lane: &Lane) {
        let leave = Call::Leave { group: GROUP.into(), member: self.member.clone() };
        if let Err(err) = lane.call(&leave).await {
            tracing::info!(part = "duty", event = "leave-failed", error = %err);
        }
    }
}

impl Control {
    /// Whether this host takes duties, or leaves them to others, as the hosts and the words of granting hosts say now.
    pub(super) fn update_standby(&mut self) {
        let fleet = self.known.hosts().map(|(_, entry)| (&entry.domain, entry.processor));
        let stands_by = self.standby.stands_by(self.clock.now(), self.settings.processor, fleet);
        if self.duty_request.stands_by.replace(stands_by) != stands_by {
            tracing::info!(part = "duty", event = "stands-by", stands_by = %stands_by, processor = %self.settings.processor);
        }
    }
}
