//! A whole session of reads and of orders, as an operator would read it.

use std::fmt::Write;

use bytes::Bytes;
use http::request::Builder;

use crate::support::{
    Cluster, Plan, SERVICES,
    caller::{Caller, Got, get, post},
};

/// Three failure domains with an entry host each; the orders are divided among two of them.
const THREE: Plan = Plan {
    services: SERVICES,
    hosts: &["alder", "birch", "cedar"],
    servers: &[
        ("orders-0", "orders", "alder"),
        ("orders-1", "orders", "birch"),
        ("tiles-0", "tiles", "cedar"),
        ("lookup-0", "lookup", "birch"),
    ],
};

/// Header of an answer that the stand-in or the entry host sets for somebody who reads it.
const SHOWN: [&str; 6] = [
    "jacinthbeam-verdict",
    "jacinthbeam-request",
    "retry-after",
    "content-type",
    "content-length",
    "backend-server",
];

struct Session {
    cluster: Cluster,
    text: String,
}

impl Session {
    async fn ask(&mut self, host: &str, req: Builder, body: &'static str) -> Got {
        let addr = self.cluster.callers(host);
        let head = req.method_ref().unwrap().clone();
        let path = req.uri_ref().unwrap().clone();
        let sent = req.headers_ref().unwrap().clone();
        let mut caller = Caller::open(addr).await.expect("connects");
        let got = caller.ask(req, Bytes::from_static(body.as_bytes())).await.expect("an answer");
        writeln!(self.text, "{host} <- {head} {path}").unwrap();
        for (name, value) in &sent {
            writeln!(self.text, "    {name}: {}", value.to_str().unwrap()).unwrap();
        }
        if !body.is_empty() {
            writeln!(self.text, "    {body:?}").unwrap();
        }
        writeln!(self.text, "{host} -> {}", got.status).unwrap();
        for name in SHOWN {
            let value = got.header(name);
            match name {
                _ if value.is_empty() => continue,
                // An id names the life of the host that gave it, which differs from run to run.
                "jacinthbeam-request" => writeln!(self.text, "    {name}: <id>").unwrap(),
                // Tokens are offsets in the log, of which the number of digits may differ.
                "content-length" if got.status == 200 => {
                    writeln!(self.text, "    {name}: <n>").unwrap()
                }
                _ => writeln!(self.text, "    {name}: {value}").unwrap(),
            }
        }
        if got.status == 200 && !got.body.is_empty() {
            let echo = got.echo();
            let own = echo.request.as_deref() == Some(got.header("jacinthbeam-request"));
            let ran = if own { "ran" } else { "the kept answer of an earlier request that ran" };
            let slot = echo.slot.map_or("none".to_owned(), |slot| slot.to_string());
            let (method, path, bytes) = (echo.method, echo.path, echo.body_bytes);
            writeln!(self.text, "    {ran} {method} {path}, slot {slot}, body of {bytes} bytes")
                .unwrap();
        } else if !got.body.is_empty() {
            writeln!(self.text, "    {:?}", got.text()).unwrap();
        }
        self.text.push('\n');
        got
    }

    /// What the backend servers themselves say they ran.
    fn records(&mut self) {
        for (id, server) in &self.cluster.servers {
            let summary = server.summary();
            writeln!(self.text, "{id}: ran {}, refused {:?}", summary.ran, summary.refused)
                .unwrap();
            for run in server.runs() {
                let slot = run.slot.map_or("none".to_owned(), |slot| slot.to_string());
                let key = if run.key.is_empty() { "none" } else { &run.key };
                writeln!(self.text, "    key {key}, slot {slot}: {:?}", run.outcome).unwrap();
            }
        }
    }
}

/// The callers see one system, whichever host they ask: the same key runs at the same backend server, an answer says that it
/// ran, and every refusal says that nothing ran and what to do about it. The backend servers' own record at the end is the proof.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reads_and_orders_go_through_three_hosts() {
    let cluster = Cluster::start(THREE).await;
    let mut session = Session { cluster, text: String::new() };
    for host in ["alder-0", "birch-0", "cedar-0"] {
        session.ask(host, get("/tiles/7%2F12?layer=ice"), "").await;
        session.ask(host, post("/orders/route-9/brine"), "40 l/km").await;
    }
    session
        .ask("alder-0", post("/orders/route-4/brine").header("idempotency-key", "a-17"), "25 l/km")
        .await;
    session
        .ask("cedar-0", post("/orders/route-4/brine").header("idempotency-key", "a-17"), "25 l/km")
        .await;
    session
        .ask("birch-0", post("/orders/route-4/brine").header("idempotency-key", "a-17"), "99 l/km")
        .await;
    session.ask("cedar-0", get("/lookup/crews?near=9"), "").await;
    session.ask("alder-0", http::Request::head("/tiles/7%2F12"), "").await;
    session.ask("alder-0", get("/tiles/7"), "").await;
    session.ask("alder-0", get("/tiles"), "").await;
    session.ask("birch-0", get("/tyles/7"), "").await;
    session.ask("cedar-0", get("/"), "").await;
    session
        .ask("cedar-0", post("/orders/route-9").header("jacinthbeam-deadline-ms", "soon"), "")
        .await;
    session.cluster.server("tiles-0").set_shed(true);
    session.ask("birch-0", get("/tiles/7").header("jacinthbeam-idempotent", "true"), "").await;
    session.records();
    insta::assert_snapshot!(session.text);
}
