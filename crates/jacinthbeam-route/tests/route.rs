//! Route lookup by host and prefix, shares of split routes, and checks of the configuration.

use std::time::Duration;

use jacinthbeam_route::{
    Part, Route, Routes, Target,
    config::{Config, Error, Limits},
    route::WeightedRoundRobin,
};
use jacinthbeam_types::prelude::*;

fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

fn route(name: &str, prefix: &str, target: Target) -> Route {
    Route {
        name: name.into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(600),
        priority: 1,
        attempts: 2,
        target,
        home_regions: Default::default(),
    }
}

fn to(name: &str) -> Target {
    Target::Service(service(name))
}

fn config(target: Target, prefix: &str) -> Config {
    let mut routes = Routes::default();
    routes.insert("a.example", route("r", prefix, target));
    let limits = Limits {
        head: 16 << 10,
        body: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Config { version: ConfigVersion(1), routes, services: Default::default(), limits }
}

/// Guards against a request that is routed by a shorter prefix, by another host, or by a prefix that ends within a segment.
#[test]
fn the_longest_prefix_that_begins_the_path_wins() {
    let mut routes = Routes::default();
    routes.insert("a.example", route("short", "/x/", to("s")));
    routes.insert("A.example", route("long", "/x/y/", to("s")));
    routes.insert("b.example", route("other", "/", to("s")));
    let found = |host, path| routes.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found("a.example", "/x/y/z"), Some("long"));
    assert_eq!(found("a.example:8080", "/x/yy"), Some("short"));
    assert_eq!(found("A.EXAMPLE", "/x/1"), Some("short"));
    assert_eq!(found("a.example", "/x"), None);
    assert_eq!(found("b.example", "/x/y/"), Some("other"));
    assert_eq!(found("c.example", "/x/y/"), None);
}

/// Guards against shares that are only met on average.
#[test]
fn a_split_stays_close_to_its_shares_after_every_request() {
    let parts = [("a", 90.0), ("b", 7.0), ("c", 3.0)]
        .map(|(name, weight)| Part { service: service(name), weight });
    let mut balancer = WeightedRoundRobin::default();
    let mut counts = [0.0; 3];
    for n in 1..=1000 {
        let next = balancer.next(&parts).unwrap();
        let at = parts.iter().position(|part| part.service == next).unwrap();
        counts[at] += 1.0;
        for (counts, part) in counts.iter().zip(&parts) {
            assert!((counts - part.weight / 100.0 * f64::from(n)).abs() < 1.5, "after {n}");
        }
    }
}

/// Guards against a division by a zero sum of weights.
#[test]
fn a_split_without_weight_returns_no_service() {
    let parts = [Part { service: service("a"), weight: 0.0 }];
    assert_eq!(WeightedRoundRobin::default().next(&parts), None);
}

/// Guards against an invalid configuration that is accepted, or rejected without the name of the route at fault.
#[test]
fn an_inconsistent_configuration_is_rejected_with_the_name_of_the_route() {
    let unknown = config(to("nobody"), "/x/").check().unwrap_err();
    assert_eq!(unknown, Error::UnknownService { route: "r".into(), service: service("nobody") });
    assert!(unknown.to_string().contains("nobody"));
    let part = Part { service: service("nobody"), weight: 0.0 };
    let weightless = config(Target::Split(vec![part]), "/x/").check().unwrap_err();
    assert_eq!(weightless, Error::NoTarget { route: "r".into() });
    let prefix = config(to("nobody"), "/x").check().unwrap_err();
    assert_eq!(prefix, Error::Prefix { route: "r".into(), prefix: "/x".into() });
}

/// Guards against requests of a route with home regions that are sent to another or an unknown region.
#[test]
fn a_route_with_home_regions_allows_no_others() {
    let home: Region = "west".parse().unwrap();
    let mut bound = route("r", "/", to("tiles"));
    assert!(bound.allows_region(None), "nothing binds it");
    bound.home_regions = [home.clone()].into();
    assert!(bound.allows_region(Some(&home)));
    assert!(!bound.allows_region(Some(&"east".parse().unwrap())) && !bound.allows_region(None));
}
