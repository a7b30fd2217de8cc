use std::{fmt::Write, time::Duration};

use jacinthbeam_peer::message::{
    Answer, Claim, ClaimSlots, Claimed, ClaimedSlot, Copies, Details, Edition, EntryId, Fetch,
    Fetched, ForwardReply, Heartbeat, KnownSlot, Offer, Probe, Probed, Progress, Question, Records,
    Remembered, ServerLoad, Stage, StoredAnswer, Vouch,
};
use jacinthbeam_types::prelude::*;

use crate::support::{any_port, head, raw};

pub(crate) fn heartbeat(vouch: Option<Vouch>) -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation(7),
        next: Offset(1000),
        config: Some(ConfigVersion(12)),
        number: 2,
        holds: Some(Edition { incarnation: Incarnation(8), number: 1 }),
        details: None,
        vouch,
    }
}

pub(crate) fn details() -> Details {
    Details {
        host: "entry-1".parse().unwrap(),
        cell: "kelowna-b".parse().unwrap(),
        peer_address: any_port(),
        stopping: false,
        retired: None,
        attends: vec![("brine-3".parse().unwrap(), Token(4))],
        unreachable: vec!["brine-4".parse().unwrap()],
    }
}

pub(crate) fn vouch() -> Vouch {
    Vouch { witness_epoch: Epoch(3), silent: vec![("brine-4".parse().unwrap(), Epoch(900))] }
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

pub(crate) fn claim() -> Claim {
    Claim {
        epoch: Epoch(70),
        token: Token(0x3_0000_0009),
        round: 1,
        server: "brine-3".parse().unwrap(),
    }
}

pub(crate) fn copies(stage: Stage, progress: Progress) -> Copies {
    Copies {
        service: "brinedesk".parse().unwrap(),
        slots: vec![ClaimedSlot { slot: SlotId(41), claim: claim() }],
        stage,
        copies: vec![remembered(progress)],
        lost: vec![(SlotId(41), Duration::from_secs(7))],
    }
}

fn claim_questions() -> Vec<Question> {
    let service: ServiceName = "brinedesk".parse().unwrap();
    let slots = vec![ClaimedSlot { slot: SlotId(41), claim: claim() }];
    let after = EntryId { key: KeyHash(0x1234), idempotency_key: "order-17".parse().unwrap() };
    vec![
        Question::Claim(ClaimSlots { service: service.clone(), slots, before: Token(8) }),
        Question::Fetch(Fetch {
            service,
            slots: vec![SlotId(41)],
            divided_by: 1200,
            after: Some(after),
        }),
    ]
}

fn claim_answers() -> Vec<Answer> {
    let known = KnownSlot {
        slot: SlotId(41),
        highest: Some(claim()),
        covered: Some(claim()),
        unused: None,
        lost: Some(Duration::from_secs(7)),
    };
    vec![
        Answer::Claimed(Claimed { slots: vec![known], unused_before: true }),
        Answer::Fetched(Fetched { copies: vec![remembered(Progress::Sent)], more: true }),
    ]
}

fn questions() -> Vec<Question> {
    let server: ServerId = "brine-3".parse().unwrap();
    let stored = StoredAnswer {
        status: 201,
        headers: vec![("etag".into(), b"1".to_vec())],
        body: b"ok".to_vec(),
    };
    let probe = Probe { server: server.clone(), server_epoch: Epoch(900), witness_epoch: Epoch(3) };
    let mut questions = vec![
        Question::Heartbeat(heartbeat(None)),
        Question::Heartbeat(Heartbeat { details: Some(details()), ..heartbeat(None) }),
        Question::Probe(probe),
        Question::Retire { witness_epoch: Epoch(3) },
        Question::Attend { server },
        Question::ReadLog { from: Offset(5), max_bytes: 4096, wait: Duration::from_millis(1500) },
        Question::FetchState,
        Question::Remember(copies(Stage::First, Progress::Sent)),
        Question::Remember(copies(Stage::More, Progress::NotRun)),
        Question::Remember(copies(Stage::Last, Progress::Answered(stored))),
        Question::Remember(copies(Stage::Update, Progress::AnsweredNotKept)),
    ];
    questions.extend(claim_questions());
    questions.push(Question::Loads);
    questions.push(Question::LastRead { cell: "kelowna-b".parse().unwrap() });
    questions.push(Question::Offer(Offer {
        service: "brinedesk".parse().unwrap(),
        slot: SlotId(9),
        from: "brine-3".parse().unwrap(),
        to: "brine-4".parse().unwrap(),
        milli_load: 120,
        milli_left: 1900,
        heavy: 0,
        crowded: false,
    }));
    questions
}

fn answers() -> Vec<Answer> {
    let records = Records {
        records: vec![(Offset(5), b"record".to_vec())],
        earliest: Offset(2),
        end: Offset(6),
        proof_age: Duration::from_millis(3),
    };
    let mut answers = vec![
        Answer::Heartbeat(heartbeat(Some(vouch()))),
        Answer::Probed(Probed::Reached),
        Answer::Probed(Probed::Promised),
        Answer::Probed(Probed::NotReached),
        Answer::Retired { promised: true },
        Answer::Done { agreed: false },
        Answer::Records(records),
        Answer::State { next: Offset(6), snapshot: b"snapshot".to_vec() },
        Answer::Failed { why: "no".into() },
    ];
    answers.extend(claim_answers());
    let load = ServerLoad { server: "brine-3".parse().unwrap(), milli_busy: 700 };
    answers.push(Answer::Loads(vec![load]));
    answers.push(Answer::LastRead { ago: Duration::from_millis(80) });
    answers
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
fn bytes_of_wire_version_2_are_as_released() {
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
