//! Publishing while the store is silent.

use std::time::Duration;

use jacinthbeam_cli::{
    command::Error,
    publication::{Options, publish},
};

use crate::support::*;

const ONE: &str = r#"{ "services": { "archiv": { "team": "records", "connections": 60 } } }"#;

fn options(desk: &Desk, folder: &Folder) -> Options {
    Options {
        folder: folder.0.clone(),
        store: desk.store.addr(),
        wait: Duration::ZERO,
        put_back: Default::default(),
        dry_run: false,
    }
}

/// An operator publishes while the store answers nothing, and it comes back a moment later. What was asked for during the
/// silence is done then, once: the copies of the record that were sent meanwhile are all for the same place.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_falls_silent_keeps_one_record() {
    let (desk, folder) = (Desk::new().await, Folder::new());
    folder.write("10.json", ONE);
    let mut wanted = options(&desk, &folder);
    wanted.wait = Duration::from_secs(30);
    desk.store.freeze(true);
    let screen = desk.screen.clone();
    let publishing = tokio::spawn(async move {
        screen.with(async |terminal| publish(&wanted, terminal).await).await
    });
    tokio::time::sleep(Duration::from_millis(1200)).await;
    desk.store.freeze(false);
    publishing.await.unwrap().unwrap();
    assert!(desk.text().contains("accepted: version 0 is in force"), "{}", desk.text());
    let mut again = options(&desk, &folder);
    again.wait = Duration::from_secs(5);
    desk.screen.with(async |terminal| publish(&again, terminal).await).await.unwrap();
    assert!(desk.text().contains("nothing to publish"), "{}", desk.text());
}

/// Nobody answers at the store's address. The operator is told that nothing has changed, and by which exit code.
#[tokio::test]
async fn a_store_that_is_not_there_changes_nothing() {
    let (desk, folder) = (Desk::new().await, Folder::new());
    folder.write("10.json", ONE);
    let mut wanted = options(&desk, &folder);
    wanted.store = "127.0.0.1:9".parse().unwrap();
    let ended = desk.screen.with(async |terminal| publish(&wanted, terminal).await).await;
    assert!(matches!(ended, Err(Error::Unavailable(_))), "{ended:?}");
}
