//! Golden file of one session: what an attendant says and what the server answers.

use std::{fmt::Write, time::Duration};

use jacinthbeam_native::format::backend::{DEADLINE, Grant, KEY, REQUEST, SLOT, TOKEN};
use jacinthbeam_types::prelude::*;

use crate::{
    bench::{Bench, LEASE, grant},
    support::Client,
};

struct Session {
    client: Client,
    text: String,
}

impl Session {
    async fn say(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) {
        let mut line = format!("> {method} {path}");
        headers.iter().for_each(|(name, value)| write!(line, " {name}={value}").unwrap());
        writeln!(self.text, "{line} {body}").unwrap();
        let got = self.client.send(method, path, headers, body.to_owned()).await.unwrap();
        let refused = got.header("request-refused").map(|text| format!(" request-refused={text}"));
        let server = got.header("backend-server").unwrap();
        let refused = refused.unwrap_or_default();
        writeln!(
            self.text,
            "< {} backend-server={server}{refused} {}",
            got.status.as_u16(),
            got.text()
        )
        .unwrap();
    }

    async fn grant(&mut self, grant: &Grant) {
        self.say("POST", "/grant", &[], &serde_json::to_string(grant).unwrap()).await;
    }

    async fn order(&mut self, token: &str, slot: &str, request: &str) {
        let headers =
            [(TOKEN, token), (SLOT, slot), (KEY, "pass-7"), (REQUEST, request), (DEADLINE, "900")];
        self.say("POST", "/orders?dry=1", &headers, "brine").await;
    }

    fn note(&mut self, text: &str) {
        writeln!(self.text, "# {text}").unwrap();
    }
}

#[tokio::test]
async fn session_of_an_attendant_reads_as_recorded() {
    let bench = Bench::new(|options| options.clock_offset = Duration::from_millis(100));
    let mut session = Session { client: bench.client().await, text: String::new() };
    let first = grant(&bench.server, 1);
    session.say("GET", "/grant", &[], "").await;
    session.grant(&first).await;
    session.order("1", "3", "5-1").await;
    session.order("1", "4", "5-2").await;
    session.note("another attendant takes over, and takes slots 0 and 1 out");
    let slots = [SlotId(2), SlotId(3)].into_iter().collect();
    session.grant(&Grant { token: Token(2), slots, based_on: Offset(11), ..first.clone() }).await;
    session.grant(&first).await;
    session.order("1", "3", "5-3").await;
    session.order("2", "1", "6-1").await;
    session.order("2", "2", "6-2").await;
    session.note("the lease ends");
    bench.clock.advance(LEASE);
    session.order("2", "2", "6-3").await;
    session.say("GET", "/grant", &[], "").await;
    session.note("the server is to leave");
    bench.server.set_draining(true);
    session.say("GET", "/health", &[], "").await;
    session.order("2", "2", "6-4").await;
    session.say("GET", "/runs", &[], "").await;
    insta::assert_snapshot!(session.text);
}
