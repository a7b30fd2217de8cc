//! How long a host waits before it answers another that asks for news, and what age it tells.

use std::time::Duration;

use jacinthbeam_host::process::peers::{
    long_poll::long_poll,
    update::{ServerUpdate, StateUpdate},
};
use jacinthbeam_types::prelude::*;
use tokio::{sync::watch, time::Instant};

const TOO_OLD: Duration = Duration::from_millis(950);

/// A configuration that was acknowledged three seconds ago is not in force on two hosts.
///
/// Both have lost the store and ask each other. Each waits for news before it answers; if it told the age that it had when the
/// question came, every round would make the other younger by the wait, and both would count as fresh for ever.
#[tokio::test(start_paused = true)]
async fn the_age_is_that_of_the_answer() {
    let heard = Instant::now();
    let (_tx, rx) = watch::channel(());
    let look = async || StateUpdate { age: heard.elapsed(), ..StateUpdate::default() };
    let news = long_poll(look, rx, Duration::from_millis(700), TOO_OLD).await;
    assert_eq!(news.age, Duration::from_millis(700));
}

/// The host that is asked loses the store during the wait. The one that asks has to turn elsewhere before a change that it
/// misses is due, so it is told as soon as the age is too high and not at the end of the wait.
#[tokio::test(start_paused = true)]
async fn a_source_that_goes_stale_says_so_at_once() {
    let heard = Instant::now();
    let (_tx, rx) = watch::channel(());
    tokio::time::advance(Duration::from_millis(600)).await;
    let look = async || StateUpdate { age: heard.elapsed(), ..StateUpdate::default() };
    let news = long_poll(look, rx, Duration::from_millis(700), TOO_OLD).await;
    assert_eq!(news.age, TOO_OLD);
}

#[tokio::test(start_paused = true)]
async fn news_are_answered_when_they_come() {
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
    let tell = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        tx.send(1).unwrap();
    };
    let (news, ()) = tokio::join!(long_poll(look, rx, Duration::from_millis(700), TOO_OLD), tell);
    assert_eq!((news.servers.len(), begun.elapsed()), (1, Duration::from_millis(30)));
}
