//! When a cell counts as silent.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use jacinthbeam_lease::watch::{Fleet, SILENT_AFTER, WORD_COUNTS_FOR, Watch, watchers};
use jacinthbeam_types::prelude::*;

use crate::support::name;

fn domains(names: &[&str]) -> BTreeSet<FailureDomain> {
    names.iter().map(|text| name(text)).collect()
}

/// A host of domain b watches cell a; hosts of c watch it too.
fn watch(now: Instant) -> Watch {
    Watch::new(now, &name("a"), name("b"), domains(&["b", "c"]))
}

/// A host of a failure domain that is cut off hears nothing of all others. If it alone judged, it
/// would evict their servers, while they evict its own. One failure domain of three is no majority.
#[test]
fn one_failure_domain_alone_judges_nobody() {
    let start = Instant::now();
    let mut alone = watch(start);
    let later = start + SILENT_AFTER * 10;
    assert!(!alone.is_silent(later));
    alone.told(later, name("b"), SILENT_AFTER * 9);
    assert!(!alone.is_silent(later), "its own domain counts once");
    alone.told(later, name("c"), SILENT_AFTER * 9);
    assert!(alone.is_silent(later));
    assert!(!alone.is_silent(later + WORD_COUNTS_FOR * 2), "the word of c is old");
}

/// With two failure domains, each sees the other silent, and neither is a majority.
#[test]
fn of_two_failure_domains_neither_judges_the_other() {
    let start = Instant::now();
    let watch = Watch::new(start, &name("a"), name("b"), domains(&["b"]));
    assert!(!watch.is_silent(start + SILENT_AFTER * 10));
}

/// One watcher can't reach the cell, another can: the first learns from the second that the cell is there.
#[test]
fn sign_of_life_that_another_watcher_knows_of_counts() {
    let start = Instant::now();
    let mut watch = watch(start);
    let later = start + SILENT_AFTER * 2;
    watch.told(later, name("c"), Duration::from_millis(400));
    assert_eq!(watch.silent_for(later), Duration::from_millis(400));
    assert!(!watch.is_silent(later));
}

/// A word of silence that is followed by a sign of life is void, also while it is fresh.
#[test]
fn sign_of_life_voids_what_others_said_before() {
    let start = Instant::now();
    let mut watch = watch(start);
    let later = start + SILENT_AFTER;
    watch.told(later, name("c"), SILENT_AFTER);
    assert!(watch.is_silent(later));
    watch.read_the_log(later);
    assert!(!watch.is_silent(later));
    let again = later + SILENT_AFTER;
    watch.told(again, name("c"), SILENT_AFTER);
    assert!(watch.is_silent(again));
}

/// The log is away for a minute, and back. This host reads it first. Every cell's last read is a
/// minute old by then; none is silent for that.
#[test]
fn outage_of_the_log_makes_no_cell_silent() {
    let start = Instant::now();
    let mut watch = watch(start);
    let back = start + Duration::from_secs(60);
    watch.interrupted(back);
    watch.told(back, name("c"), Duration::from_secs(60));
    assert!(!watch.is_silent(back));
    assert_eq!(watch.silent_for(back), Duration::ZERO);
}

#[test]
fn few_hosts_of_other_failure_domains_watch_a_cell() {
    let hosts: Vec<(HostId, CellId)> = ["a", "b", "c"]
        .iter()
        .flat_map(|domain| (0..20).map(move |n| (name(&format!("{domain}-{n}")), name(domain))))
        .collect();
    let listed = || hosts.iter().map(|(host, cell)| (host, cell));
    let picked = watchers(&name("a"), listed());
    let of = |domain: &str| picked.iter().filter(|host| host.as_str().starts_with(domain)).count();
    assert_eq!((of("a"), of("b"), of("c")), (0, 2, 2));
    let first = picked[0].clone();
    let without = listed().filter(|(host, _)| **host != first);
    let left: Vec<&HostId> = watchers(&name("a"), without);
    let kept = picked.iter().filter(|host| left.contains(*host)).count();
    assert_eq!(kept, 3, "the loss of a host changes one watcher");
}

#[test]
fn host_is_told_apart_from_watchers_without_ranking_the_fleet() {
    let hosts: Vec<(HostId, CellId)> = (0..300)
        .map(|n| (name(&format!("entry-{n}")), name(&format!("domain-{}:{}", n % 9, n / 9 % 3))))
        .collect();
    let fleet = Fleet::new(hosts.iter().map(|(host, cell)| (host, cell)));
    let cells: BTreeSet<CellId> = hosts.iter().map(|(_, cell)| cell.clone()).collect();
    for cell in &cells {
        let watchers = fleet.watchers(cell);
        assert_eq!(watchers.len(), 8, "two hosts in each of four failure domains");
        for (host, of) in &hosts {
            let told = fleet.is_watched_by(cell, &of.failure_domain(), host);
            assert_eq!(told, watchers.contains(&host), "{host} and {cell}");
        }
    }
}
