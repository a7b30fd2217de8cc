//! Following a partition of a store whose answers are bounded.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use jacinthbeam_native::store::{decode, encode, era};
use jacinthbeam_standin::serve;
use jacinthbeam_store::{Call, Client, Error, Lane, Page, Partition, Reply, Wire, keyed::Follower};
use jacinthbeam_types::prelude::*;

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn place() -> Partition {
    Partition { topic: "owners".into(), number: 0 }
}

async fn put(lane: &Lane, value: u8, only_at: Option<Offset>) -> Result<Reply, Error> {
    let value = Bytes::copy_from_slice(&[value]);
    lane.call(&Call::Put { to: place(), key: "map".into(), value, only_at }).await
}

/// Guards against a record that replaces a newer one which its writer has not read.
#[tokio::test]
async fn a_read_that_is_cut_short_does_not_reach_the_end() {
    let store = serve::spawn(LOOPBACK, 1).await.unwrap();
    let client = Client::open(store.addr(), Wire { encode, era, decode }, Arc::new(SystemClock));
    let lane = client.lane();
    put(&lane, 0, None).await.unwrap();
    let mut follower = Follower::new(place());
    let known = follower.look(&lane, Duration::ZERO).await.unwrap();
    assert_eq!(known.end, Offset(1));
    for value in 1..=5 {
        put(&lane, value, None).await.unwrap();
    }
    store.bound_reads(2);
    let changes = follower.look(&lane, Duration::from_millis(10)).await.unwrap();
    let last = changes.items.last().unwrap();
    assert_eq!(changes.end.0, last.offset.0 + 1, "every record before the end was read");
    assert_eq!((changes.end, &last.value[..]), (Offset(6), &[5][..]));
}

/// Guards against records that are lost when a read that takes several calls fails in between.
#[tokio::test]
async fn a_read_that_fails_half_way_is_made_again() {
    let store = serve::spawn(LOOPBACK, 1).await.unwrap();
    let client = Client::open(store.addr(), Wire { encode, era, decode }, Arc::new(SystemClock));
    let lane = client.lane();
    let mut follower = Follower::after(place(), Offset(0));
    for value in 0..4 {
        put(&lane, value, None).await.unwrap();
    }
    store.turn_away(true);
    assert!(follower.look(&lane, Duration::ZERO).await.is_err());
    assert_eq!(follower.end(), Some(Offset(0)));
    store.turn_away(false);
    store.bound_reads(1);
    assert_eq!(follower.look(&lane, Duration::ZERO).await.unwrap().items.len(), 4);
}

/// Reads every page as one that holds nothing and has others after it.
fn decode_empty(call: &Call, status: StatusCode, body: &Bytes) -> Result<Reply, Error> {
    match decode(call, status, body)? {
        Reply::Page(page) => Ok(Reply::Page(Page { items: Vec::new(), more: true, ..page })),
        reply => Ok(reply),
    }
}

/// Guards against keys that count as removed since a page was taken for the last one.
#[tokio::test]
async fn a_page_without_records_is_not_the_last_while_more_follow() {
    let store = serve::spawn(LOOPBACK, 1).await.unwrap();
    let wire = Wire { encode, era, decode: decode_empty };
    let lane = Client::open(store.addr(), wire, Arc::new(SystemClock)).lane();
    put(&lane, 0, None).await.unwrap();
    let mut follower = Follower::new(place());
    let read = follower.look(&lane, Duration::ZERO).await;
    assert!(matches!(read, Err(Error::Malformed(_))), "{read:?}");
    assert_eq!(follower.end(), None);
}
