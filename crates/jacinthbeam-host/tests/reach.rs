//! Which reader probes an unreachable store, and what the others do once it is reachable.

use std::future::Future;

use jacinthbeam_host::process::reach::{StoreReachability, UNREACHABLE_AFTER};
use tokio::{pin, select};

/// Whether a future is ready at its first poll.
async fn is_ready(future: impl Future) -> bool {
    select! {
        biased;
        _ = future => true,
        () = std::future::ready(()) => false,
    }
}

fn unreachable() -> StoreReachability {
    let reach = StoreReachability::default();
    (0..UNREACHABLE_AFTER).for_each(|_| reach.on_read(false));
    reach
}

/// Guards against an unreachable store that gets probes from all readers of a host together.
#[tokio::test]
async fn one_reader_at_a_time_probes_an_unreachable_store() {
    let reach = unreachable();
    let turn = reach.probe_turn().await;
    assert!(turn.is_some() && !is_ready(reach.probe_turn()).await);
    drop(turn);
    assert!(is_ready(reach.probe_turn()).await);
}

/// Guards against a single lost response that counts as an outage. The reader of its partition retries immediately.
#[tokio::test]
async fn a_single_failed_read_limits_no_reader() {
    let reach = StoreReachability::default();
    reach.on_read(false);
    assert!(reach.probe_turn().await.is_none());
}

/// Guards against a stale map that sent requests to former owners for 25 s in a whole failure domain.
///
/// All reads of the domain's reader failed for a moment. The read of the list of hosts got the turn to probe after another read had
/// already succeeded, and kept it while it waited for the next host to join. The read of the map must not wait for that turn.
#[tokio::test]
async fn a_turn_after_the_store_is_reachable_blocks_no_other_reader() {
    let reach = unreachable();
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
