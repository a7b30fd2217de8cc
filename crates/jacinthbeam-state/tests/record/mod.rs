//! Bytes of records.

use jacinthbeam_state::{Envelope, Outcome, Record, RecordId, Why, apply, record::codec};
use jacinthbeam_types::prelude::*;

use crate::support::*;

fn envelope() -> Envelope {
    let id = RecordId { incarnation: Incarnation(7), sequence: 1 };
    let session = Session::witnessed();
    Envelope {
        id,
        why: "t1 is silent".into(),
        record: evict(&session.state, "t1", &[101], &[(0, "t2")]),
    }
}

#[test]
fn record_reads_back_as_written() {
    let buf = envelope().encode().expect("a short record");
    assert_eq!(Envelope::decode(&buf), Ok(envelope()));
}

// During an update a newer release appends a record that this one can't read. It may be an
// eviction. A reader that passed over it would go on granting slots that others own by then, so it
// must stop here and say so.
#[test]
fn record_of_a_newer_release_stops_the_reader() {
    let mut session = Session::divided();
    let mut buf = envelope().encode().expect("a short record");
    buf[0] = codec::VERSION + 1;
    let before = session.state.clone();
    let offset = before.next;
    let err = session.state.apply_bytes(offset, &buf);
    assert_eq!(err, Err(apply::Error::Newer { offset, version: codec::VERSION + 1 }));
    assert_eq!(session.state, before);
}

#[test]
fn bytes_that_no_release_writes_are_void_for_all() {
    let mut session = Session::divided();
    let whole = envelope().encode().expect("a short record");
    let mut long = whole.clone();
    long.push(0);
    let cut = whole[..whole.len() - 1].to_vec();
    for buf in [vec![], vec![0, 1], vec![codec::VERSION], vec![codec::VERSION, 255, 255], long, cut]
    {
        let outcome = session.append_bytes("garbage", buf);
        assert!(matches!(outcome, Outcome::Void(Why::Garbage(_))), "{outcome}");
    }
}

#[test]
fn arbitrary_bytes_are_never_a_panic() {
    arbtest::arbtest(|u| {
        let mut buf = vec![codec::VERSION];
        buf.extend(u.arbitrary::<Vec<u8>>()?);
        let _ = Envelope::decode(&buf);
        let _ = jacinthbeam_state::State::decode(Offset(1), &buf);
        Ok(())
    });
}

#[test]
fn missing_and_repeated_records_are_refused() {
    let mut session = Session::divided();
    let next = session.state.next;
    let id = RecordId { incarnation: Incarnation(7), sequence: 1 };
    let record = Record::Keep { server: name("t1"), server_epoch: epoch_of(&session.state, "t1") };
    let envelope = Envelope { id, why: String::new(), record };
    for came in [next.next(), Offset(next.0 - 1)] {
        let err = session.state.apply(came, &envelope);
        assert_eq!(err, Err(apply::Error::Gap { next, came }));
    }
}
