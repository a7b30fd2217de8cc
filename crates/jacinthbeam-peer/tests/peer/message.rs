use std::{fmt::Write, time::Duration};

use jacinthbeam_peer::message::{
    Answer, ForwardReply, Heartbeat, Probe, Probed, Progress, Question, Records, Remembered,
    StoredAnswer, Vouch,
};
use jacinthbeam_types::prelude::*;

use crate::support::{any_port, head, raw};

pub(crate) fn heartbeat(vouch: Option<Vouch>) -> Heartbeat {
    Heartbeat {
        host: "entry-1".parse().unwrap(),
        incarnation: Incarnation(7),
        cell: "kelowna-b".parse().unwrap(),
        peer_address: any_port(),
        stopping: false,
        next: Offset(1000),
        config: Some(ConfigVersion(12)),
        attends: vec![("brine-3".parse().unwrap(), Token(4))],
        unreachable: vec!["brine-4".parse().unwrap()],
        vouch,
        members: vec![("entry-2".parse().unwrap(), Incarnation(8), any_port())],
    }
}

pub(crate) fn vouch() -> Vouch {
    Vouch {
        witness_epoch: Epoch(3),
        next: Offset(1000),
        silent: vec![("brine-4".parse().unwrap(), Epoch(900))],
    }
}

pub(crate) fn remembered(progress: Progress) -> Remembered {
    Remembered {
        service: "brinedesk".parse().unwrap(),
        key: KeyHash(0x1234),
        slot: Some(SlotId(41)),
        idempotency_key: "order-17".parse().unwrap(),
        fingerprint: 99,
        attempt: 1,
        progress,
    }
}

fn questions() -> Vec<Question> {
    let server: ServerId = "brine-3".parse().unwrap();
    let stored = StoredAnswer {
        status: 201,
        headers: vec![("etag".into(), b"1".to_vec())],
        body: b"ok".to_vec(),
    };
    let probe = Probe { server: server.clone(), server_epoch: Epoch(900), witness_epoch: Epoch(3) };
    vec![
        Question::Heartbeat(heartbeat(None)),
        Question::Probe(probe),
        Question::Retire { witness_epoch: Epoch(3) },
        Question::Attend { server },
        Question::ReadLog { from: Offset(5), max_bytes: 4096, wait: Duration::from_millis(1500) },
        Question::FetchState,
        Question::Remember(remembered(Progress::Sent)),
        Question::Remember(remembered(Progress::NotRun)),
        Question::Remember(remembered(Progress::Answered(stored))),
        Question::Remember(remembered(Progress::AnsweredNotKept)),
    ]
}

fn answers() -> Vec<Answer> {
    let records = Records {
        records: vec![(Offset(5), b"record".to_vec())],
        earliest: Offset(2),
        end: Offset(6),
        proof_age: Duration::from_millis(3),
    };
    vec![
        Answer::Heartbeat(heartbeat(Some(vouch()))),
        Answer::Probed(Probed::Reached),
        Answer::Probed(Probed::Promised),
        Answer::Probed(Probed::NotReached),
        Answer::Retired { promised: true },
        Answer::Done { agreed: false },
        Answer::Records(records),
        Answer::State { next: Offset(6), snapshot: b"snapshot".to_vec() },
        Answer::Failed { why: "no".into() },
    ]
}

fn replies() -> Vec<ForwardReply> {
    let id = head(1).id;
    let refusal = Refusal::not_run(Reason::NotAttendant).retry_after(Duration::from_millis(50));
    vec![
        ForwardReply::Answer {
            id,
            status: 200,
            headers: vec![("etag".into(), b"1".to_vec())],
            body_length: Some(5),
        },
        ForwardReply::Refused { id, refusal, attendant: Some(any_port()) },
    ]
}

fn hex(text: &mut String, name: String, bytes: &[u8]) {
    writeln!(text, "{name}").unwrap();
    for line in bytes.chunks(40) {
        text.push_str("  ");
        line.iter().for_each(|byte| write!(text, "{byte:02x}").unwrap());
        text.push('\n');
    }
}

#[test]
fn bytes_of_wire_version_1_are_as_released() {
    // Hosts of two releases talk to each other while one replaces the other. If these bytes change without a
    // new wire version, the older one misreads the newer one's messages.
    let mut text = String::new();
    for question in questions() {
        hex(&mut text, format!("{question:?}"), &raw::encode(&question));
    }
    for answer in answers() {
        hex(&mut text, format!("{answer:?}"), &raw::encode(&answer));
    }
    hex(&mut text, format!("{:?}", head(1)), &raw::encode(&head(1)));
    for reply in replies() {
        hex(&mut text, format!("{reply:?}"), &raw::encode(&reply));
    }
    insta::assert_snapshot!(text);
}
