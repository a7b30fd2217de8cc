//! Golden file of an operator's session against a stand-in log.

use bytes::Bytes;
use jacinthbeam::{
    admission::usage::{Counter, Record as UsageRecord, encode},
    state::{
        CONTROL, Envelope, Record, RecordId, USAGE,
        record::{JoinServer, OwnerRun, SlotBase},
    },
    types::prelude::*,
};

use crate::support::*;

const SERVICES: &str = r#"{
  // Team of the forecasts.
  "services": {
    "tilecast": { "team": "forecasts", "division": { "keyed": { "slots": 8 } }, "concurrency": 3, "connections": 130 },
    "archiv": { "team": "records", "division": "undivided", "concurrency": 6, "connections": 60 },
  },
}
"#;

fn queue(queue: u32) -> String {
    format!("{{ \"services\": {{ \"tilecast\": {{ \"queue\": {queue} }} }} }}\n")
}

fn deadline(ms: u32) -> String {
    format!("{{ \"services\": {{ \"archiv\": {{ \"default_deadline_ms\": {ms} }} }} }}\n")
}

/// A record as an entry host appends it.
fn append(desk: &Desk, sequence: u64, why: &str, record: Record) -> Offset {
    let id = RecordId { incarnation: Incarnation(900), sequence };
    let envelope = Envelope { id, why: why.into(), record };
    desk.log.append(CONTROL, envelope.encode().expect("a short record").into())
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

// Two operators and an old copy of their folder, through everything that may come between them and the log.
#[tokio::test]
async fn operators_publish_and_look() {
    let mut desk = Desk::new();
    let north = Folder::new();
    desk.name(&north, "north");
    check(&desk, &north).await;
    let old = publish_first(&mut desk, &north).await;
    let south = race(&mut desk, &north).await;
    publish_late(&desk, &old).await;
    lose_and_wait(&desk, &south).await;
    look(&desk).await;
    insta::assert_snapshot!(desk.text());
}

async fn check(desk: &Desk, north: &Folder) {
    desk.tell("a folder with two mistakes");
    north.write("10-services.json", &SERVICES.replace("\"team\": \"records\", ", ""));
    north.write("20-limits.json", &queue(16).replace("queue", "quue"));
    desk.run("check north").await;
    desk.run("publish north --log LOG").await;
    desk.tell("put right");
    north.write("10-services.json", SERVICES);
    north.write("20-limits.json", &queue(16));
    desk.run("check north --origins").await;
}

async fn publish_first(desk: &mut Desk, north: &Folder) -> Folder {
    desk.tell("the first publication");
    desk.run("publish north --log LOG --dry-run").await;
    desk.run("publish north --log LOG").await;
    desk.run("publish north --log LOG").await;
    let old = north.copy();
    desk.name(&old, "old");
    old
}

async fn race(desk: &mut Desk, north: &Folder) -> Folder {
    let south = Folder::new();
    desk.name(&south, "south");
    desk.tell("a second operator starts with an empty folder");
    desk.run("adopt south --log LOG").await;
    desk.tell("both edit, different files: both succeed");
    north.write("20-limits.json", &queue(24));
    south.write("30-deadlines.json", &deadline(4000));
    desk.run("publish north --log LOG").await;
    desk.run("publish south --log LOG").await;
    desk.tell("both edit the same file: the second one is told");
    desk.run("adopt north --log LOG").await;
    north.write("30-deadlines.json", &deadline(5000));
    south.write("30-deadlines.json", &deadline(6000));
    desk.run("publish north --log LOG").await;
    desk.run("publish south --log LOG").await;
    desk.tell("the second one looks, keeps the own text, and publishes");
    desk.run("adopt south --log LOG").await;
    desk.run("adopt south --log LOG --keep 30-deadlines.json").await;
    desk.run("publish south --log LOG").await;
    south
}

async fn publish_late(desk: &Desk, old: &Folder) {
    desk.tell("a copy of the folder from the beginning reverts nothing");
    desk.run("publish old --log LOG").await;
    old.write("20-limits.json", &queue(17));
    desk.run("publish old --log LOG").await;
    desk.tell("an old text comes back only by name");
    desk.run("adopt old --log LOG --take 20-limits.json").await;
    old.write("20-limits.json", &queue(16));
    desk.run("publish old --log LOG").await;
    desk.run("publish old --log LOG --put-back 20-limits.json").await;
}

async fn lose_and_wait(desk: &Desk, south: &Folder) {
    desk.tell("the answer to the append is lost after the write");
    desk.run("adopt south --log LOG").await;
    south.write("30-deadlines.json", &deadline(7000));
    desk.log.lose_next_answers(1);
    desk.run("publish south --log LOG").await;
    desk.tell("the log is down");
    south.write("30-deadlines.json", &deadline(8000));
    desk.log.set_down(true);
    desk.run("publish south --log LOG").await;
    desk.run("status --operators 127.0.0.1:1 --log LOG").await;
    desk.run("usage --log LOG").await;
    desk.run("explain --log LOG --service archiv").await;
    desk.tell("it comes back while the operator waits");
    let log = desk.log.clone();
    desk.screen.on_line(move |line| {
        if line.starts_with("waits") {
            log.set_down(false);
        }
    });
    desk.run("publish south --log LOG --wait 60s").await;
    desk.screen.on_line(|_| ());
}

async fn look(desk: &Desk) {
    desk.tell("entry hosts found the service and move a slot");
    let (service, team): (ServiceName, TeamName) = (name("tilecast"), name("forecasts"));
    let server = |id: &str, incarnation| JoinServer {
        server: name(id),
        incarnation: Incarnation(incarnation),
        cell: name("kamloops-a"),
    };
    let half = |server| OwnerRun { server, slots: 4 };
    let found = Record::Found {
        service: service.clone(),
        base: None,
        slots: 8,
        servers: vec![server("tilecast-1", 71), server("tilecast-2", 72)],
        owners: vec![half(0), half(1)],
    };
    let founded = append(desk, 0, "all backend servers answer", found);
    let slot = KeyHash::of(b"coquihalla").slot(8, &Default::default());
    let (from, to) = match slot.0 < 4 {
        true => ("tilecast-1", "tilecast-2"),
        false => ("tilecast-2", "tilecast-1"),
    };
    let moved = Record::Move {
        service: service.clone(),
        slots: vec![SlotBase { slot, epoch: Epoch(founded.0) }],
        from: name(from),
        to: name(to),
    };
    append(desk, 1, "balance: load above 1.25 of the mean", moved);
    desk.run("explain --log LOG --service tilecast --key coquihalla").await;
    desk.run("explain --log LOG --service archiv").await;
    desk.run("explain --log LOG --service tilecast").await;
    desk.run("explain --log LOG --service zapis --key 1").await;
    desk.tell("what was used; the second copy of a batch counts nothing");
    let mut counter = Counter::new(Incarnation(80));
    counter.count(&team, &service, Verdict::Ran);
    counter.count(&team, &service, Verdict::Ran);
    counter.count(&team, &service, Verdict::MayHaveRun);
    counter.count(&name("records"), &name("archiv"), Verdict::Ran);
    let batch = counter.take_batch().expect("something was counted").clone();
    let bytes = Bytes::from(encode(&UsageRecord::Batch(batch)));
    desk.log.append(USAGE, bytes.clone());
    desk.log.append(USAGE, bytes);
    desk.run("usage --log LOG").await;
    desk.run("usage --log LOG --team records --json").await;
}
