//! Measures questions and forwarded requests over loopback; prints rates, latencies and bytes on the wire.
//!
//! Run with `cargo run --release -p jacinthbeam-peer --example measure`. Rates are given for each core in use by
//! client and server together, from the processor time of this process.

use std::{
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use jacinthbeam_peer::{
    Body, Client, client,
    message::{
        Answer, Details, Edition, ForwardHead, ForwardReply, Heartbeat, Question, Records, Vouch,
    },
    server::{self, Cancelled, Handle, Handler},
};
use jacinthbeam_types::prelude::*;

/// How long each rate is measured.
const SPAN: Duration = Duration::from_secs(3);
/// Heartbeats over which bytes are averaged.
const HEARTBEATS: u64 = 200;
/// Most witnesses of a cell.
const MAX_WITNESSES: u64 = 5;
const TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST_BYTES: usize = 1024;
/// Unit of processor time in `/proc`, the same on every Linux.
const TICKS_A_SECOND: f64 = 100.0;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime can be built");
    runtime.block_on(run());
}

async fn run() {
    for members in [4, 8, 16] {
        for attended in [5, 20, 60] {
            heartbeat_bytes(members, attended).await;
        }
    }
    relay_bytes().await;
    let server = bind(Answer::Heartbeat(heartbeat()));
    for parallel in [1, 16, 64] {
        measure("ask heartbeat", parallel, server.local_addr(), ask).await;
        measure("forward 1 KiB", parallel, server.local_addr(), forward).await;
    }
    measure("forward 64 KiB", 16, server.local_addr(), forward_long).await;
}

/// A heartbeat of a host which attends `attended` servers, to a host that holds its details.
fn heartbeat() -> Heartbeat {
    let incarnation = Incarnation(0x9e37_79b9_7f4a_7c15);
    Heartbeat {
        incarnation,
        next: Offset(120_000),
        config: Some(ConfigVersion(119_000)),
        number: 40,
        holds: Some(Edition { incarnation, number: 40 }),
        details: None,
        vouch: Some(Vouch { witness_epoch: Epoch(100), silent: Vec::new() }),
    }
}

fn details(attended: u64) -> Details {
    let server = |n: u64| -> ServerId { format!("tilecast-kelowna-{n}").parse().expect("a name") };
    Details {
        host: "entry-kelowna-0".parse().expect("a name"),
        cell: "kelowna-b".parse().expect("a name"),
        peer_address: SocketAddr::from(([10, 20, 30, 40], 7001)),
        stopping: false,
        retired: None,
        attends: (0..attended).map(|n| (server(n), Token(40 + n))).collect(),
        unreachable: Vec::new(),
    }
}

fn bind(answer: Answer) -> Handle {
    let ask = move |_| std::future::ready(answer.clone());
    let handler = Handler { ask, forward: echo };
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    server::bind(addr, server::Options::default(), handler).expect("a free port")
}

async fn echo(head: ForwardHead, body: Body, _: Cancelled) -> (ForwardReply, Body) {
    let headers = vec![("content-type".into(), b"application/octet-stream".to_vec())];
    let reply =
        ForwardReply::Answer { id: head.id, status: 200, headers, body_length: body.length() };
    (reply, body)
}

/// Bytes on the wire of one question and its answer.
struct Exchange {
    asked: u64,
    heard: u64,
}

/// Averages over many exchanges on one connection, without those of its start.
async fn exchange_bytes(question: Question, answer: Answer) -> Exchange {
    let server = bind(answer);
    let client = Client::open(client::Options::default());
    client.ask(server.local_addr(), &question, TIMEOUT).await.expect("an answer");
    let before = client.dump().remove(0);
    for _ in 0..HEARTBEATS {
        client.ask(server.local_addr(), &question, TIMEOUT).await.expect("an answer");
    }
    let after = client.dump().remove(0);
    Exchange {
        asked: (after.bytes_written - before.bytes_written) / HEARTBEATS,
        heard: (after.bytes_read - before.bytes_read) / HEARTBEATS,
    }
}

async fn heartbeat_bytes(members: u64, attended: u64) {
    let question = Heartbeat { vouch: None, ..heartbeat() };
    let answer = Answer::Heartbeat(heartbeat());
    let full = Heartbeat { details: Some(details(attended)), ..question.clone() };
    let Exchange { asked, heard } =
        exchange_bytes(Question::Heartbeat(question), answer.clone()).await;
    let full = exchange_bytes(Question::Heartbeat(full), answer).await.asked;
    // A witness asks the other witnesses, and is asked by every other host, five times a second. No
    // host has more to say.
    let witnesses = members.min(MAX_WITNESSES);
    let out = 5 * ((witnesses - 1) * asked + (members - 1) * heard);
    let in_ = 5 * ((witnesses - 1) * heard + (members - 1) * asked);
    println!(
        "heartbeat, {members:2} members, {attended:2} attended: {asked} bytes asked, {heard} heard, {full} asked with details; \
         {:.1} KiB/s out and {:.1} in for a witness; a change of details is {:.1} KiB out",
        out as f64 / 1024.0,
        in_ as f64 / 1024.0,
        ((members - 1) * full) as f64 / 1024.0
    );
}

/// Following the control stream through another host, while nothing is written.
async fn relay_bytes() {
    let wait = Duration::from_millis(300);
    let question = Question::ReadLog { from: Offset(120_000), max_bytes: 4 << 20, wait };
    let records = Records {
        records: Vec::new(),
        earliest: Offset(100_000),
        end: Offset(120_000),
        proof_age: Duration::from_micros(700),
    };
    let Exchange { asked, heard } = exchange_bytes(question, Answer::Records(records)).await;
    println!("relayed read without records: {asked} bytes asked, {heard} heard");
}

async fn measure<F>(
    name: &str,
    parallel: u64,
    addr: SocketAddr,
    one: impl Fn(Client, SocketAddr, u64) -> F + Copy + Send + 'static,
) where
    F: Future<Output = ()> + Send,
{
    let client = Client::open(client::Options::default());
    one(client.clone(), addr, 0).await;
    let (started, used) = (Instant::now(), processor_time());
    let workers = (0..parallel).map(|worker| {
        let client = client.clone();
        tokio::spawn(async move {
            let mut latencies = Vec::new();
            while started.elapsed() < SPAN {
                let start = Instant::now();
                let sequence = worker << 32 | latencies.len() as u64;
                one(client.clone(), addr, sequence).await;
                latencies.push(start.elapsed());
            }
            latencies
        })
    });
    let mut latencies = Vec::new();
    for worker in workers.collect::<Vec<_>>() {
        latencies.extend(worker.await.expect("no worker panics"));
    }
    let (elapsed, used) = (started.elapsed().as_secs_f64(), processor_time() - used);
    latencies.sort_unstable();
    let at = |share: f64| latencies[((latencies.len() - 1) as f64 * share) as usize];
    let count = latencies.len() as f64;
    println!(
        "{name}, {parallel} at a time: {:.0}/s, {:.0}/s a core ({:.1} us of processor each), p50 {:?}, p99 {:?}",
        count / elapsed,
        count / used,
        used / count * 1e6,
        at(0.5),
        at(0.99)
    );
}

/// Processor time of this process in seconds.
fn processor_time() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("Linux");
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: f64 = fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_A_SECOND
}

async fn ask(client: Client, addr: SocketAddr, _: u64) {
    let question = Question::Heartbeat(heartbeat());
    client.ask(addr, &question, TIMEOUT).await.expect("an answer");
}

async fn forward(client: Client, addr: SocketAddr, sequence: u64) {
    exchange(client, addr, sequence, REQUEST_BYTES).await;
}

async fn forward_long(client: Client, addr: SocketAddr, sequence: u64) {
    exchange(client, addr, sequence, 64 * REQUEST_BYTES).await;
}

async fn exchange(client: Client, addr: SocketAddr, sequence: u64, bytes: usize) {
    let head = ForwardHead {
        id: RequestId { incarnation: Incarnation(7), sequence },
        service: "brinedesk".parse().expect("a name"),
        key: b"pass-5".to_vec(),
        server: "brinedesk-3".parse().expect("a name"),
        deadline: TIMEOUT,
        idempotent: false,
        idempotency_key: Some("order-17".parse().expect("a name")),
        method: "POST".into(),
        path: "/orders".into(),
        headers: vec![("content-type".into(), b"application/octet-stream".to_vec())],
        body_length: Some(bytes as u64),
    };
    let body = Body::from(Bytes::from(vec![0; bytes]));
    let forwarded = client.forward(addr, head, body, Instant::now() + TIMEOUT).await;
    let (_, body) = forwarded.expect("a reply");
    assert_eq!(body.collect(bytes).await.expect("a whole body").len(), bytes);
}
