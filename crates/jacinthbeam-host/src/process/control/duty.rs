//! Membership in the store's group that assigns duties: which map partitions' grantors run on which host.

use std::{
    cell::Cell,
    collections::BTreeSet,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_range::Event as GrantorEvent;
use jacinthbeam_store::{Call, Client, Lane, Reply};
use jacinthbeam_types::prelude::*;

use super::{
    input::{Input, Tx},
    state::Control,
};
use crate::process::membership::{DutyLease, Event, Membership, Next, Notice, lease::LEASE};

/// Interval between two joins: three in a lease, so that one lost answer does not end it.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two decisions whether this host is a standby, each of which looks at all hosts.
const STANDBY_INTERVAL: Duration = Duration::from_millis(500);

/// Name of the group in the store.
const GROUP: &str = "grantors";

/// What the control thread requests of the membership task.
#[derive(Debug, Default)]
pub(super) struct DutyRequest {
    /// The host stays out of the group until then.
    pub(super) pause_until: Cell<Option<Instant>>,
    /// The host stays out of the group as a standby for hosts with more processor.
    pub(super) stands_by: Cell<bool>,
    /// The host stays out of the group while it reaches no backend server.
    pub(super) partitioned: Cell<bool>,
    /// The host leaves the group for good.
    pub(super) leave: Cell<bool>,
}

/// What the membership task needs.
pub(super) struct Group {
    pub(super) store: Client,
    /// Topic whose partitions are the duties.
    pub(super) topic: &'static str,
    /// Name of this incarnation of the process in the group.
    pub(super) member: String,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) duty_request: Rc<DutyRequest>,
    pub(super) tx: Tx,
}

/// Keeps this host in the group and sends the duties assigned to it to the control thread, until it has left for good.
pub(super) async fn run(group: Group) {
    let lane = group.store.lane();
    let mut membership = Membership::default();
    let mut lease = DutyLease::default();
    let mut era = lane.era();
    loop {
        membership.handle(group.due());
        match membership.next() {
            Next::Nothing => {}
            Next::Join(generation) => {
                let sent_at = group.clock.now();
                // A restored store has given out lower generations than before.
                let is_known = std::mem::replace(&mut era, lane.era()) == lane.era();
                let generation = if is_known { generation } else { 0 };
                let event = match group.join(&lane, generation).await {
                    Some(generation) => {
                        lease.renew(sent_at);
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
            group.report(BTreeSet::new());
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
        let paused =
            paused || self.duty_request.stands_by.get() || self.duty_request.partitioned.get();
        Event::Due { paused, leaving: self.duty_request.leave.get() }
    }

    /// Joins the group or renews the membership. Returns the group's generation, or `None` if the call failed.
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
                self.report(duties);
                Some(generation)
            }
            Ok(_) => {
                tracing::warn!(part = "duty", event = "wrong-answer");
                None
            }
            // Duties stay assigned until the lease expires. Leadership is unaffected: the right to grant is fenced separately.
            Err(err) => {
                tracing::debug!(part = "duty", event = "not-joined", error = %err);
                None
            }
        }
    }

    fn report(&self, duties: BTreeSet<u32>) {
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
    /// Gives up the duties of this host when it becomes partitioned from the backend servers, and asks for them again when the
    /// partition has healed.
    pub(super) fn update_partitioned(&mut self) {
        let partitioned = *self.partitioned.borrow_and_update();
        if self.duty_request.partitioned.replace(partitioned) != partitioned && partitioned {
            self.step_all(&GrantorEvent::Partitioned);
        }
    }

    /// Decides from the known hosts and the heartbeats of grantors whether this host is a standby.
    pub(super) fn update_standby(&mut self) {
        let now = self.clock.now();
        if self.standby_updated.is_some_and(|at| now < at + STANDBY_INTERVAL) {
            return;
        }
        self.standby_updated = Some(now);
        let fleet = self.replica.hosts().map(|(_, entry)| (&entry.domain, entry.processor));
        let stands_by = self.standby.stands_by(now, self.settings.processor, fleet);
        if self.duty_request.stands_by.replace(stands_by) != stands_by {
            tracing::info!(part = "duty", event = "stands-by", stands_by = %stands_by, processor = %self.settings.processor);
        }
    }
}
