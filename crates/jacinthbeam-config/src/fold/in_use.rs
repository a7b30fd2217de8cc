//! What may not change about a service that is, or ever was, in use.

use std::collections::BTreeMap;

use jacinthbeam_route::{Config, Service};
use jacinthbeam_types::prelude::*;

use crate::{
    document::Node,
    merge::Origins,
    problem::{Kind, Problem},
};

/// Most services that were removed. Their names stay taken.
pub const MAX_FORMER: usize = 4096;

/// Checks a new configuration against the one in force and against the services that were removed
/// before. It was read from `merged`.
///
/// Hosts that are cut off still follow the configuration they read last, for as long as they are cut off. So a removed service
/// still counts: to remove it and add it again must not get around this.
pub(super) fn check(
    old: &Config,
    former: &BTreeMap<ServiceName, Service>,
    new: &Config,
    merged: &Node,
) -> Vec<Problem> {
    let mut broken = Vec::new();
    for (name, service) in &new.services {
        let Some(before) = old.services.get(name).or_else(|| former.get(name)) else { continue };
        broken.extend(keyed(before, service).map(|broken| (name, broken)));
    }
    let mut problems = located(broken, merged);
    let gone = old.services.keys().filter(|name| !new.services.contains_key(*name));
    let count = former.keys().chain(gone).filter(|name| !new.services.contains_key(*name)).count();
    if count > MAX_FORMER {
        let what = format!("{count} removed services are more than {MAX_FORMER}");
        let kind =
            Kind::Unfit { what, remedy: "keep a service, or use a former name again".into() };
        problems.push(Problem { place: None, path: "/services".into(), kind });
    }
    problems
}

/// Keeps the last form of every service that `new` no longer has.
pub(super) fn retire(old: &Config, new: &Config, former: &mut BTreeMap<ServiceName, Service>) {
    former.retain(|name, _| !new.services.contains_key(name));
    for (name, service) in &old.services {
        if !new.services.contains_key(name) {
            former.insert(name.clone(), service.clone());
        }
    }
}

/// Names the place of each broken rule. Where values come from is worked out only for this: it
/// costs as much as checking them.
fn located(broken: Vec<(&ServiceName, Broken)>, merged: &Node) -> Vec<Problem> {
    if broken.is_empty() {
        return Vec::new();
    }
    let origins = Origins::of(merged);
    broken.into_iter().map(|(name, broken)| broken.at(name, &origins)).collect()
}

struct Broken {
    field: &'static str,
    what: String,
    remedy: &'static str,
}

impl Broken {
    fn at(self, name: &ServiceName, origins: &Origins) -> Problem {
        let path = format!("/services/{name}/{}", self.field);
        let place = origins.0.range(path.clone()..).next().filter(|(at, _)| at.starts_with(&path));
        let place = place.map(|(_, place)| place.clone());
        Problem { place, path, kind: Kind::Unfit { what: self.what, remedy: self.remedy.into() } }
    }
}

/// A host that is cut off goes on by the configuration that it read last. It would send requests to any server of a service whose
/// keys have owners elsewhere, or grant keys of servers that others take for alike.
fn keyed(old: &Service, new: &Service) -> Option<Broken> {
    (old.keyed != new.keyed).then(|| Broken {
        field: "keyed",
        what: format!("can't change from {} to {}", old.keyed, new.keyed),
        remedy: "keep it, or add a service of another name",
    })
}
