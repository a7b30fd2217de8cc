//! Memory of connections between entry hosts, which stay open while nothing goes over them.

use std::time::Duration;

use jacinthbeam::peer::{
    Body, Client, client,
    message::{Answer, ForwardHead, ForwardReply, Question},
    server::{self, Cancelled, Handler},
};
use jacinthbeam::types::prelude::*;

use super::{Row, report::Timed};
use crate::{deployment::Error, process};

/// Bound of one question.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Both ends of so many connections, each of which has carried one question.
pub(super) async fn measure(count: u32) -> Result<Row, Error> {
    let handler = Handler { ask, forward };
    let options = server::Options { max_connections: count as usize + 1, ..Default::default() };
    let server = server::bind(([127, 0, 0, 1], 0).into(), options, handler);
    let server = server.map_err(|err| Error::NotReady(err.to_string()))?;
    let before = process::resident().0;
    let mut clients = Vec::new();
    for _ in 0..count {
        let client = Client::open(client::Options::default());
        let answer = client.ask(server.local_addr(), &Question::FetchState, TIMEOUT).await;
        answer.map_err(|err| Error::NotReady(err.to_string()))?;
        clients.push(client);
    }
    let more = process::resident().0.saturating_sub(before) as f64;
    Ok(Row::Timed(Timed::new(count, vec![("both ends together, bytes", more)])))
}

async fn ask(_: Question) -> Answer {
    Answer::Failed { why: "nothing is known here".into() }
}

async fn forward(head: ForwardHead, _: Body, _: Cancelled) -> (ForwardReply, Body) {
    let refusal = Refusal::not_run(Reason::NoOwner);
    (ForwardReply::Refused { id: head.id, refusal, attendant: None }, Body::empty())
}
