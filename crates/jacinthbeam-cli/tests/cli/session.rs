//! Golden file of an operator's session against a stand-in store.

use crate::support::*;

const SERVICES: &str = r#"{
  // Team of the forecasts.
  "services": {
    "tilecast": { "team": "forecasts", "keyed": true, "connections": 130 },
    "archiv": { "team": "records", "connections": 60 },
  },
  "routes": { "tiles": { "prefix": "/tiles/", "service": "tilecast", "idempotent": true } },
}
"#;

fn connections(count: u32) -> String {
    format!("{{ \"services\": {{ \"tilecast\": {{ \"connections\": {count} }} }} }}\n")
}

fn timeout(ms: u32) -> String {
    format!("{{ \"routes\": {{ \"tiles\": {{ \"timeout_ms\": {ms} }} }} }}\n")
}

/// Two operators and an old copy of their folder, through everything that may come between them and the store.
#[tokio::test]
async fn operators_publish_and_look() {
    let mut desk = Desk::new().await;
    let north = Folder::new();
    desk.name(&north, "north");
    check(&desk, &north).await;
    let old = publish_first(&mut desk, &north).await;
    let south = race(&mut desk, &north).await;
    desk.tell("an old copy of the folder, with an edit");
    old.write("20-limits.json", &connections(8));
    desk.run("publish old --store STORE").await;
    desk.tell("the store takes no calls");
    desk.store.turn_away(true);
    south.write("30-times.json", &timeout(700));
    desk.run("publish south --store STORE").await;
    desk.run("adopt south --store STORE").await;
    desk.run("usage --store STORE").await;
    desk.store.turn_away(false);
    desk.tell("it is back");
    desk.run("publish south --store STORE").await;
    desk.run("usage --store STORE").await;
    insta::assert_snapshot!(desk.text());
}

async fn check(desk: &Desk, north: &Folder) {
    desk.tell("a folder with two mistakes");
    north.write("10-services.json", &SERVICES.replace("\"team\": \"records\", ", ""));
    north.write("20-limits.json", &connections(16).replace("connections", "conections"));
    desk.run("check north").await;
    desk.run("publish north --store STORE").await;
    desk.tell("put right");
    north.write("10-services.json", SERVICES);
    north.write("20-limits.json", &connections(16));
    desk.run("check north --origins").await;
}

async fn publish_first(desk: &mut Desk, north: &Folder) -> Folder {
    desk.tell("the first publication");
    desk.run("publish north --store STORE --dry-run").await;
    desk.run("publish north --store STORE").await;
    desk.run("publish north --store STORE").await;
    let old = north.copy();
    desk.name(&old, "old");
    old
}

async fn race(desk: &mut Desk, north: &Folder) -> Folder {
    let south = Folder::new();
    desk.name(&south, "south");
    desk.tell("a second operator starts with an empty folder");
    desk.run("adopt south --store STORE").await;
    desk.tell("both edit, different files: both succeed");
    north.write("20-limits.json", &connections(24));
    south.write("30-times.json", &timeout(400));
    desk.run("publish north --store STORE").await;
    desk.run("publish south --store STORE").await;
    desk.tell("both edit the same file: the second one is told");
    desk.run("adopt north --store STORE").await;
    north.write("30-times.json", &timeout(500));
    south.write("30-times.json", &timeout(600));
    desk.run("publish north --store STORE").await;
    desk.run("publish south --store STORE").await;
    desk.tell("the second one looks, keeps the own text, and publishes");
    desk.run("adopt south --store STORE").await;
    desk.run("adopt south --store STORE --keep 30-times.json").await;
    desk.run("publish south --store STORE").await;
    south
}
