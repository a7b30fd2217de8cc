use std::time::Duration;

use jacinthbeam_native::log::read::{Batch, Error, Record};
use jacinthbeam_types::prelude::*;

use super::client;
use crate::fake::{Fake, Refusing};

const WAIT: Duration = Duration::from_millis(250);

fn frame(offset: u64, record: &str) -> String {
    let mut frame = offset.to_be_bytes().to_vec();
    frame.extend((record.len() as u32).to_be_bytes());
    frame.extend(record.as_bytes());
    String::from_utf8(frame).expect("small numbers are ASCII")
}

fn answer(status: &str, end: u64, body: &str) -> String {
    let len = body.len();
    format!(
        "HTTP/1.1 {status}\r\nlog-end: {end}\r\nlog-earliest: 4\r\ncontent-length: {len}\r\n\r\n{body}"
    )
}

async fn read(answer: &str) -> Result<Batch, Error> {
    let fake = Fake::bind().await;
    let log = client(fake.addr());
    let read = log.read("control", Offset(5), 100, WAIT);
    tokio::join!(read, fake.serve(answer)).0
}

#[tokio::test]
async fn records_come_with_the_ends_of_the_stream() {
    let body = frame(5, "move") + &frame(6, "");
    let batch = read(&answer("200 OK", 9, &body)).await.unwrap();
    let record =
        |offset, bytes: &'static str| Record { offset: Offset(offset), bytes: bytes.into() };
    let records = vec![record(5, "move"), record(6, "")];
    assert_eq!(batch, Batch { records, end: Offset(9), earliest: Offset(4) });
}

#[tokio::test]
async fn an_empty_batch_is_the_end_of_the_stream() {
    let batch = read(&answer("200 OK", 5, "")).await.unwrap();
    assert_eq!((batch.records.len(), batch.end), (0, Offset(5)));
}

// This host was away for longer than the log keeps records. It learns where the log begins, and starts from a
// snapshot; it must not go on as if nothing had been written in between.
#[tokio::test]
async fn a_read_below_the_earliest_record_is_expired() {
    let err = read(&answer("410 Gone", 9, "")).await.unwrap_err();
    assert_eq!(err, Error::Expired { earliest: Offset(4), end: Offset(9) });
}

// An answer with a gap, a surplus or a cut is not used at all: this host would fold another history
// than its peers, and two of them could name two owners for a key.
#[tokio::test]
async fn a_garbled_answer_gives_no_records() {
    let whole = frame(5, "move");
    for body in [
        frame(6, "move"),
        frame(5, "a") + &frame(7, "b"),
        frame(5, "a") + &frame(5, "a"),
        whole[..whole.len() - 1].to_owned(),
        whole[..7].to_owned(),
        frame(5, "a") + &frame(6, "b") + &frame(7, "c"),
    ] {
        let batch = read(&answer("200 OK", 7, &body)).await;
        assert!(matches!(batch, Err(Error::Down(_))), "{body:?}: {batch:?}");
    }
    let nameless = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    assert!(matches!(read(nameless).await, Err(Error::Down(_))));
}

#[tokio::test]
async fn a_log_that_is_down_says_so() {
    let gone = Refusing::bind();
    let log = client(gone.addr());
    let batch = log.read("control", Offset(5), 100, WAIT).await;
    assert!(matches!(batch, Err(Error::Down(_))), "{batch:?}");
    let batch = read(&answer("503 Down", 9, "")).await;
    assert!(matches!(batch, Err(Error::Down(_))), "{batch:?}");
}

// A read waits for records of one stream while another stream is read and a record appended.
// Neither has to wait.
#[tokio::test]
async fn a_waiting_read_delays_nothing_else() {
    let fake = Fake::bind().await;
    let log = client(fake.addr());
    let waiting = log.read("control", Offset(5), 100, Duration::from_secs(20));
    let script = async {
        let mut reader = fake.accept().await;
        let request = reader.request().await;
        assert!(
            request.starts_with("GET /streams/control?from=5&max_bytes=100&wait_ms=20000 HTTP/1.1")
        );
        let appended = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"offset\":5}";
        let (offset, _peer) =
            tokio::join!(log.append("control", b"a".into()), fake.serve(appended));
        assert_eq!(offset, Ok(Offset(5)));
        let empty = answer("200 OK", 5, "");
        let usage = log.read("usage", Offset(5), 100, WAIT);
        assert!(tokio::join!(usage, fake.serve(&empty)).0.is_ok());
        reader.say(&answer("200 OK", 6, &frame(5, "a"))).await;
        reader
    };
    let (batch, _reader) = tokio::join!(waiting, script);
    assert_eq!(batch.unwrap().records.len(), 1);
}
