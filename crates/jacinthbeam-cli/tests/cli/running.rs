//! Commands against a running deployment.

use std::{collections::BTreeSet, fs, path::PathBuf, time::Duration};

use jacinthbeam::{
    config::folder,
    host::{operators, process::usage::Count},
    types::prelude::*,
};
use jacinthbeam_cli::{
    Terminal,
    command::{self, Error},
    records::Records,
};
use jacinthbeam_measure::{
    Deployment, Plan,
    load::{Ask, Told, ask},
};

use crate::support::*;

fn example() -> folder::Snapshot {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/rimefall");
    folder::list(&path).expect("the folder is readable")
}

async fn start() -> Deployment {
    let plan = Plan {
        hosts: 1,
        servers: 1,
        ..Plan::new(vec!["a".parse().unwrap(), "b".parse().unwrap()])
    };
    Deployment::spawn(plan, &example()).await.expect("it starts")
}

fn request(n: u32, service: &str, key: Option<&str>) -> Ask {
    Ask {
        id: format!("r-{n}"),
        path: format!("/{service}/x"),
        service: service.parse().unwrap(),
        key: key.map(str::to_owned),
        idempotent: key.is_some(),
    }
}

async fn status(deployment: &Deployment) -> (String, Result<(), Error>) {
    let screen = Screen::default();
    let addrs: Vec<String> =
        deployment.hosts.values().map(|host| host.settings.metrics.to_string()).collect();
    let words = ["status", "--operators", &addrs.join(",")].map(str::to_owned);
    let program =
        clap::Command::new("jacinthbeam").no_binary_name(true).subcommands(command::all());
    let matches = program.try_get_matches_from(words).expect("a right command line");
    let (name, args) = matches.subcommand().expect("a command");
    let ended = screen
        .with(async |terminal: &mut Terminal<'_>| command::run(name, args, terminal).await)
        .await;
    (screen.text(), ended)
}

/// Requests of both teams are answered through the whole path, and each counts once for its team when the hosts stop. One that
/// is refused counts for nobody.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_use_counts_once_for_its_team() {
    let mut deployment = start().await;
    let hosts: Vec<_> = deployment.hosts.values().map(|host| host.settings.callers).collect();
    for n in 0..6 {
        let key = format!("key-{n}");
        let lookup = ask(hosts[n as usize % 2], request(n, "tilecast", Some(&key))).await;
        assert_eq!(lookup.told, Told::Ran, "lookup {n}");
    }
    for n in 10..13 {
        assert_eq!(ask(hosts[0], request(n, "brinedesk", None)).await.told, Told::Ran, "order {n}");
    }
    let unknown = Ask { path: "/nowhere/".into(), ..request(20, "brinedesk", None) };
    assert_eq!(ask(hosts[0], unknown).await.told, Told::NotRun);
    for host in deployment.hosts.values_mut() {
        host.tell_to_stop();
        host.join().await;
    }
    let usage = Records::open(deployment.store.addr()).usage().await.expect("the store answers");
    let count = |team: &str, service: &str| {
        let team: TeamName = team.parse().unwrap();
        usage.0[&team][&service.parse().unwrap()]
    };
    assert_eq!(count("forecasts", "tilecast"), Count { ran: 6, may_have_run: 0 });
    assert_eq!(count("field-crews", "brinedesk"), Count { ran: 3, may_have_run: 0 });
    assert_eq!(usage.0.values().map(|services| services.len()).sum::<usize>(), 2);
}

/// All hosts are told apart and agree. Then one is gone, and the command says so and ends with its own code.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn status_names_what_is_missing() {
    let mut deployment = start().await;
    let told = |text: &str, host: &str| {
        text.contains(&format!("{host}-1 in {host}: version 1, 2 hosts known"))
    };
    // Hosts hear of each other a moment after they serve.
    let text = loop {
        let (text, ended) = status(&deployment).await;
        assert_eq!(ended, Ok(()), "{text}");
        if told(&text, "a") && told(&text, "b") {
            break text;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert!(text.contains("tilecast: 2 servers, keys in"), "{text}");
    let gone = deployment.hosts.values_mut().next().unwrap();
    gone.tell_to_stop();
    gone.join().await;
    let (text, ended) = status(&deployment).await;
    assert!(matches!(ended, Err(Error::Partial(_))), "{text}");
    assert!(text.contains("can't be reached"), "{text}");
}

/// What a host knows can be read while it serves: configuration, servers, owners, and its part in granting.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_dump_shows_what_a_host_knows() {
    let deployment = start().await;
    let host = deployment.hosts.values().next().unwrap();
    let text = operators::get(host.settings.metrics, "/dump").await.unwrap();
    for part in ["config: Some", "tilecast-", "granting:", "neighbours", "held: ["] {
        assert!(text.contains(part), "no {part:?} in {} bytes", text.len());
    }
    let missing = operators::get(host.settings.metrics, "/nowhere").await;
    assert!(matches!(missing, Err(operators::Error::Unexpected(_))), "{missing:?}");
}

/// A name that the page doesn't explain helps nobody at night, and one that it explains and nobody serves sends them astray.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_page_explains_every_metric() {
    let deployment = start().await;
    let mut served: BTreeSet<String> = BTreeSet::new();
    for host in deployment.hosts.values() {
        ask(host.settings.callers, request(0, "tilecast", Some("some-key"))).await;
        let text = operators::get(host.settings.metrics, "/metrics").await.unwrap();
        let names = text.lines().filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next());
        served.extend(names.map(str::to_owned));
    }
    let repository = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(repository.join("docs/OPERATIONS.md")).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `jacinthbeam_"));
    let explained: BTreeSet<String> =
        rows.map(|row| format!("jacinthbeam_{}", row.split(['`', '{']).next().unwrap())).collect();
    let unexplained: Vec<&String> = served.difference(&explained).collect();
    assert!(unexplained.is_empty(), "not on the page: {unexplained:?}");
    assert!(served.len() > 8, "only {served:?} are served");
    // Some are served only once there is something to tell; the code must know them all the same.
    let code = repository.join("crates/jacinthbeam-host/src/process/metrics.rs");
    let code = fs::read_to_string(code).unwrap();
    let unknown =
        |name: &&String| !code.contains(&format!("{:?}", name.trim_end_matches("_total")));
    let unknown: Vec<&String> = explained.iter().filter(unknown).collect();
    assert!(unknown.is_empty(), "served by nobody: {unknown:?}");
}
