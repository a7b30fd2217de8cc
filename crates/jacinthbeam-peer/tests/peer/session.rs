use std::{fmt::Write, time::Duration};

use jacinthbeam_peer::{
    Body,
    message::{Answer, ForwardHead, ForwardReply, Progress, Question, Stage},
    server::{self, Cancelled, Handler},
};
use jacinthbeam_types::prelude::*;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    message::{copies, heartbeat, vouch},
    support::{
        self, LONG, answer, any_port, attend, bytes, client, echo,
        frames::{self, Sent},
        relay::{Passed, Relay},
        text,
    },
};

async fn ask(question: Question) -> Answer {
    match question {
        Question::Heartbeat(_) => Answer::Heartbeat(heartbeat(Some(vouch()))),
        Question::Remember(_) => Answer::Done { agreed: true },
        question => Answer::Failed { why: format!("unexpected: {question:?}") },
    }
}

/// Request 2 is refused, 3 is cut by its backend server, 4 has no end; any other is echoed.
async fn forward(head: ForwardHead, body: Body, cancelled: Cancelled) -> (ForwardReply, Body) {
    let refusal = Refusal::not_run(Reason::Overloaded).retry_after(Duration::from_millis(50));
    match head.id.sequence {
        2 => (ForwardReply::Refused { id: head.id, refusal, attendant: None }, Body::empty()),
        3 => (answer(head.id, Some(9)), bytes("half")),
        4 => {
            let (mut tx, body) = Body::channel(None);
            tokio::spawn(async move {
                tx.send("begin".into()).await.ok();
                tx.closed().await;
            });
            (answer(head.id, None), body)
        }
        _ => echo(head, body, cancelled).await,
    }
}

/// What both ends sent on each stream, as an operator would read it.
fn transcript(passed: &Passed) -> String {
    let asked = frames::by_stream(&passed.to_server);
    let mut said = frames::by_stream(&passed.to_client);
    let mut text = String::new();
    for (stream, sent) in asked {
        let question = describe::<Question>(&sent.data);
        let is_question = question.is_some();
        let head = || describe::<ForwardHead>(&sent.data).expect("a head or a question");
        writeln!(text, "stream {stream}").unwrap();
        writeln!(text, "  asks {}{}", question.unwrap_or_else(head), end(&sent)).unwrap();
        let Some(sent) = said.remove(&stream) else { continue };
        let reply = match is_question {
            true => describe::<Answer>(&sent.data),
            false => describe::<ForwardReply>(&sent.data),
        };
        writeln!(text, "  hears {}{}", reply.unwrap_or_default(), end(&sent)).unwrap();
    }
    text
}

/// The message and the body that follows it. Each message is also encoded again, to the same bytes.
fn describe<T: DeserializeOwned + Serialize + std::fmt::Debug>(data: &[u8]) -> Option<String> {
    let (length, data) = data.split_first_chunk()?;
    let (message, body) = data.split_at_checked(u32::from_be_bytes(*length) as usize)?;
    let config = bincode::config::standard();
    let (value, used) = bincode::serde::decode_from_slice::<T, _>(message, config).ok()?;
    let again = bincode::serde::encode_to_vec(&value, config).ok()?;
    if used < message.len() || again != message {
        return None;
    }
    let body = String::from_utf8_lossy(body);
    Some(format!("{value:?}, body {body:?}"))
}

fn end(sent: &Sent) -> String {
    match (sent.ended, sent.reset) {
        (true, None) => ", end".into(),
        (false, None) => ", no end".into(),
        (_, Some(code)) => format!(", reset with code {code}"),
    }
}

/// The time left depends on the machine.
fn without_deadline(transcript: &str) -> String {
    let lines = transcript.lines().map(|line| match line.split_once("deadline: ") {
        Some((before, after)) => {
            let rest = after.split_once(',').map_or("", |(_, rest)| rest);
            format!("{before}deadline: (time left),{rest}\n")
        }
        None => format!("{line}\n"),
    });
    lines.collect()
}

#[tokio::test]
async fn whole_session() {
    // Two hosts exchange a heartbeat and a copy of an idempotency record. Then requests: one is answered, one
    // refused, one has its answer cut by the backend server, and the caller of the last goes away.
    let handler = Handler { ask, forward };
    let server = server::bind(any_port(), server::Options::default(), handler).unwrap();
    let relay = Relay::to(server.local_addr()).await;
    let client = client();
    client.ask(relay.addr, &Question::Heartbeat(heartbeat(None)), LONG).await.unwrap();
    let remember = Question::Remember(copies(Stage::Update, Progress::Sent));
    client.ask(relay.addr, &remember, LONG).await.unwrap();
    let (_, body) = support::forward(&client, relay.addr, 1, bytes("order")).await.unwrap();
    assert_eq!(text(body).await, "order");
    support::forward(&client, relay.addr, 2, Body::empty()).await.unwrap();
    let (_, body) = support::forward(&client, relay.addr, 3, bytes("x")).await.unwrap();
    body.collect(9).await.unwrap_err();
    let (_, mut body) = support::forward(&client, relay.addr, 4, bytes("y")).await.unwrap();
    body.next().await.unwrap().unwrap();
    drop(body);
    client.ask(relay.addr, &attend(), LONG).await.unwrap();
    let transcript = transcript(&relay.passed.lock().unwrap());
    insta::assert_snapshot!(without_deadline(&transcript));
}
