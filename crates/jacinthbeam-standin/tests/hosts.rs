//! The host list and its lag.

mod support;

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use jacinthbeam_native::format::hosts::{EntryHost, HostList};
use jacinthbeam_standin::hosts::{self, Options};
use jacinthbeam_types::clock::ManualClock;
use support::{ANY, Client};

fn list(host: &str) -> HostList {
    let host = EntryHost {
        id: host.parse().unwrap(),
        cell: "sal-a".parse().unwrap(),
        peer_address: "127.0.0.1:9".parse().unwrap(),
        leaving: false,
    };
    HostList { entry_hosts: vec![host], backend_servers: Vec::new() }
}

// A reader sees a host for as long as the lag although it is gone, and only then its successor.
#[tokio::test]
async fn change_is_seen_after_the_lag() {
    let clock = Arc::new(ManualClock::new());
    let lag = Duration::from_secs(5);
    let options = Options { clock: clock.clone(), list: list("old"), lag };
    let hosts = hosts::spawn(ANY, options).unwrap();
    let mut client = Client::open(hosts.addr()).await.unwrap();
    let body = serde_json::to_vec(&list("new")).unwrap();
    let got = client.send("PUT", "/hosts", &[], body).await.unwrap();
    assert_eq!(got.status, StatusCode::NO_CONTENT);
    assert_eq!(hosts.list(), list("new"));
    assert_eq!(client.get("/hosts").await.unwrap().json::<HostList>(), list("old"));
    clock.advance(lag);
    assert_eq!(client.get("/hosts").await.unwrap().json::<HostList>(), list("new"));
    hosts.set_lag(Duration::from_secs(6));
    assert_eq!(client.get("/hosts").await.unwrap().json::<HostList>(), list("old"));
}

#[tokio::test]
async fn malformed_list_is_refused_and_changes_nothing() {
    let hosts = hosts::spawn(ANY, Options { list: list("h"), ..Options::default() }).unwrap();
    let mut client = Client::open(hosts.addr()).await.unwrap();
    let got = client.send("PUT", "/hosts", &[], "[]").await.unwrap();
    assert_eq!(got.status, StatusCode::BAD_REQUEST);
    assert_eq!(hosts.list(), list("h"));
    hosts.set_down(true);
    assert_eq!(client.get("/hosts").await.unwrap().status, StatusCode::SERVICE_UNAVAILABLE);
}

// A reader that names the tag of its list is told only what has changed; a lag hides a new list from the tag too.
#[tokio::test]
async fn tag_of_a_list_is_answered_without_the_list_until_another_is_seen() {
    let clock = Arc::new(ManualClock::new());
    let lag = Duration::from_secs(5);
    let options = Options { clock: clock.clone(), list: list("old"), lag };
    let hosts = hosts::spawn(ANY, options).unwrap();
    let mut client = Client::open(hosts.addr()).await.unwrap();
    let got = client.get("/hosts").await.unwrap();
    let tag = got.header("etag").unwrap().to_owned();
    hosts.set_list(list("new"));
    let named = [("if-none-match", tag.as_str())];
    let got = client.send("GET", "/hosts", &named, "").await.unwrap();
    assert_eq!(got.status, StatusCode::NOT_MODIFIED);
    clock.advance(lag);
    let got = client.send("GET", "/hosts", &named, "").await.unwrap();
    assert_eq!((got.status, got.json::<HostList>()), (StatusCode::OK, list("new")));
}
