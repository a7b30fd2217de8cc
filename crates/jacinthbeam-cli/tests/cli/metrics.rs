//! What an entry host says of its requests.

use std::net::SocketAddr;

use jacinthbeam::config::folder::Snapshot;
use jacinthbeam_cli::operators;
use jacinthbeam_measure::{Deployment, Plan};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

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

// A caller sends one request after the other, and each waits a quarter of a second although nothing else runs. An answer of known
// length is written without asking for more after its last byte, so its place at the backend server was not given back but
// counted as lost, until the backend server next said how many requests run.
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
