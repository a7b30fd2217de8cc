//! What an entry host says of its requests.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use jacinthbeam::config::folder::Snapshot;
use jacinthbeam_cli::operators;
use jacinthbeam_measure::{Deployment, Plan};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Generous bound for a condition to hold.
const BOUND: Duration = Duration::from_secs(30);
const OPERATORS_PAGE: &str = include_str!("../../../../docs/OPERATORS.md");

/// One entry host that attends one backend server.
async fn deployment() -> Deployment {
    let mut files = Snapshot::default();
    let text = "{ \"services\": { \"tilecast\": { \"team\": \"forecasts\", \"division\": { \"keyed\": \
                { \"slots\": 8 } }, \"concurrency\": 3, \"connections\": 130 } } }";
    files.files.insert("10-services.json".parse().expect("a name"), text.into());
    let mut plan = Plan::new(["a", "b", "c"]);
    plan.entry_hosts = [("a".parse().expect("a name"), 1)].into();
    Deployment::spawn(plan, &files).await.expect("it starts")
}

/// The whole answer to a `GET`.
async fn get(addr: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("it listens");
    let req = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    stream.write_all(req.as_bytes()).await.expect("it reads");
    let mut res = String::new();
    stream.read_to_string(&mut res).await.expect("it answers");
    res
}

// A caller sends one request after the other, and each waits a quarter of a second although nothing
// else runs. An answer of known length is written without asking for more after its last byte, so
// its place at the backend server was not given back but counted as lost, until the backend server
// next said how many requests run.
#[tokio::test]
async fn place_is_free_when_the_caller_has_the_answer() {
    let deployment = deployment().await;
    let (_, entry) = deployment.entries.first_key_value().expect("one runs");
    for _ in 0..4 {
        let res = get(entry.callers(), "/tilecast/coquihalla/tile").await;
        assert!(res.contains("jacinthbeam-verdict: ran"), "{res}");
        let dump = operators::dump(entry.operators()).await.expect("a dump");
        let in_use: Vec<u32> = dump.leases().map(|(_, admission)| admission.in_use).collect();
        assert_eq!(in_use, [0]);
    }
    deployment.stop().await;
}

// A caller streams a body of unknown length that turns out longer than the service takes. Part of
// it has reached the backend server by then, so the refusal says that it may have run, and why it
// was refused.
#[tokio::test]
async fn body_that_turns_out_too_long_is_refused_as_such() {
    let deployment = deployment().await;
    let (_, entry) = deployment.entries.first_key_value().expect("one runs");
    let mut stream = TcpStream::connect(entry.callers()).await.expect("it listens");
    let head = "POST /tilecast/coquihalla/order HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
                transfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("it reads");
    let (mut from, mut to) = stream.into_split();
    let sending = tokio::spawn(async move {
        let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
        // Ends when the host has had enough and closes the connection.
        while to.write_all(chunk.as_bytes()).await.is_ok() {}
    });
    let mut res = Vec::new();
    // The connection may be reset after the answer, since the body is not read to its end.
    let _ = tokio::time::timeout(BOUND, from.read_to_end(&mut res)).await.expect("it answers");
    sending.abort();
    let res = String::from_utf8_lossy(&res);
    assert!(res.starts_with("HTTP/1.1 413"), "{res}");
    assert!(res.contains("may-have-run: the body is longer than 1048576 bytes"), "{res}");
    deployment.stop().await;
}

// Names of metrics are relied on by operators' dashboards. Each one that is scraped is explained on
// their page.
#[tokio::test]
async fn scrape_counts_requests_and_has_names_that_the_page_explains() {
    let deployment = deployment().await;
    let (_, entry) = deployment.entries.first_key_value().expect("one runs");
    get(entry.callers(), "/tilecast/coquihalla/tile").await;
    get(entry.callers(), "/nosuch/1").await;
    let until = tokio::time::Instant::now() + BOUND;
    let wanted = [
        "jacinthbeam_requests_total{reason=\"Answered\",service=\"tilecast\",verdict=\"ran\"",
        "jacinthbeam_requests_total{reason=\"UnknownService\",service=\"-\",verdict=\"not-run\"",
        "jacinthbeam_attempts_total{service=\"tilecast\"",
        "jacinthbeam_queue_seconds_count{service=\"tilecast\"",
        "jacinthbeam_lease_left_seconds{server=\"tilecast-0\",service=\"tilecast\"",
    ];
    let text = loop {
        // What the control thread says comes every second.
        let text = get(entry.operators(), "/metrics").await;
        if wanted.iter().all(|wanted| text.contains(wanted)) {
            break text;
        }
        assert!(tokio::time::Instant::now() < until, "{text}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    let names = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names: BTreeSet<&str> = names.filter_map(|line| line.split(' ').next()).collect();
    // These appear only once something went wrong.
    let rare = ["jacinthbeam_retries_total", "jacinthbeam_owner_changes_total"];
    let unexplained = names.iter().chain(&rare);
    let unexplained: Vec<_> =
        unexplained.filter(|name| !OPERATORS_PAGE.contains(&format!("`{name}`"))).collect();
    assert!(unexplained.is_empty(), "not on the operators' page: {unexplained:?}");
    let names: Vec<_> = names.into_iter().filter(|name| !rare.contains(name)).collect();
    insta::assert_snapshot!(names.join("\n"));
    deployment.stop().await;
}
