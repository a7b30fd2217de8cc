//! What a host says of itself.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jacinthbeam_host::{
    process::status::{Keys, services},
    version::View,
};
use jacinthbeam_range::{Map, key::KEY_COUNT};
use jacinthbeam_route::{Config, config};
use jacinthbeam_types::prelude::*;

fn name(text: &str) -> ServiceName {
    text.parse().unwrap()
}

fn view(keyed: bool) -> View {
    let service = config::Service {
        team: None,
        health_path: "/".into(),
        connections: 4,
        keyed,
        warmup: Duration::ZERO,
        slow_start: None,
    };
    let services = BTreeMap::from([(name("tiles"), service)]);
    View { config: Some(Arc::new(Config { services, ..Config::default() })), ..View::default() }
}

/// A host refuses every request for a key, and `status` finds nothing wrong with it.
///
/// The host has read the configuration, and not yet the record of who owns the keys. It has no map then, as for a service whose
/// keys have no owners, which any server may serve.
#[test]
fn owners_that_were_not_read_yet_are_missing() {
    let found = &services(&view(true))[&name("tiles")];
    assert_eq!((&found.keys, found.unowned()), (&Keys::Unknown, KEY_COUNT));
}

#[test]
fn keys_without_owners_miss_none() {
    let found = &services(&view(false))[&name("tiles")];
    assert_eq!((&found.keys, found.unowned()), (&Keys::Shared, 0));
}

#[test]
fn keys_that_nobody_owns_are_counted() {
    let mut view = view(true);
    view.maps.insert(name("tiles"), Arc::new(Map::unowned()));
    let found = &services(&view)[&name("tiles")];
    assert!(matches!(found.keys, Keys::Owned(_)), "{found:?}");
    assert_eq!(found.unowned(), KEY_COUNT);
}
