//! Who asks a store that is away, and what the others do once it is back.

use std::future::Future;

use jacinthbeam_host::process::reach::{StoreReachability, UNREACHABLE_AFTER};
use tokio::{pin, select};

/// Whether a future is ready at once.
async fn is_ready(future: impl Future) -> bool {
    select! {
        biased;
        _ = future => true,
        () = std::future::ready(()) => false,
    }
}

fn away() -> StoreReachability {
    let reach = StoreReachability::default();
    (0..UNREACHABLE_AFTER).for_each(|_| reach.on_read(false));
    reach
}

#[tokio::test]
async fn one_reader_at_a_time_asks_a_store_that_is_away() {
    let reach = away();
    let turn = reach.probe_turn().await;
    assert!(turn.is_some() && !is_ready(reach.probe_turn()).await);
    drop(turn);
    assert!(is_ready(reach.probe_turn()).await);
}

/// A single lost answer is no outage: the partition that it belongs to asks again at once.
#[tokio::test]
async fn a_store_that_answers_is_asked_by_all() {
    let reach = StoreReachability::default();
    reach.on_read(false);
    assert!(reach.probe_turn().await.is_none());
}

/// Callers are sent to former owners for 25 s, as the hosts of a failure domain go by an old map.
///
/// The store has cut all reads of their reader for a moment. The read of the list of hosts gets the turn to ask after another read has
/// found the store back, and waits for the next host with it. The read of the map must not wait for that.
#[tokio::test]
async fn a_turn_that_comes_too_late_holds_up_nobody() {
    let reach = away();
    let first = reach.probe_turn().await;
    let second = reach.probe_turn();
    pin!(second);
    assert!(!is_ready(second.as_mut()).await);
    reach.on_read(true);
    drop(first);
    let late = second.await;
    assert!(late.is_none());
    assert!(is_ready(reach.probe_turn()).await);
}
