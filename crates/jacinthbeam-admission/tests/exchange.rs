//! The exchange among the hosts of several failure domains, with messages that arrive at once or not at all.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use jacinthbeam_admission::{
    Classes, Collector, FleetLoads, HostReport, Plan, Received, collect,
    plan::{self, DomainLoad},
    report::{RankCounts, interval},
};
use jacinthbeam_types::prelude::*;

const HOSTS: usize = 5;
const EVERY: Duration = Duration::from_millis(250);

struct Host {
    domain: FailureDomain,
    /// The hosts that it knows.
    known: BTreeSet<HostId>,
    sequence: u32,
    collecting: Option<(Collector, FleetLoads)>,
    received: Received,
}

struct Network {
    now: Instant,
    hosts: BTreeMap<HostId, Host>,
    /// Domains without messages to or from others.
    cut: BTreeSet<FailureDomain>,
}

fn service() -> ServiceName {
    "svc".parse().unwrap()
}

fn classes() -> Classes {
    Classes::of([(1, Duration::from_millis(600)), (2, Duration::from_secs(5))].into_iter())
}

impl Network {
    /// Hosts in three domains, each with a server of 6 slots. Each host has 2 requests in flight.
    fn start() -> Self {
        let now = Instant::now();
        let host = |domain: &str| Host {
            domain: domain.parse().unwrap(),
            known: BTreeSet::new(),
            sequence: 0,
            collecting: None,
            received: Received::default(),
        };
        let hosts = ["a", "b", "c"].into_iter().flat_map(|domain| {
            (0..HOSTS).map(move |n| (format!("{domain}{n}").parse().unwrap(), host(domain)))
        });
        let mut network = Self { now, hosts: hosts.collect(), cut: BTreeSet::new() };
        let all: BTreeSet<HostId> = network.hosts.keys().cloned().collect();
        network.hosts.values_mut().for_each(|host| host.known = all.clone());
        network
    }

    fn domain(&self, host: &HostId) -> &FailureDomain {
        &self.hosts[host].domain
    }

    fn reaches(&self, from: &HostId, to: &HostId) -> bool {
        let (from, to) = (self.domain(from), self.domain(to));
        from == to || !(self.cut.contains(from) || self.cut.contains(to))
    }

    /// The collectors of a domain among the hosts that `host` knows.
    fn collectors(&self, host: &HostId, domain: &FailureDomain) -> Vec<HostId> {
        let near = self.hosts[host].known.iter().filter(|other| self.domain(other) == domain);
        collect::select(&service(), near).into_iter().cloned().collect()
    }

    fn run(&mut self, intervals: usize) {
        let ids: Vec<HostId> = self.hosts.keys().cloned().collect();
        for _ in 0..intervals {
            self.now += EVERY;
            ids.iter().for_each(|id| self.update(id));
            ids.iter().for_each(|id| self.report(id));
            let loads: Vec<_> = ids.iter().filter_map(|id| Some((id, self.load(id)?))).collect();
            for (id, load) in &loads {
                self.exchange(id, load);
            }
            for (id, load) in loads {
                self.distribute(id, load);
            }
        }
    }

    /// Selects the collectors by the list of a host.
    fn update(&mut self, id: &HostId) {
        let (now, collectors) = (self.now, self.collectors(id, self.domain(id)));
        let host = self.hosts.get_mut(id).unwrap();
        host.sequence += 1;
        host.received.set_collectors(collectors.clone(), HOSTS as u32);
        if collectors.contains(id) {
            let new = || (Collector::new(now), FleetLoads::new(service()));
            host.collecting.get_or_insert_with(new).1.set_interval(interval(HOSTS as u32));
        } else {
            host.collecting = None;
        }
    }

    fn report(&mut self, id: &HostId) {
        let counts = RankCounts { arrivals: 5, in_flight: 2, ..RankCounts::default() };
        let ranks = BTreeMap::from([(2, counts)]);
        let sequence = self.hosts[id].sequence;
        let report = HostReport { sequence, ranks, ..HostReport::default() };
        for collector in self.collectors(id, self.domain(id)) {
            let now = self.now;
            if let Some((collector, _)) = &mut self.hosts.get_mut(&collector).unwrap().collecting {
                collector.merge(id, report.clone(), now);
            }
        }
    }

    fn load(&self, id: &HostId) -> Option<DomainLoad> {
        let (collector, _) = self.hosts[id].collecting.as_ref()?;
        let server = "s1".parse().unwrap();
        let complete = collector.is_complete(self.now);
        complete.then(|| collector.load([(&server, 6)].into_iter(), self.now))
    }

    /// Sends the load of a domain to the collectors of the others.
    fn exchange(&mut self, id: &HostId, load: &DomainLoad) {
        let domains: BTreeSet<_> = self.hosts.values().map(|host| host.domain.clone()).collect();
        let (domain, sequence) = (self.domain(id).clone(), self.hosts[id].sequence);
        for other in domains.into_iter().filter(|other| *other != domain) {
            for to in self.collectors(id, &other) {
                let (reaches, now) = (self.reaches(id, &to), self.now);
                let collecting = self.hosts.get_mut(&to).unwrap().collecting.as_mut();
                if let Some((_, fleet)) = collecting.filter(|_| reaches) {
                    fleet.merge(domain.clone(), id.clone(), sequence, load.clone(), now);
                }
            }
        }
    }

    /// Sends the plan to the hosts of the domain.
    fn distribute(&mut self, id: &HostId, load: DomainLoad) {
        let domain = self.domain(id).clone();
        let (_, fleet) = self.hosts[id].collecting.as_ref().unwrap();
        let mut loads = fleet.loads(self.now);
        loads.insert(domain.clone(), load);
        let plan = plan::compute(&loads, &classes());
        let (sequence, now) = (self.hosts[id].sequence, self.now);
        for to in self.hosts[id].known.clone() {
            let host = self.hosts.get_mut(&to).unwrap();
            if host.domain == domain {
                host.received.on_plan(id, sequence, plan.clone(), now);
            }
        }
    }

    fn plan(&self, host: &str) -> Option<&Plan> {
        self.hosts[&host.parse::<HostId>().unwrap()].received.plan(self.now).map(|(_, plan)| plan)
    }

    /// The domains in the plan of a host.
    fn domains(&self, host: &str) -> String {
        let plan = self.plan(host);
        plan.into_iter().flat_map(|plan| plan.free.keys()).map(ToString::to_string).collect()
    }
}

/// Guards against hosts that are without a plan for long after all of them were restarted, or get one from a part of the reports.
#[test]
fn after_a_restart_of_all_hosts_the_first_plan_follows_within_a_second() {
    let mut network = Network::start();
    network.run(1);
    assert!(network.plan("a0").is_none());
    network.run(3);
    for host in ["a0", "b1", "c2"] {
        assert_eq!(network.domains(host), "abc");
    }
}

/// Guards against plans that count on a domain that can't be reached, and against domains that remain apart afterwards.
#[test]
fn a_partitioned_domain_plans_alone_and_the_others_without_it() {
    let mut network = Network::start();
    network.run(8);
    network.cut.insert("c".parse().unwrap());
    network.run(5);
    assert_eq!((network.domains("a0"), network.domains("c0")), ("ab".into(), "c".into()));
    network.cut.clear();
    network.run(1);
    assert_eq!((network.domains("a0"), network.domains("c0")), ("abc".into(), "abc".into()));
}

/// Guards against hosts without a plan, and requests that are counted twice, while a part of the hosts don't know a new host that collects.
#[test]
fn hosts_that_know_different_hosts_have_plans_and_count_no_request_twice() {
    let mut network = Network::start();
    let newcomer = network.collectors(&"a0".parse().unwrap(), &"a".parse().unwrap())[0].clone();
    let ids: Vec<HostId> = network.hosts.keys().cloned().collect();
    for id in ids.iter().filter(|id| **id != newcomer).step_by(2) {
        network.hosts.get_mut(id).unwrap().known.remove(&newcomer);
    }
    network.run(8);
    for id in ids.iter().filter(|id| **id != newcomer) {
        assert!(network.plan(id.as_str()).is_some(), "{id} has no plan");
    }
    for load in ids.iter().filter_map(|id| network.load(id)) {
        assert!(load.ranks[&2].in_flight <= 2 * HOSTS as u32);
        assert!(load.ranks[&2].arrival_rate <= 20.0 * HOSTS as f32 * 1.01);
    }
    network.hosts.values_mut().for_each(|host| host.known.extend(ids.iter().cloned()));
    network.run(8);
    for id in &ids {
        assert_eq!(network.domains(id.as_str()), "abc");
        let load = network.load(id);
        assert!(load.is_none_or(|load| load.ranks[&2].in_flight == 2 * HOSTS as u32));
    }
}
