//! Measures what control costs the entry hosts of one cell, and how old their proofs get: at rest,
//! while a host that others read the log through is cut from it, and after such a host has died.
//!
//! Run with `cargo run --release -p jacinthbeam-entry --example control`. All hosts and the
//! stand-ins of the platform run in this process, over loopback.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_config::settings::{Limits, Settings, TimingSettings};
use jacinthbeam_entry::process::{Handle, dump::Dump, spawn};
use jacinthbeam_native::format::hosts::{EntryHost, HostList};
use jacinthbeam_standin as standin;
use jacinthbeam_types::prelude::*;

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Time for the hosts to find each other and to name their witnesses.
const START: Duration = Duration::from_secs(8);
/// How long each cell is measured.
const SPAN: Duration = Duration::from_secs(10);
/// How long nothing but control itself runs, to measure processor time.
const QUIET: Duration = Duration::from_secs(5);
/// Unit of processor time in `/proc`, the same on every Linux.
const TICKS_A_SECOND: f64 = 100.0;
/// Time between two looks at the age of the proofs.
const LOOK: Duration = Duration::from_millis(10);

type Dumps = BTreeMap<HostId, Dump>;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    for hosts in [1, 2, 4, 8, 16] {
        measure(hosts).await;
    }
}

async fn measure(hosts: usize) {
    let log = standin::log::spawn(LOOPBACK, Default::default()).expect("a free port");
    let list = standin::hosts::spawn(LOOPBACK, Default::default()).expect("a free port");
    let mut ways = BTreeMap::new();
    let mut entries = BTreeMap::new();
    for number in 0..hosts {
        let host: HostId = format!("entry-{number}").parse().expect("a name");
        let way = log.listen(LOOPBACK).expect("a free port");
        entries.insert(host.clone(), entry(host.clone(), way.addr(), list.addr()));
        ways.insert(host, way);
    }
    let listed = |(id, entry): (&HostId, &Handle)| EntryHost {
        id: id.clone(),
        cell: entry.identity().cell.clone(),
        peer_address: entry.identity().peer_address,
        leaving: false,
    };
    let entry_hosts = entries.iter().map(listed).collect();
    list.set_list(HostList { entry_hosts, backend_servers: Vec::new() });
    tokio::time::sleep(START).await;

    let used = processor_time();
    tokio::time::sleep(QUIET).await;
    let used = (processor_time() - used) / QUIET.as_secs_f64() / hosts as f64;
    let started = Instant::now();
    let before = dumps(&entries).await;
    let (mut direct, mut relayed) = (Vec::new(), Vec::new());
    while started.elapsed() < SPAN {
        for dump in dumps(&entries).await.values() {
            let ages = if dump.log_via.is_some() { &mut relayed } else { &mut direct };
            ages.extend(dump.log_read_age_ms);
        }
        tokio::time::sleep(LOOK).await;
    }
    let after = dumps(&entries).await;
    let seconds = started.elapsed().as_secs_f64();
    let rate = |of: fn(&Dump) -> u64| {
        let total = |dumps: &Dumps| dumps.values().map(of).sum::<u64>();
        (total(&after) - total(&before)) as f64 / seconds
    };
    println!(
        "{hosts:2} hosts: {:.1} reads of the log a second, {:.1} relayed, {} fallbacks in {seconds:.0} s",
        rate(|dump| dump.log_reads.direct),
        rate(|dump| dump.log_reads.relayed),
        after.values().map(|dump| dump.log_reads.fallbacks).sum::<u64>()
            - before.values().map(|dump| dump.log_reads.fallbacks).sum::<u64>(),
    );
    println!("          age of the proof, direct:  {}", quantiles(&mut direct));
    println!("          age of the proof, relayed: {}", quantiles(&mut relayed));
    let (out, in_) = (sent(&entries, &after), sent(&entries, &before));
    let out: Vec<f64> =
        out.iter().map(|(host, bytes)| (bytes - in_[host]) as f64 / seconds / 1024.0).collect();
    let most = out.iter().copied().fold(0.0, f64::max);
    let mean = out.iter().sum::<f64>() / hosts as f64;
    println!("          to other hosts: {mean:.1} KiB/s a host, {most:.1} KiB/s at most");
    println!("          processor: {:.2} % of a core a host, stand-ins included", used * 100.0);

    let relay = |dumps: Dumps| dumps.into_values().find_map(|dump| dump.log_via);
    let Some(cut) = relay(dumps(&entries).await) else { return };
    ways[&cut].drop_packets();
    let mut ages = ages_without(&entries, &cut).await;
    println!("          age of the proof, a relay cut off:  {}", quantiles(&mut ages));
    ways[&cut].heal().expect("the port is still ours");
    tokio::time::sleep(START).await;
    let Some(dead) = relay(dumps(&entries).await) else { return };
    drop(entries.remove(&dead));
    let mut ages = ages_without(&entries, &dead).await;
    println!("          age of the proof, a relay has died: {}", quantiles(&mut ages));
}

/// Ages of the proofs of all hosts but one.
async fn ages_without(entries: &BTreeMap<HostId, Handle>, without: &HostId) -> Vec<u64> {
    let mut ages = Vec::new();
    let started = Instant::now();
    while started.elapsed() < SPAN {
        let dumps = dumps(entries).await;
        let others = dumps.iter().filter(|(host, _)| *host != without);
        ages.extend(others.filter_map(|(_, dump)| dump.log_read_age_ms));
        tokio::time::sleep(LOOK).await;
    }
    ages
}

/// Processor time of this process in seconds.
fn processor_time() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("Linux");
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: f64 = fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_A_SECOND
}

fn entry(host: HostId, log: SocketAddr, hosts: SocketAddr) -> Handle {
    let settings = Settings {
        host,
        cell: "kelowna".parse().expect("a name"),
        callers: LOOPBACK,
        peers: LOOPBACK,
        advertise: None,
        source: None,
        operators: LOOPBACK,
        log,
        hosts,
        timing: TimingSettings::default(),
        limits: Limits::default(),
        traffic_threads: 1,
    };
    spawn(&settings, Arc::new(SystemClock)).expect("free ports")
}

async fn dumps(entries: &BTreeMap<HostId, Handle>) -> Dumps {
    let mut dumps = BTreeMap::new();
    for (id, entry) in entries {
        dumps.extend(entry.dump().await.map(|dump| (id.clone(), dump)));
    }
    dumps
}

/// Bytes that each host sent to the others, in questions and in answers.
fn sent(entries: &BTreeMap<HostId, Handle>, dumps: &Dumps) -> BTreeMap<HostId, u64> {
    let sent = |(id, entry): (&HostId, &Handle)| {
        let addr = entry.identity().peer_address;
        let questions: u64 = dumps[id].peers.control.iter().map(|peer| peer.bytes_written).sum();
        let connections = dumps.values().flat_map(|dump| &dump.peers.control);
        let answers: u64 =
            connections.filter(|peer| peer.address == addr).map(|peer| peer.bytes_read).sum();
        (id.clone(), questions + answers)
    };
    entries.iter().map(sent).collect()
}

fn quantiles(ages: &mut [u64]) -> String {
    ages.sort_unstable();
    let at = |share: f64| ages[((ages.len() - 1) as f64 * share) as usize];
    if ages.is_empty() {
        return "none".into();
    }
    format!("p50 {} ms, p99 {} ms, most {} ms, {} looks", at(0.5), at(0.99), at(1.0), ages.len())
}
