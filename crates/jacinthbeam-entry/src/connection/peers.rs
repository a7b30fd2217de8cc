//! What other entry hosts ask of this one.

use std::{io, sync::Arc, time::Duration};

use jacinthbeam_peer::{
    Body,
    message::{Answer, ForwardHead, ForwardReply, Question},
    server::{self, Cancelled, Handler},
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
};

use crate::{
    process::{Traffic, control::Event},
    request::run,
};

/// How much earlier than the host that forwarded a request this one gives it up, or a tenth of the time that is left.
///
/// Both would give up at the same moment, and the other host's `may-have-run` would win over a
/// `not-run` that is known here.
const REPLY_MARGIN: Duration = Duration::from_millis(100);

/// Answers other entry hosts. Questions about control state go to the control thread, those about the memory of
/// idempotency keys are answered here, and requests run here.
///
/// A request whose sender goes away is dropped where it stands, which closes its connection to the backend server.
pub fn serve(
    listener: TcpListener,
    options: server::Options,
    cx: Arc<Traffic>,
    control: mpsc::Sender<Event>,
) -> io::Result<server::Handle> {
    let asked = cx.clone();
    let handler = Handler {
        ask: move |question: Question| ask(asked.clone(), control.clone(), question),
        forward: move |head: ForwardHead, body: Body, cancelled: Cancelled| {
            forward(cx.clone(), head, body, cancelled)
        },
    };
    server::serve_on(listener, options, handler)
}

async fn ask(cx: Arc<Traffic>, control: mpsc::Sender<Event>, question: Question) -> Answer {
    let question = match question {
        Question::Remember(copies) => return Answer::Done { agreed: cx.memory.remember(copies) },
        Question::Claim(claim) => return Answer::Claimed(cx.memory.claimed(&claim)),
        Question::Fetch(fetch) => return Answer::Fetched(cx.memory.fetch(&fetch)),
        question => question,
    };
    let stopping = || Answer::Failed { why: "this host is stopping".into() };
    let (reply, answer) = oneshot::channel();
    if control.send(Event::Asked { question, reply }).await.is_err() {
        return stopping();
    }
    answer.await.unwrap_or_else(|_| stopping())
}

async fn forward(
    cx: Arc<Traffic>,
    mut head: ForwardHead,
    body: Body,
    mut cancelled: Cancelled,
) -> (ForwardReply, Body) {
    head.deadline -= (head.deadline / 10).min(REPLY_MARGIN);
    let id = head.id;
    tokio::select! {
        answer = run::run(&cx, head, body) => answer,
        () = cancelled.cancelled() => {
            // Nobody reads this answer.
            let refusal = jacinthbeam_types::Refusal::may_have_run(jacinthbeam_types::Reason::Cancelled);
            (ForwardReply::Refused { id, refusal, attendant: None }, Body::empty())
        }
    }
}
