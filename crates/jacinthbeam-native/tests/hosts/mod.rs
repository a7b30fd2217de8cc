use std::time::Duration;

use jacinthbeam_native::hosts::{Client, Error};

use crate::fake::{Fake, Peer, Refusing};

const LIST: &str = r#"{"entry_hosts":[{"id":"e1","cell":"kelowna-b","peer_address":"10.0.0.1:7000","leaving":false}],
"backend_servers":[{"id":"s1","service":"brinedesk","cell":"kelowna-b","address":"10.0.1.1:80","leaving":true}]}"#;

#[tokio::test]
async fn the_list_tells_who_is_leaving() {
    let fake = Fake::bind().await;
    let hosts = Client::open(fake.addr(), Duration::from_secs(30));
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{LIST}", LIST.len());
    let (list, _peer) = tokio::join!(hosts.list(), fake.serve(&answer));
    let list = list.unwrap();
    assert_eq!(list.entry_hosts[0].id.as_str(), "e1");
    assert!(list.backend_servers[0].leaving);
}

// A part of a list would look as if the other hosts had gone. It is an error.
#[tokio::test]
async fn a_list_that_is_not_whole_is_an_error() {
    let fake = Fake::bind().await;
    let hosts = Client::open(fake.addr(), Duration::from_secs(30));
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{LIST}", LIST.len() + 1);
    let serve = async { drop(fake.serve(&answer).await) };
    let (list, ()) = tokio::join!(hosts.list(), serve);
    assert!(matches!(list, Err(Error::Down(_))), "{list:?}");
    let half = "HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\n{\"entry_hosts\":[]";
    let (list, _peer) = tokio::join!(hosts.list(), fake.serve(half));
    assert!(matches!(list, Err(Error::Garbled(_))), "{list:?}");
}

#[tokio::test]
async fn a_list_that_is_down_says_so() {
    let gone = Refusing::bind();
    let hosts = Client::open(gone.addr(), Duration::from_secs(30));
    assert!(matches!(hosts.list().await, Err(Error::Down(_))));
}

// The platform tags its lists. The tag of the last whole list is named, and a `304` leaves it in force; a list that did not arrive
// whole is not taken for known.
#[tokio::test]
async fn a_list_that_is_known_is_not_sent_again() {
    let fake = Fake::bind().await;
    let hosts = Client::open(fake.addr(), Duration::from_secs(30));
    let garbled = "HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 2\r\n\r\n[]";
    let (list, mut peer) = tokio::join!(hosts.list_if_changed(), fake.serve(garbled));
    assert!(matches!(list, Err(Error::Garbled(_))), "{list:?}");

    let whole =
        format!("HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: {}\r\n\r\n{LIST}", LIST.len());
    let (list, asked) = tokio::join!(hosts.list_if_changed(), answered(&mut peer, &whole));
    assert!(list.unwrap().is_some());
    assert!(!asked.contains("if-none-match"), "{asked}");

    let same = "HTTP/1.1 304 Not Modified\r\netag: \"1\"\r\n\r\n";
    let (list, asked) = tokio::join!(hosts.list_if_changed(), answered(&mut peer, same));
    assert_eq!(list, Ok(None));
    assert!(asked.contains("if-none-match: \"1\""), "{asked}");
}

/// Answers the next question on a connection, and gives the question.
async fn answered(peer: &mut Peer, answer: &str) -> String {
    let asked = peer.request().await;
    peer.say(answer).await;
    asked
}
