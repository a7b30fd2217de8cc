//! The rules of the stand-ins, which other tests rely on.

use std::time::{Duration, Instant};

use bytes::Bytes;
use jacinthbeam_range::{Key, KeyRange};
use jacinthbeam_standin::{
    keyed::{HigherSeen, Server},
    store::Store,
};
use jacinthbeam_store::{Call, Error, Partition, Reply};
use jacinthbeam_types::prelude::*;

fn place() -> Partition {
    Partition { topic: "keyed.x".into(), number: 0 }
}

fn put(store: &mut Store, key: &str, only_at: Option<u64>) -> Result<Reply, Error> {
    let (key, value) = (key.to_owned(), Bytes::from_static(b"v"));
    let call = Call::Put { to: place(), key, value, only_at: only_at.map(Offset) };
    store.call(Instant::now(), &call)
}

#[test]
fn of_two_appends_at_one_end_one_is_kept() {
    let mut store = Store::new(1);
    assert_eq!(put(&mut store, "a", Some(0)), Ok(Reply::Kept(Offset(1))));
    assert_eq!(put(&mut store, "b", Some(0)), Err(Error::Conflict));
    assert_eq!(put(&mut store, "b", Some(1)), Ok(Reply::Kept(Offset(2))));
}

#[test]
fn a_forgotten_history_leaves_the_newest_of_each_key() {
    let mut store = Store::new(1);
    put(&mut store, "a", None).unwrap();
    store.forget(&place());
    let read = Call::Read { from: place(), at: Offset(0), wait: Duration::ZERO };
    assert_eq!(store.call(Instant::now(), &read), Err(Error::Expired));
    let newest = store.call(Instant::now(), &Call::Newest { from: place(), after: None });
    let Ok(Reply::Page(page)) = newest else { panic!("{newest:?}") };
    assert_eq!((page.items.len(), page.end), (1, Offset(1)));
}

#[test]
fn a_member_that_says_nothing_loses_its_share() {
    let mut store = Store::new(2);
    let begun = Instant::now();
    let join = |member: &str| Call::Join {
        group: "g".into(),
        member: member.into(),
        topic: "t".into(),
        lease: Duration::from_secs(1),
        generation: 0,
    };
    let mut shares = |at, member| match store.call(at, &join(member)) {
        Ok(Reply::Member { shares, .. }) => shares.len(),
        other => panic!("{other:?}"),
    };
    assert_eq!(shares(begun, "a"), 2);
    assert_eq!(shares(begun, "b"), 1);
    assert_eq!(shares(begun + Duration::from_secs(2), "b"), 2);
}

#[test]
fn a_server_refuses_what_is_older_than_a_release() {
    let mut server = Server::new("s".parse().unwrap());
    let (now, range) = (Instant::now(), KeyRange::new(0, 9).unwrap());
    let hold = Duration::from_secs(1);
    assert_eq!(server.grant(now, range, Token(5), hold), Ok(()));
    assert!(server.has(now, Key(3)) && !server.has(now + hold, Key(3)));
    assert!(server.release(now, KeyRange::new(2, 4).unwrap(), Token(6)).is_some());
    assert!(!server.has(now, Key(3)) && server.has(now, Key(5)));
    assert_eq!(server.grant(now, range, Token(5), hold), Err(HigherSeen));
    assert_eq!(server.grant(now, range, Token(6), hold), Ok(()));
}
