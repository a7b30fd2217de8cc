//! The duties to grant, dealt out by a group of the store.

use std::{
    cell::Cell,
    collections::BTreeSet,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_store::{Call, Client, Reply};
use jacinthbeam_types::prelude::*;

use super::input::{Input, Tx};

/// Without a word of a host for this long its duties go to another.
const LEASE: Duration = Duration::from_millis(1500);

/// Pause between two words of a host: three in a lease, so that one lost answer costs nothing.
const JOIN_EVERY: Duration = Duration::from_millis(500);

/// Name of the group.
const GROUP: &str = "grantors";

/// What the duty task is told.
#[derive(Debug, Default)]
pub(super) struct Wish {
    /// The host takes no duty until then.
    pub(super) rest_until: Cell<Option<Instant>>,
    /// The host takes no duty any more.
    pub(super) leave: Cell<bool>,
}

/// Stays a member of the group, and tells which duties fall to this host.
pub(super) async fn run(
    store: Client,
    topic: &'static str,
    member: String,
    clock: Arc<dyn Clock>,
    wish: Rc<Wish>,
    tx: Tx,
) {
    let lane = store.lane();
    let mut generation = 0;
    let mut lost = false;
    loop {
        let rests = wish.rest_until.get().is_some_and(|until| clock.now() < until);
        if rests || wish.leave.get() {
            let leave = Call::Leave { group: GROUP.into(), member: member.clone() };
            if let Err(err) = lane.call(&leave).await {
                tracing::info!(part = "duty", event = "leave-failed", error = %err);
            }
            generation = 0;
            if wish.leave.get() {
                return;
            }
            while wish.rest_until.get().is_some_and(|until| clock.now() < until) {
                tokio::time::sleep(JOIN_EVERY).await;
            }
        }
        let join = Call::Join {
            group: GROUP.into(),
            member: member.clone(),
            topic: topic.into(),
            lease: LEASE,
            generation,
        };
        match lane.call(&join).await {
            Ok(Reply::Member { generation: now, shares }) => {
                generation = now;
                if std::mem::take(&mut lost) {
                    tracing::info!(part = "duty", event = "regained");
                }
                let duties: BTreeSet<u32> =
                    shares.iter().map(|share| share.partition.number).collect();
                if tx.send(Input::Duties(duties)).is_err() {
                    return;
                }
            }
            Ok(_) => tracing::warn!(part = "duty", event = "wrong-answer"),
            // A duty that was had stays until the store says otherwise: it is advice, and the right to grant is proved elsewhere.
            Err(err) => {
                if !std::mem::replace(&mut lost, true) {
                    tracing::warn!(part = "duty", event = "lost", error = %err);
                }
            }
        }
        tokio::time::sleep(JOIN_EVERY).await;
    }
}
