//! The log and its faults.

mod support;

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use jacinthbeam_native::format::log::{Appended, EARLIEST, END};
use jacinthbeam_standin::log::{self, Handle, Options, Retention};
use jacinthbeam_types::clock::ManualClock;
use support::{ANY, Client};

fn frames(records: &[(u64, &str)]) -> Vec<u8> {
    let mut buf = Vec::new();
    for (offset, text) in records {
        buf.extend_from_slice(&offset.to_be_bytes());
        buf.extend_from_slice(&(text.len() as u32).to_be_bytes());
        buf.extend_from_slice(text.as_bytes());
    }
    buf
}

async fn waiting(log: &Handle) {
    while log.waiting_reads() == 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn records_are_read_as_they_were_appended() {
    let log = log::spawn(ANY, Options::default()).unwrap();
    let mut client = Client::open(log.addr()).await.unwrap();
    for (n, text) in ["a", "bb", "ccc"].into_iter().enumerate() {
        let got = client.send("POST", "/streams/control", &[], text).await.unwrap();
        assert_eq!(got.json::<Appended>().offset, n as u64);
    }
    let got = client.get("/streams/control?from=1").await.unwrap();
    assert_eq!(got.body, frames(&[(1, "bb"), (2, "ccc")]));
    assert_eq!((got.header(END), got.header(EARLIEST)), (Some("3"), Some("0")));
    let got = client.get("/streams/control?from=0&max_bytes=1").await.unwrap();
    assert_eq!(got.body, frames(&[(0, "a")]), "at least one record");
    assert!(client.get("/streams/other?from=0").await.unwrap().body.is_empty());
}

#[tokio::test]
async fn waiting_read_gets_the_next_record() {
    let log = log::spawn(ANY, Options::default()).unwrap();
    let read = tokio::spawn(support::get(log.addr(), "/streams/s?from=0&wait_ms=60000"));
    waiting(&log).await;
    log.append("s", "x".into());
    assert_eq!(read.await.unwrap().body, frames(&[(0, "x")]));
}

#[tokio::test]
async fn waiting_read_is_ended_by_an_outage() {
    let log = log::spawn(ANY, Options::default()).unwrap();
    let read = tokio::spawn(support::get(log.addr(), "/streams/s?from=0&wait_ms=60000"));
    waiting(&log).await;
    log.set_down(true);
    assert_eq!(read.await.unwrap().status, StatusCode::SERVICE_UNAVAILABLE);
}

// The caller sees its connection break; the record stands nevertheless, since the log wrote it before the
// answer was lost. The next append is answered again.
#[tokio::test]
async fn lost_answer_leaves_the_record_written() {
    let log = log::spawn(ANY, Options::default()).unwrap();
    log.lose_next_answers(1);
    let mut client = Client::open(log.addr()).await.unwrap();
    assert!(client.send("POST", "/streams/s", &[], "x").await.is_err());
    assert_eq!(log.records("s").len(), 1);
    let mut client = Client::open(log.addr()).await.unwrap();
    let got = client.send("POST", "/streams/s", &[], "y").await.unwrap();
    assert_eq!(got.json::<Appended>().offset, 1);
}

#[tokio::test]
async fn log_that_is_down_writes_nothing() {
    let log = log::spawn(ANY, Options::default()).unwrap();
    log.set_down(true);
    let mut client = Client::open(log.addr()).await.unwrap();
    let got = client.send("POST", "/streams/s", &[], "x").await.unwrap();
    assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(log.records("s").is_empty());
}

// A reader that was away for longer than the log keeps records is told so, with the first offset that it can
// still read, so that it never takes a gap for an empty stream.
#[tokio::test]
async fn read_before_the_earliest_record_is_gone() {
    let clock = Arc::new(ManualClock::new());
    let age = Some(Duration::from_secs(60));
    let retention = Retention { records: Some(2), age };
    let log = log::spawn(ANY, Options { clock: clock.clone(), retention }).unwrap();
    ["a", "b", "c"].into_iter().for_each(|text| {
        log.append("s", text.into());
    });
    let got = support::get(log.addr(), "/streams/s?from=0").await;
    assert_eq!(got.status, StatusCode::GONE);
    assert_eq!((got.header(END), got.header(EARLIEST)), (Some("3"), Some("1")));
    clock.advance(Duration::from_secs(61));
    let got = support::get(log.addr(), "/streams/s?from=2").await;
    assert_eq!((got.status, got.header(EARLIEST)), (StatusCode::GONE, Some("3")));
    let got = support::get(log.addr(), "/streams/s?from=3").await;
    assert_eq!((got.status, got.body.len()), (StatusCode::OK, 0));
}

#[tokio::test]
async fn slow_log_works_after_its_delay() {
    let log = log::spawn(ANY, Options::default()).unwrap();
    log.set_slow(Duration::from_millis(1));
    let mut client = Client::open(log.addr()).await.unwrap();
    let got = client.send("POST", "/streams/s", &[], "x").await.unwrap();
    assert_eq!(got.json::<Appended>().offset, 0);
}
