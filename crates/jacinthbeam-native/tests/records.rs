//! Calls, grants and records come out of the wire as they went in.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use jacinthbeam_config::{
    change::{Base, Change, FileChange},
    fold::State,
};
use jacinthbeam_host::wire::{Granted, Released};
use jacinthbeam_native::{config, grant, server, store};
use jacinthbeam_range::{KeyRange, Owner, grantor};
use jacinthbeam_route::Admission;
use jacinthbeam_store::{Call, Error, Item, Page, Partition, Reply, Share};
use jacinthbeam_types::prelude::*;

fn partition() -> Partition {
    Partition { topic: "keyed.owners".into(), number: 3 }
}

#[test]
fn calls_to_the_store_are_read_back() {
    let key = "tilecast".to_owned();
    let (group, member, topic) = ("g".to_owned(), "h1:7".to_owned(), "duties".to_owned());
    let lease = Duration::from_millis(1500);
    let calls = [
        Call::Put { to: partition(), key, value: Bytes::from("x"), only_at: Some(Offset(4)) },
        Call::Read { from: partition(), at: Offset(9), wait: Duration::from_secs(1) },
        Call::Newest { from: partition(), after: Some("a".into()) },
        Call::Join { group: group.clone(), member: member.clone(), topic, lease, generation: 2 },
        Call::Leave { group, member },
    ];
    for call in calls {
        let req = store::encode(&call);
        assert_eq!(store::call(req.body()).unwrap(), call);
    }
}

#[test]
fn answers_of_the_store_are_read_back() {
    let item = Item { key: "k".into(), value: Bytes::from("v"), offset: Offset(1) };
    let replies = [
        Ok(Reply::Kept(Offset(5))),
        Ok(Reply::Records { records: vec![Bytes::from("r")], end: Offset(6) }),
        Ok(Reply::Page(Page { items: vec![item], more: true, end: Offset(7) })),
        Ok(Reply::Member { generation: 3, shares: vec![Share { partition: partition() }] }),
        Ok(Reply::Left),
        Err(Error::Conflict),
        Err(Error::Expired),
        Err(Error::Busy(StatusCode::SERVICE_UNAVAILABLE)),
    ];
    let call = Call::Newest { from: partition(), after: None };
    for reply in replies {
        let (status, body) = store::reply(&reply);
        assert_eq!(store::decode(&call, status, &body), reply);
    }
    let garbage = store::decode(&call, StatusCode::OK, &Bytes::from_static(&[255; 3]));
    assert!(matches!(garbage, Err(Error::Malformed(_))), "{garbage:?}");
}

fn answer(status: StatusCode, life: &str, body: &'static str) -> Response<Bytes> {
    let res = Response::builder().status(status).header("jacinthbeam-server", life);
    res.body(Bytes::from(body)).unwrap()
}

/// The address of an ended server answers in the name of another life. Taken for the owner's word, a refusal of a release would
/// leave keys unserved, and an accepted grant would name an owner that holds nothing.
#[test]
fn the_word_of_another_life_is_known_as_such() {
    let owner = Owner { server: "s-1".parse().unwrap(), addr: "127.0.0.1:9".parse().unwrap() };
    let granted = |status, life| grant::granted(&owner, &answer(status, life, ""));
    assert_eq!(granted(StatusCode::OK, "s-1"), Granted::Held);
    assert_eq!(granted(StatusCode::CONFLICT, "s-1"), Granted::HigherSeen);
    assert_eq!(granted(StatusCode::OK, "s-2"), Granted::OtherServer);
    assert_eq!(granted(StatusCode::BAD_GATEWAY, "s-1"), Granted::Unclear);
    let released = |life, body| grant::released(&owner, &answer(StatusCode::OK, life, body));
    let warm = Released::Done(Some("warm".into()));
    assert_eq!(released("s-1", r#"{"handover":"warm"}"#), warm);
    assert_eq!(released("s-2", r#"{"handover":"warm"}"#), Released::OtherServer);
    assert_eq!(released("s-1", "half a"), Released::Unclear);
}

#[test]
fn a_grant_says_keys_token_and_time() {
    let owner = Owner { server: "s-1".parse().unwrap(), addr: "127.0.0.1:9".parse().unwrap() };
    let range = KeyRange::new(10, 20).unwrap();
    let call = grantor::RangeGrant { range, token: Token(7), handover: Some("warm".into()) };
    let req = grant::grant(&owner, &call, Duration::from_secs(4));
    let body: grant::Grant = serde_json::from_slice(req.body()).unwrap();
    let handover = Some("warm".to_owned());
    assert_eq!(body, grant::Grant { range, token: Token(7), hold_ms: 4000, handover });
    assert_eq!(req.headers()["jacinthbeam-server"], "s-1");
}

#[test]
fn a_server_s_entry_is_read_back() {
    let entry = server::Entry {
        service: "tilecast".parse().unwrap(),
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: "a".parse().unwrap(),
        slots: 3,
        draining: true,
        warmup_left_ms: 500,
        born: None,
    };
    let read = server::read("s-1", &entry.to_bytes()).unwrap();
    assert_eq!((read.slots, read.draining), (3, true));
    assert_eq!(read.warmup_left, Duration::from_millis(500));
    assert!(server::read("no name", &entry.to_bytes()).is_err());
    assert!(server::read("s-1", b"{}").is_err());
}

#[test]
fn the_configuration_in_force_is_that_of_the_record() {
    let text = r#"{ "services": { "tilecast": { "team": "ice", "connections": 9 } } }"#;
    let file = FileChange {
        name: "10.json".parse().unwrap(),
        base: Base::default(),
        text: Some(text.into()),
    };
    let mut state = State::default();
    state.apply(Offset(4), &Change { files: vec![file] });
    let record = config::write(&state);
    assert_eq!(config::state(&record).unwrap(), state);
    let cfg = config::read(&record).unwrap();
    assert_eq!(cfg.version, ConfigVersion(4));
    assert_eq!(cfg.services.len(), 1);
    assert!(config::read(b"{").is_err());
}

/// Guards against a host that can't read the configuration after an upgrade: in the records of earlier versions, services have no `admission`.
#[test]
fn a_record_without_admission_is_read() {
    let text =
        r#"{ "services": { "rides": { "team": "ice", "connections": 9, "admission": "off" } } }"#;
    let file = FileChange {
        name: "10.json".parse().unwrap(),
        base: Base::default(),
        text: Some(text.into()),
    };
    let mut state = State::default();
    state.apply(Offset(4), &Change { files: vec![file] });
    let record = config::write(&state);
    let admission =
        |record: &[u8]| config::read(record).unwrap().services[&"rides".parse().unwrap()].admission;
    assert_eq!(admission(&record), Admission::Off);
    let mut older: serde_json::Value = serde_json::from_slice(&record).unwrap();
    let service = older["config"]["services"]["rides"].as_object_mut().unwrap();
    assert_eq!(service.remove("admission"), Some("off".into()));
    assert_eq!(admission(&serde_json::to_vec(&older).unwrap()), Admission::Auto);
}
