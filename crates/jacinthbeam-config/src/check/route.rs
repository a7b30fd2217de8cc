//! Reads one route.

use std::{collections::BTreeSet, time::Duration};

use jacinthbeam_route::{ANY_HOST, Part, Route, Target};
use jacinthbeam_types::prelude::*;

use crate::{
    document::{Fields, Node, Value, read},
    problem::Problem,
};

/// Longest time that a caller is kept waiting, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 600_000;
/// The same, unless configured.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Most backend servers that one request may be sent to.
pub const MAX_ATTEMPTS: u32 = 10;
/// The same, unless configured: the first server and one more.
pub const DEFAULT_ATTEMPTS: u32 = 2;
/// Least urgent rank.
pub const MAX_PRIORITY: u32 = 100;
/// Largest weight of a part.
const MAX_WEIGHT: f64 = 1e6;

/// Reads the route at `path`, and the host that it is for; `None` if something that it can't do without is wrong.
pub(super) fn read(
    name: &str,
    node: &Node,
    path: String,
) -> (Option<(String, Route)>, Vec<Problem>) {
    let mut fields = Fields::of(node, path);
    let route = route(name, &mut fields);
    (route, fields.finish())
}

fn route(name: &str, fields: &mut Fields<'_>) -> Option<(String, Route)> {
    let host = fields.or("host", ANY_HOST.into(), read::plain);
    let prefix = fields.required("prefix", "a path such as \"/tiles/\"", prefix);
    let target = target(fields);
    let wait = read::millis(1..=MAX_TIMEOUT_MS);
    let timeout = fields.or("timeout_ms", DEFAULT_TIMEOUT, &wait);
    let objective = fields.or("objective_ms", timeout, &wait);
    let idempotent = fields.or("idempotent", false, read::bool);
    let priority = fields.or("priority", 0, read::whole(0..=MAX_PRIORITY));
    let attempts = fields.or("attempts", DEFAULT_ATTEMPTS, read::whole(1..=MAX_ATTEMPTS));
    let home_regions = fields.or("home_regions", BTreeSet::new(), regions);
    if objective > timeout {
        fields.unfit(
            "objective_ms",
            format!(
                "{} ms are longer than the timeout of {} ms",
                objective.as_millis(),
                timeout.as_millis()
            ),
            "lower `objective_ms` or raise `timeout_ms`",
        );
    }
    let route = Route {
        name: name.into(),
        prefix: prefix?,
        idempotent,
        timeout,
        objective,
        priority,
        attempts,
        target: target?,
        home_regions,
    };
    Some((host, route))
}

fn prefix(value: &Value) -> Result<String, String> {
    let path = read::path(value)?;
    match path.ends_with('/') {
        true => Ok(path),
        false => Err("a path that begins and ends with a slash".into()),
    }
}

fn regions(value: &Value) -> Result<BTreeSet<Region>, String> {
    let wrong = || "a list of regions, such as [\"bc-interior\"]".to_owned();
    let Value::List(list) = value else { return Err(wrong()) };
    let region = |node: &Node| match &node.value {
        Value::Text(text) => text.parse().ok(),
        _ => None,
    };
    list.iter().map(region).collect::<Option<_>>().ok_or_else(wrong)
}

fn target(fields: &mut Fields<'_>) -> Option<Target> {
    let split = fields.node("split").is_some();
    if !split {
        let service = "the name of the service that requests go to, or `split` in its place";
        return fields.required("service", service, read::text).map(Target::Service);
    }
    if fields.node("service").is_some() {
        fields.unfit("service", "the route has `split` too", "remove one of the two");
    }
    let parts = fields.required("split", "an object with a weight for each service", parts)?;
    if !parts.iter().any(|part| part.weight > 0.0) {
        fields.unfit("split", "no part has a weight above 0", "give one a weight");
    }
    Some(Target::Split(parts))
}

fn parts(value: &Value) -> Result<Vec<Part>, String> {
    let Value::Object(members) = value else {
        return Err("an object with a weight for each service".into());
    };
    let weight = read::number(0.0..=MAX_WEIGHT);
    let part = |(name, member): (&String, &crate::document::Member)| {
        let service = name.parse::<ServiceName>().map_err(|err| format!("{name:?}: {err}"))?;
        let weight = weight(&member.node.value)?;
        Ok(Part { service, weight })
    };
    members.iter().map(part).collect()
}
