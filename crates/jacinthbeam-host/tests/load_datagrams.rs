//! Sizes and rates of the datagrams of the load exchange.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam_admission::{
    HostReport, Plan, fleet,
    plan::{DomainLoad, RankLoad, RankPlan, ServerLoad},
    report::{self, RankCounts, ServerCounts, StatedLoad},
};
use jacinthbeam_host::process::peers::load::{MAX_DATAGRAM_BYTES, Message};
use jacinthbeam_types::prelude::*;

/// Bound on the bytes that a host sends, and receives, per second in the mean over all hosts.
const MAX_BYTES_PER_SECOND: f64 = 16_000.0;

/// Bound on the messages: a report, a plan and server loads, to or from each of two collectors, four times a second for each of two
/// services, and a quarter more for the exchange between domains and for loads in several datagrams.
const MAX_MESSAGES_PER_SECOND: f64 = 3.0 * 2.0 * 4.0 * 2.0 * 1.25;

/// A service as in deployment 1: requests per second and servers, per host, and their mean time in seconds.
struct Service {
    name: ServiceName,
    ranks: u32,
    rate: f64,
    servers: f64,
    time: f64,
}

fn services() -> [Service; 2] {
    let service = |name: &str, ranks, rate, servers, time| Service {
        name: name.parse().unwrap(),
        ranks,
        rate: rate / 79.0,
        servers: servers / 79.0,
        time,
    };
    [service("ridecore", 2, 557.0, 78.0, 0.4), service("refunddesk", 1, 100.0, 46.0, 0.3)]
}

fn host() -> HostId {
    "host-0123".parse().unwrap()
}

fn server(service: &ServiceName, n: usize) -> ServerId {
    format!("{service}-{n:04}~1790000000000").parse().unwrap()
}

fn domain(n: usize) -> FailureDomain {
    format!("zone-{n:02}").parse().unwrap()
}

/// The datagrams with the report of a host after `interval`.
fn reports(service: &Service, interval: Duration) -> Vec<Message> {
    let answers = (service.rate * interval.as_secs_f64()).ceil() as u32;
    let in_flight = (service.rate * service.time).ceil() as u32;
    let rank = RankCounts {
        arrivals: answers,
        waiting: 10,
        in_flight,
        answers,
        busy: Duration::from_secs_f64(f64::from(answers) * service.time + 1e-7),
    };
    // No two requests are at the same server, which makes the report as long as it can be.
    let counts = |n| ServerCounts {
        in_flight: u32::from(n < in_flight),
        answers: u32::from(n >= in_flight),
        slowness: 1.1,
        ..ServerCounts::default()
    };
    let servers = (0..answers + in_flight).map(|n| (server(&service.name, n as usize), counts(n)));
    let report = HostReport {
        sequence: 100_000,
        part: 0,
        ranks: (1..=service.ranks).map(|n| (n, rank)).collect(),
        servers: servers.collect(),
    };
    Message::host_reports(&host(), &service.name, report)
}

fn domain_load(service: &Service) -> Message {
    let rank = RankLoad {
        arrival_rate: 1234.5,
        waiting: 300,
        in_flight: 300,
        answer_rate: 1234.5,
        service_time: Duration::from_nanos(123_456_789),
    };
    let load = DomainLoad {
        ranks: (1..=service.ranks).map(|n| (n, rank)).collect(),
        slots: 1000,
        busy_slots: 900,
    };
    let (from, service) = (host(), service.name.clone());
    Message::DomainLoad { from, domain: domain(0), service, sequence: 100_000, load }
}

fn plan(service: &Service, domains: usize) -> Message {
    let rank =
        RankPlan { share: 0.4, service_time: Duration::from_nanos(123_456_789), waiting: 300 };
    let plan = Plan {
        ranks: (2..=service.ranks).map(|n| (n, rank)).collect(),
        free: (0..domains).map(|n| (domain(n), 0.5)).collect(),
    };
    Message::Plan { from: host(), service: service.name.clone(), sequence: 100_000, plan }
}

fn server_loads(service: &Service, servers: usize) -> Vec<Message> {
    let load = ServerLoad { in_flight: 6, slowness_percent: 120 };
    let servers = (0..servers).map(|n| (server(&service.name, n), load)).collect();
    let time = Duration::from_nanos(123_456_789);
    let times = (1..=service.ranks).map(|n| (n, time)).collect();
    Message::server_loads(&host(), &service.name, &mut 100_000, &servers, &times)
}

/// Mean bytes and messages per second that a host sends for services. As many are received.
fn traffic(services: &[Service], hosts: usize, domains: usize) -> (f64, f64) {
    let near = hosts.div_ceil(domains);
    let interval = report::interval(near as u32);
    let exchange = fleet::interval(near as u32, domains as u32);
    let (mut bytes, mut messages) = (0.0, 0.0);
    let mut add = |sent: &[Message], per_second: f64| {
        let len = |message: &Message| message.to_bytes().len();
        assert!(sent.iter().all(|message| len(message) <= MAX_DATAGRAM_BYTES));
        bytes += sent.iter().map(len).sum::<usize>() as f64 * per_second;
        messages += sent.len() as f64 * per_second;
    };
    for service in services {
        // From each host to two collectors, and from each collector to each host of the domain.
        let both = 2.0 / interval.as_secs_f64();
        add(&reports(service, interval), both);
        add(&[plan(service, domains)], both);
        add(&server_loads(service, (service.servers * near as f64).ceil() as usize), both);
        let to = 2.0 * (domains as f64 - 1.0);
        add(&[domain_load(service)], 2.0 * to / exchange.as_secs_f64() / near as f64);
    }
    (bytes, messages)
}

/// Bytes and messages per second that a collector receives and sends for a service, without what every host sends.
fn collector_traffic(service: &Service, hosts: usize, domains: usize) -> [(f64, f64); 2] {
    let near = hosts.div_ceil(domains);
    let rate = near as f64 / report::interval(near as u32).as_secs_f64();
    let exchange = fleet::interval(near as u32, domains as u32);
    let others = 2.0 * (domains as f64 - 1.0) / exchange.as_secs_f64();
    let loads = server_loads(service, (service.servers * near as f64).ceil() as usize);
    let sum = |sent: &[Message], per_second: f64| {
        let bytes: usize = sent.iter().map(|message| message.to_bytes().len()).sum();
        (bytes as f64 * per_second, sent.len() as f64 * per_second)
    };
    let add = |a: (f64, f64), b: (f64, f64)| (a.0 + b.0, a.1 + b.1);
    let domain = sum(&[domain_load(service)], others);
    let reports = sum(&reports(service, report::interval(near as u32)), rate);
    let to_hosts = add(sum(&[plan(service, domains)], rate), sum(&loads, rate));
    [add(reports, domain), add(to_hosts, domain)]
}

/// Guards against a collector that gets more reports as the fleet grows.
#[test]
fn a_collector_receives_a_bounded_rate_of_messages_at_any_size() {
    for (hosts, domains) in [(79, 4), (984, 4), (20_000, 28)] {
        let [received, sent] = collector_traffic(&services()[0], hosts, domains);
        println!(
            "{hosts} hosts, collector: receives {received:.0?}, sends {sent:.0?} bytes and messages per second"
        );
        // 100 reports, and from two collectors of each other domain a message every 30 ms x number of domains.
        let interval = report::interval(hosts.div_ceil(domains) as u32);
        let datagrams = reports(&services()[0], interval).len() as f64;
        let max = 100.0 * datagrams + 2.0 / 0.030;
        assert!(received.1 <= max, "{} of {max} messages per second at {hosts} hosts", received.1);
    }
}

/// Guards against an exchange that takes the processor and the bandwidth that requests need, and grows with the fleet.
#[test]
fn a_host_exchanges_less_than_16_kilobytes_per_second_at_any_size() {
    let services = services();
    for (hosts, domains) in [(79, 4), (984, 4), (20_000, 28)] {
        // Deployment 1 has one service with deferrable requests; the bounds leave room for a second one.
        let [one, both] =
            [&services[..1], &services].map(|services| traffic(services, hosts, domains));
        println!(
            "{hosts} hosts, one service: {:.0} bytes and {:.1} messages per second",
            one.0, one.1
        );
        let (bytes, messages) = both;
        println!("{hosts} hosts, two: {bytes:.0} bytes and {messages:.1} messages per second");
        assert!(bytes < MAX_BYTES_PER_SECOND, "{bytes} bytes per second at {hosts} hosts");
        assert!(messages < MAX_MESSAGES_PER_SECOND, "{messages} messages at {hosts} hosts");
    }
}

#[test]
fn messages_have_the_sizes_that_the_design_states() {
    let service = &services()[0];
    let len = |message: &Message| message.to_bytes().len();
    let report = reports(service, report::interval(20));
    let sizes = (len(&report[0]), len(&domain_load(service)), len(&plan(service, 4)));
    let servers = server_loads(service, 31);
    let by_server = (len(&servers[0]) - len(&server_loads(service, 1)[0])) / 30;
    println!("report, domain, plan: {sizes:?}, by server: {by_server}");
    assert_eq!((report.len(), servers.len()), (1, 1));
    assert!(sizes.0 <= 250 && sizes.1 <= 100 && sizes.2 <= 100, "{sizes:?}");
    assert!(by_server <= 30);
}

#[test]
fn credits_have_the_sizes_that_the_design_states() {
    let service = &services()[0].name;
    let request = Message::CreditRequest { id: u64::MAX, service: service.clone(), wanted: 8 };
    let grant = Message::CreditGrant { id: u64::MAX, service: service.clone(), granted: 8 };
    let sizes = [request, grant].map(|message| message.to_bytes().len());
    println!("credit request, grant: {sizes:?}");
    assert!(sizes.iter().all(|size| *size <= 16 + service.as_str().len()), "{sizes:?}");
}

/// Guards against datagrams that are fragmented, or servers that are left out, where a service has many servers with long names.
#[test]
fn loads_of_servers_are_split_into_datagrams_without_loss() {
    for count in [0, 1, 39, 40, 41, 1000] {
        let id = |n: usize| -> ServerId {
            format!("{}{n:06}~1790000000000", "x".repeat(n % 40)).parse().unwrap()
        };
        let load = ServerLoad { in_flight: u16::MAX, slowness_percent: u16::MAX };
        let servers: BTreeMap<ServerId, ServerLoad> = (0..count).map(|n| (id(n), load)).collect();
        let service = "svc".parse().unwrap();
        let (mut sequence, mut found, mut last) = (u32::MAX - 2000, BTreeMap::new(), 0);
        let messages =
            Message::server_loads(&host(), &service, &mut sequence, &servers, &BTreeMap::new());
        for message in messages {
            let bytes = message.to_bytes();
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
            let Ok(Message::ServerLoads { servers, sequence, .. }) = Message::from_bytes(&bytes)
            else {
                panic!("a datagram of another kind")
            };
            assert!(sequence > last, "sequences increase");
            last = sequence;
            found.extend(servers);
        }
        assert_eq!(found, servers);
    }
}

/// Guards against plans that are fragmented, or longer than hosts receive, where many failure domains have long names.
#[test]
fn a_plan_fits_in_a_datagram() {
    let id = |n: usize| -> FailureDomain { format!("{}{n:02}", "x".repeat(100)).parse().unwrap() };
    let (near, service) = (id(0), "svc".parse().unwrap());
    let rank = RankPlan { share: 0.4, service_time: Duration::from_millis(300), waiting: u32::MAX };
    let plan = Plan {
        ranks: BTreeMap::from([(2, rank)]),
        free: (0..28).map(|n| (id(n), n as f32 / 28.0)).collect(),
    };
    let message = Message::plan(&host(), &service, u32::MAX, plan.clone(), &near);
    assert!(message.to_bytes().len() <= MAX_DATAGRAM_BYTES, "{}", message.to_bytes().len());
    let Message::Plan { plan: sent, .. } = message else { panic!("a datagram of another kind") };
    assert_eq!(sent.ranks, plan.ranks);
    let domains: Vec<_> = sent.free.into_keys().collect();
    assert!(domains.len() > 10 && domains[0] == near, "{domains:?}");
    let freest: Vec<_> = (29 - domains.len()..28).map(id).collect();
    assert_eq!(domains[1..], freest);
}

/// Guards against reports that are fragmented, or requests that are left out, where a host uses many servers.
#[test]
fn reports_are_split_into_datagrams_without_loss() {
    let stated = StatedLoad {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: u32::MAX,
        cost_percent: Some(u32::MAX),
    };
    let counts = ServerCounts {
        in_flight: u32::MAX,
        answers: u32::MAX,
        slowness: 1.0,
        refused: u32::MAX,
        stated: Some(stated),
    };
    for count in [0, 1, 20, 21, 500] {
        let service = "svc".parse().unwrap();
        let servers: BTreeMap<_, _> = (0..count).map(|n| (server(&service, n), counts)).collect();
        let ranks = BTreeMap::from([(1, RankCounts { arrivals: 7, ..RankCounts::default() })]);
        let report = HostReport { sequence: u32::MAX, part: 0, ranks, servers: servers.clone() };
        let messages = Message::host_reports(&host(), &service, report);
        let (mut found, mut arrivals) = (BTreeMap::new(), 0);
        for (part, message) in messages.iter().enumerate() {
            let bytes = message.to_bytes();
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
            let Ok(Message::HostReport { report, .. }) = Message::from_bytes(&bytes) else {
                panic!("a datagram of another kind")
            };
            assert_eq!((report.sequence, report.part as usize), (u32::MAX, part));
            arrivals += report.ranks.values().map(|counts| counts.arrivals).sum::<u32>();
            found.extend(report.servers);
        }
        assert_eq!((found, arrivals), (servers, 7));
    }
}
