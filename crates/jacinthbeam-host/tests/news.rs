//! Long polls between hosts: how long an answer is held back, and which age it states.

use std::time::Duration;

use jacinthbeam_host::process::peers::{
    long_poll::long_poll,
    update::{ServerUpdate, StateUpdate},
};
use jacinthbeam_types::prelude::*;
use tokio::{sync::watch, time::Instant};

const TOO_OLD: Duration = Duration::from_millis(950);

/// Guards against two hosts that keep each other's stale data fresh, without a configuration that was acknowledged three seconds ago.
///
/// Both have lost the store and poll each other. Each holds its answer back for changes; if it stated the age as of the request, every round
/// would make the data younger by the wait, and both would count as fresh forever.
#[tokio::test(start_paused = true)]
async fn the_age_is_that_of_the_answer() {
    let as_of = Instant::now();
    let (_tx, rx) = watch::channel(());
    let look = async || StateUpdate { age: as_of.elapsed(), ..StateUpdate::default() };
    let update = long_poll(look, rx, Duration::from_millis(700), TOO_OLD).await;
    assert_eq!(update.age, Duration::from_millis(700));
}

/// Guards against a late change of source. If the polled host loses the store during the wait, it must answer as soon as its data is too old
/// rather than at the end of the wait, so that the polling host selects another source before a missed change is due.
#[tokio::test(start_paused = true)]
async fn a_source_that_becomes_stale_answers_immediately() {
    let as_of = Instant::now();
    let (_tx, rx) = watch::channel(());
    tokio::time::advance(Duration::from_millis(600)).await;
    let look = async || StateUpdate { age: as_of.elapsed(), ..StateUpdate::default() };
    let update = long_poll(look, rx, Duration::from_millis(700), TOO_OLD).await;
    assert_eq!(update.age, TOO_OLD);
}

/// Guards against changes that are held back until the end of the wait.
#[tokio::test(start_paused = true)]
async fn a_change_ends_the_wait() {
    let begun = Instant::now();
    let (tx, rx) = watch::channel(0);
    let known = rx.clone();
    let look = async || {
        let servers = (0..*known.borrow()).map(|n: u32| ServerUpdate {
            name: format!("s{n}").parse().unwrap(),
            offset: Offset(0),
            server: None,
            leaving_for: None,
        });
        StateUpdate { servers: servers.collect(), ..StateUpdate::default() }
    };
    let send = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        tx.send(1).unwrap();
    };
    let (update, ()) = tokio::join!(long_poll(look, rx, Duration::from_millis(700), TOO_OLD), send);
    assert_eq!((update.servers.len(), begun.elapsed()), (1, Duration::from_millis(30)));
}
