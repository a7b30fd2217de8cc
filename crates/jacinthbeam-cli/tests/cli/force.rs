//! Configuration on its way from `publish` into force on running entry hosts.

use std::{collections::BTreeMap, fs, net::SocketAddr, time::Duration};

use jacinthbeam::{
    config::{folder, publish::synced},
    types::prelude::*,
};
use jacinthbeam_cli::{
    command::Error,
    operators,
    publication::{Options, publish},
};
use jacinthbeam_measure::{Deployment, Plan};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep},
};

use crate::support::*;

/// Generous bound for a condition to hold.
const BOUND: Duration = Duration::from_secs(30);
const TILECAST: &str = "10-tilecast.json";

fn service(name: &str, queue: u32) -> String {
    format!(
        "{{ \"services\": {{ \"{name}\": {{ \"team\": \"t\", \"division\": {{ \"keyed\": {{ \"slots\": 8 }} }}, \
         \"concurrency\": 3, \"connections\": 130, \"max_deadline_ms\": 60000, \"queue\": {queue} }} }} }}"
    )
}

/// Two entry hosts of one cell that follow a folder with two services.
async fn deployment(folder: &Folder) -> Deployment {
    folder.write(TILECAST, &service("tilecast", 1));
    folder.write("20-brinedesk.json", &service("brinedesk", 1));
    let files = folder::open(&folder.0, Default::default()).expect("a folder");
    let mut plan = Plan::new(["a", "b", "c"]);
    // Three, so that a majority of the witnesses is left when one of them is lost.
    plan.entry_hosts = [("a".parse().expect("a name"), 3)].into();
    let deployment = Deployment::spawn(plan, &files).await.expect("it starts");
    // What was published at the start is what the folder holds.
    run(&deployment, folder, 0).await.expect("nothing to publish");
    deployment
}

async fn run(deployment: &Deployment, folder: &Folder, number: u64) -> Result<(), Error> {
    let run = Incarnation(1000 + number);
    let options = Options::new(folder.0.clone(), deployment.log.addr(), run);
    Screen::default().with(async |terminal| publish(&options, terminal).await).await
}

fn operators(deployment: &Deployment) -> BTreeMap<HostId, SocketAddr> {
    let entries = deployment.entries.iter();
    entries.map(|(host, entry)| (host.clone(), entry.operators())).collect()
}

/// The version that the folder was last in sync with.
fn version_of(folder: &Folder) -> Option<ConfigVersion> {
    synced::load(&folder.0).expect("readable").newest()
}

/// Waits until each host follows at least `version`.
async fn until_in_force(hosts: &BTreeMap<HostId, SocketAddr>, version: Option<ConfigVersion>) {
    let until = Instant::now() + BOUND;
    for (host, addr) in hosts {
        loop {
            let dump = operators::dump(*addr).await;
            if dump.as_ref().is_ok_and(|dump| dump.config_version >= version) {
                break;
            }
            assert!(Instant::now() < until, "{host} does not follow {version:?}: {dump:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn get(addr: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("it listens");
    let req = format!(
        "GET {path} HTTP/1.1\r\nhost: test\r\njacinthbeam-deadline-ms: 60000\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(req.as_bytes()).await.expect("it reads");
    let mut res = String::new();
    stream.read_to_string(&mut res).await.expect("it answers");
    res
}

// Two operators publish twenty versions in quick succession, each from a folder of their own, while
// hosts are looked at all the time. Each version is in force on each host in the end, and none is
// seen to go back to an older one.
#[tokio::test]
async fn versions_in_quick_succession_never_go_back() {
    let north = Folder::new();
    let deployment = deployment(&north).await;
    let south = north.copy();
    let hosts = operators(&deployment);
    let (ended, mut over) = tokio::sync::watch::channel(false);
    let watched = hosts.clone();
    let watching = tokio::spawn(async move {
        let mut seen: BTreeMap<HostId, Option<ConfigVersion>> = BTreeMap::new();
        while !*over.borrow_and_update() {
            for (host, addr) in &watched {
                let Ok(dump) = operators::dump(*addr).await else { continue };
                let last = seen.entry(host.clone()).or_default();
                assert!(dump.config_version >= *last, "{host} went back from {last:?}");
                *last = dump.config_version;
            }
        }
    });
    for number in 1..=10 {
        north.write(TILECAST, &service("tilecast", number));
        south.write("20-brinedesk.json", &service("brinedesk", 100 + number));
        let both = tokio::join!(
            run(&deployment, &north, u64::from(2 * number)),
            run(&deployment, &south, u64::from(2 * number + 1))
        );
        assert_eq!(both, (Ok(()), Ok(())));
    }
    until_in_force(&hosts, version_of(&north).max(version_of(&south))).await;
    ended.send(true).expect("somebody watches");
    watching.await.expect("no host went back");
    deployment.stop().await;
}

// A service is removed while a request runs on its backend server. The caller of that request gets
// the whole answer; callers who come after that are refused, and what the service's neighbours
// serve goes on.
#[tokio::test]
async fn removed_service_ends_what_runs() {
    let folder = Folder::new();
    let deployment = deployment(&folder).await;
    let hosts = operators(&deployment);
    let callers: Vec<SocketAddr> =
        deployment.entries.values().map(|entry| entry.callers()).collect();
    let (first, second) = (callers[0], callers[1]);
    let server = deployment.servers.get(&"tilecast-0".parse().expect("a name")).expect("it runs");
    server.handle.set_hold(true);
    let running = tokio::spawn(async move { get(first, "/tilecast/pass-4/tile").await });
    until_running(&hosts, 1).await;

    fs::remove_file(folder.0.join(TILECAST)).expect("a file");
    run(&deployment, &folder, 1).await.expect("accepted");
    until_in_force(&hosts, version_of(&folder)).await;
    let res = get(second, "/tilecast/pass-4/tile").await;
    assert!(res.starts_with("HTTP/1.1 404"), "{res}");
    assert!(res.contains("jacinthbeam-verdict: not-run"), "{res}");
    let res = get(second, "/brinedesk/pass-4/order").await;
    assert!(res.starts_with("HTTP/1.1 200"), "{res}");

    server.handle.set_hold(false);
    let res = running.await.expect("the request was sent");
    assert!(res.starts_with("HTTP/1.1 200"), "{res}");
    assert!(res.contains("jacinthbeam-verdict: ran"), "{res}");
    assert!(res.ends_with('}'), "{res}");
    deployment.stop().await;
}

/// Waits until so many requests run.
async fn until_running(hosts: &BTreeMap<HostId, SocketAddr>, requests: u32) {
    let until = Instant::now() + BOUND;
    loop {
        let mut running = 0;
        for addr in hosts.values() {
            let dump = operators::dump(*addr).await.expect("a dump");
            running += dump.leases().map(|(_, admission)| admission.in_use).sum::<u32>();
        }
        if running == requests {
            return;
        }
        assert!(Instant::now() < until, "{running} requests run");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until the cell has witnesses. Before that it renews leases by the log alone.
async fn until_witnesses(hosts: &BTreeMap<HostId, SocketAddr>) {
    let until = Instant::now() + BOUND;
    for addr in hosts.values() {
        loop {
            let text = operators::dump_text(*addr).await.expect("a dump");
            let dump: serde_json::Value = serde_json::from_str(&text).expect("JSON");
            if dump["witnesses"].as_array().is_some_and(|named| named.len() == hosts.len()) {
                break;
            }
            assert!(Instant::now() < until, "{text}");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

// A host joins, and another one is replaced, while the log is down. Both get the state from their
// neighbour and follow the same version; callers are served through them. Nobody can publish
// meanwhile, and the folder is as it was.
#[tokio::test]
async fn hosts_join_while_the_log_is_down() {
    let folder = Folder::new();
    let mut deployment = deployment(&folder).await;
    folder.write(TILECAST, &service("tilecast", 2));
    run(&deployment, &folder, 1).await.expect("accepted");
    let version = version_of(&folder);
    until_in_force(&operators(&deployment), version).await;
    until_witnesses(&operators(&deployment)).await;

    deployment.log.set_down(true);
    folder.write(TILECAST, &service("tilecast", 3));
    let refused = run(&deployment, &folder, 2).await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
    let domain: FailureDomain = "a".parse().expect("a name");
    let replaced: HostId = "entry-a-1".parse().expect("a name");
    drop(deployment.entries.remove(&replaced));
    for host in [replaced.clone(), "entry-a-9".parse().expect("a name")] {
        deployment.spawn_entry(host, &domain).expect("free ports");
    }
    deployment.publish_list();
    until_in_force(&operators(&deployment), version).await;
    let joined = deployment.entries.get(&replaced).expect("it runs").callers();
    let until = Instant::now() + BOUND;
    loop {
        let res = get(joined, "/tilecast/pass-4/tile").await;
        if res.starts_with("HTTP/1.1 200") {
            break;
        }
        assert!(res.contains("jacinthbeam-verdict: not-run"), "{res}");
        assert!(Instant::now() < until, "{res}");
        sleep(Duration::from_millis(20)).await;
    }

    deployment.log.set_down(false);
    run(&deployment, &folder, 3).await.expect("accepted");
    until_in_force(&operators(&deployment), version_of(&folder)).await;
    deployment.stop().await;
}
