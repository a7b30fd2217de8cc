use std::time::Duration;

use jacinthbeam_native::{
    format::backend::Grant,
    grant::{Client, Error, Outcome},
};
use jacinthbeam_types::prelude::*;

use crate::fake::{Fake, Refusing};

fn client(fake: &Fake) -> Client {
    Client::open(fake.addr(), "s1".parse().unwrap(), Duration::from_secs(30))
}

fn answer(status: &str, server: &str, slots: &str) -> String {
    let state = format!(
        r#"{{"server":"{server}","incarnation":9,"token":4,"slots":{slots},"until":2000000,"based_on":17,"clock":1000000,"running":2,"running_older":1,"draining":false}}"#
    );
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{state}", state.len())
}

fn grant() -> Grant {
    let slots = [SlotId(0), SlotId(1), SlotId(7)].into_iter().collect();
    let (token, incarnation) = (Token(4), Incarnation(9));
    Grant { token, incarnation, slots, until: 2_000_000, based_on: Offset(17) }
}

#[tokio::test]
async fn a_grant_is_granted_or_refused_with_the_state() {
    let fake = Fake::bind().await;
    let client = client(&fake);
    let granted = answer("200 OK", "s1", "[[0,2],[7,8]]");
    let grant = grant();
    let (outcome, mut peer) = tokio::join!(client.grant(&grant), fake.serve(&granted));
    let Ok(Outcome::Granted(state)) = outcome else { panic!("{outcome:?}") };
    assert_eq!((&state.slots, state.running_older), (&grant.slots, 1));

    let (outcome, request) = tokio::join!(client.grant(&grant), async {
        let request = peer.request().await;
        peer.say(&answer("409 Conflict", "s1", "[]")).await;
        request
    });
    assert!(matches!(outcome, Ok(Outcome::Refused(_))), "{outcome:?}");
    let body = r#"{"token":4,"incarnation":9,"slots":[[0,2],[7,8]],"until":2000000,"based_on":17}"#;
    assert!(
        request.starts_with("POST /grant HTTP/1.1\r\n") && request.ends_with(body),
        "{request}"
    );
}

// The host of s1 was replaced, and s2 answers at its address. A renewal credited to s1 would hide its loss.
#[tokio::test]
async fn an_answer_of_another_server_is_an_error() {
    let fake = Fake::bind().await;
    let client = client(&fake);
    let other = answer("200 OK", "s2", "[]");
    let (state, _peer) = tokio::join!(client.query(), fake.serve(&other));
    assert_eq!(state, Err(Error::OtherServer("s2".parse().unwrap())));
}

#[tokio::test]
async fn an_answer_of_another_shape_is_an_error() {
    for slots in ["[[2,2]]", "[[5,3]]", "[[4,6],[5,7]]", "7"] {
        let fake = Fake::bind().await;
        let client = client(&fake);
        let answer = answer("200 OK", "s1", slots);
        let (state, _peer) = tokio::join!(client.query(), fake.serve(&answer));
        assert!(matches!(state, Err(Error::Garbled(_))), "{slots}: {state:?}");
    }
    let fake = Fake::bind().await;
    let client = client(&fake);
    let answer = answer("204 Empty", "s1", "[]");
    let (state, _peer) = tokio::join!(client.query(), fake.serve(&answer));
    assert!(matches!(state, Err(Error::Status(_))), "{state:?}");
}

// The kept connection went silent while new ones work. A query on it only ends at its timeout, and
// a live backend server would look lost; a probe reaches it over a new connection, which serves the
// next query too.
#[tokio::test]
async fn a_probe_is_not_misled_by_a_silent_connection() {
    let fake = Fake::bind().await;
    let client = client(&fake);
    let state = answer("200 OK", "s1", "[]");
    let (first, _silent) = tokio::join!(client.query(), fake.serve(&state));
    assert!(first.is_ok());
    let (probed, mut peer) = tokio::join!(client.probe(), fake.serve(&state));
    assert!(probed.is_ok(), "{probed:?}");
    let (next, ()) = tokio::join!(client.query(), async {
        peer.request().await;
        peer.say(&state).await;
    });
    assert!(next.is_ok(), "{next:?}");
}

// The answer to a grant is lost. It may be in force, which the error says; the attendant asks again.
#[tokio::test]
async fn a_lost_answer_is_told_from_a_grant_that_was_not_sent() {
    let fake = Fake::bind().await;
    let client = client(&fake);
    let serve = async { drop(fake.serve("").await) };
    let grant = grant();
    let (outcome, ()) = tokio::join!(client.grant(&grant), serve);
    assert!(matches!(outcome, Err(Error::Lost(_))), "{outcome:?}");

    let gone = Refusing::bind();
    let client = Client::open(gone.addr(), "s1".parse().unwrap(), Duration::from_secs(30));
    let outcome = client.grant(&grant).await;
    assert!(matches!(outcome, Err(Error::NotSent(_))), "{outcome:?}");
}
