//! Status of real entry hosts, and of hosts that lag.

use std::{net::SocketAddr, time::Duration};

use jacinthbeam::config::folder::Snapshot;
use jacinthbeam_cli::command::{Error, status};
use jacinthbeam_measure::{Deployment, Plan};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::support::*;

/// Generous bound for a condition to hold.
const BOUND: Duration = Duration::from_secs(30);

/// What is shown with numbers as `N`, since times and offsets differ from run to run.
fn without_numbers(text: &str) -> String {
    let line = |line: &str| {
        let words = line.split_whitespace().map(|word| {
            let is_number = word.chars().all(|c| c.is_ascii_digit());
            if is_number { "N" } else { word }
        });
        words.collect::<Vec<_>>().join(" ")
    };
    text.lines().map(line).collect::<Vec<_>>().join("\n")
}

async fn shown(options: &status::Options) -> (Result<(), Error>, String) {
    let screen = Screen::default();
    let ended = screen.with(async |terminal| status::status(options, terminal).await).await;
    (ended, screen.text())
}

// Dumps of real entry hosts are understood, and each host tells of the others of its cell.
#[tokio::test]
async fn real_hosts_tell_their_version_and_leases() {
    let mut files = Snapshot::default();
    let text = "{ \"services\": { \"tilecast\": { \"team\": \"forecasts\", \"division\": { \"keyed\": \
                { \"slots\": 200 } }, \"concurrency\": 3, \"connections\": 130 } } }";
    files.files.insert("10-services.json".parse().expect("a name"), text.into());
    let mut plan = Plan::new(["a", "b", "c"]);
    plan.entry_hosts = ["a", "b"].map(|name| (name.parse().expect("a name"), 2)).into();
    let deployment = Deployment::spawn(plan, &files).await.expect("it starts");
    let first = |cell: &str| {
        let host = format!("entry-{cell}-0").parse().expect("a name");
        deployment.entries.get(&host).expect("it runs").operators()
    };
    let options = status::Options {
        operators: vec![first("a"), first("b")],
        hosts: Some(deployment.hosts.addr()),
        operators_port: None,
        log: Some(deployment.log.addr()),
    };
    let expected = [
        "host cell version log next log read attends shortest lease state",
        "entry-a-0 a N N N ms ago N LEASE in force",
        "entry-a-1 a N N - - - in force, entry-a-0 heard it N ms ago",
        "entry-b-0 b N N N ms ago N LEASE in force",
        "entry-b-1 b N N - - - in force, entry-b-0 heard it N ms ago",
    ];
    let until = tokio::time::Instant::now() + BOUND;
    loop {
        let (ended, text) = shown(&options).await;
        // Which of two hosts attends the cell's server is up to their names.
        let text = without_numbers(&text)
            .replace("N N ms in", "N LEASE in")
            .replace("N - in", "N LEASE in");
        if ended.is_ok() && text.lines().eq(expected) {
            break;
        }
        assert!(tokio::time::Instant::now() < until, "{ended:?}\n{text}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    deployment.stop().await;
}

/// Answers every request with a dump.
async fn host(dump: &str) -> SocketAddr {
    let listener = TcpListener::bind(LOOPBACK).await.expect("a free port");
    let addr = listener.local_addr().expect("it is bound");
    let res = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{dump}", dump.len());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            // A caller that goes away is of no interest here.
            let _ = stream.read(&mut buf).await;
            let _ = stream.write_all(res.as_bytes()).await;
        }
    });
    addr
}

fn dump(host: &str, version: u64, read_age_ms: u64, member: &str, member_version: u64) -> String {
    format!(
        "{{ \"host\": {{ \"host\": \"{host}\", \"cell\": \"a\" }}, \"stopping\": false, \"config_version\": {version}, \
         \"log_next\": 9, \"log_read_age_ms\": {read_age_ms}, \"backend_servers\": {{}}, \"members\": [ {{ \"host\": \"{member}\", \
         \"age_ms\": 120, \"alive\": true, \"config_version\": {member_version}, \"log_next\": 9 }} ] }}"
    )
}

// One host is cut off from the log and follows an older version, another one is only heard of and
// lags too, a third does not answer. The operator sees which, and the exit code tells a script.
#[tokio::test]
async fn lagging_and_silent_hosts_are_named() {
    let fresh = host(&dump("h1", 7, 100, "h3", 5)).await;
    let cut_off = host(&dump("h2", 5, 60_000, "h1", 7)).await;
    let gone = SocketAddr::from(([127, 0, 0, 1], 1));
    let options = status::Options { operators: vec![fresh, cut_off, gone], ..Default::default() };
    let (ended, text) = shown(&options).await;
    let Err(Error::Partial(why)) = ended else { panic!("{ended:?}") };
    assert!(why.contains("h2 lags; h3 lags"), "{why}");
    assert!(why.starts_with("127.0.0.1:1 can't be reached"), "{why}");
    insta::assert_snapshot!(text);
}

// Another program listens at the address, or one that sends garbage: the command says so and ends.
#[tokio::test]
async fn garbage_is_no_dump() {
    let options = status::Options { operators: vec![host("[1, 2").await], ..Default::default() };
    let (ended, _) = shown(&options).await;
    assert!(matches!(&ended, Err(Error::Unavailable(why)) if why.contains("no dump")), "{ended:?}");
}
