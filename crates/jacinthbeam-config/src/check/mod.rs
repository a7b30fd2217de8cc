//! From merged files to a [`Config`], or to everything that is wrong with them.

use std::collections::{BTreeMap, BTreeSet};

use jacinthbeam_route::{Config, Limits, Routes, Service};
use jacinthbeam_types::prelude::{Bytes, ServiceName};

use crate::{
    document::{Fields, Member, Node, Value, parse, read},
    file::FileName,
    merge::{Origins, merge},
    problem::{Kind, Problem},
};

mod route;
mod service;

/// Most problems given at once.
pub const MAX_PROBLEMS: usize = 100;
/// Most services of a configuration.
pub const MAX_SERVICES: usize = 1024;
/// Most routes of a configuration.
pub const MAX_ROUTES: usize = 16_384;
/// Largest head and body of a request.
const MAX_HEAD: Bytes = Bytes(1 << 20);
const MAX_BODY: Bytes = Bytes(64 << 20);
/// Longest time for a head, or without a request, in milliseconds.
const MAX_IDLE_MS: u64 = 3_600_000;

/// A merged configuration and where its values come from.
#[derive(Debug, Clone, PartialEq)]
pub struct Checked {
    /// What is to be followed.
    pub config: Config,
    /// Which file set each value.
    pub origins: Origins,
}

/// Parses, merges and checks files, which must come in the order of their names.
///
/// A file that does not parse keeps the others from being checked against each other, but not from
/// being parsed: the problems of all files are given at once.
pub fn check<'a>(
    files: impl IntoIterator<Item = (&'a FileName, &'a str)>,
) -> Result<Checked, Vec<Problem>> {
    let parsed = all(files.into_iter().map(|(name, text)| file(name, text)))?;
    let merged = merge(&parsed);
    let config = config(&merged)?;
    Ok(Checked { config, origins: Origins::of(&merged) })
}

/// What every file parses to, or the problems of all files that don't parse.
pub(crate) fn all<T>(
    parsed: impl IntoIterator<Item = Result<T, Vec<Problem>>>,
) -> Result<Vec<T>, Vec<Problem>> {
    let mut good = Vec::new();
    let mut problems = Vec::new();
    for file in parsed {
        match file {
            Ok(node) => good.push(node),
            Err(mut found) => problems.append(&mut found),
        }
    }
    if problems.is_empty() { Ok(good) } else { Err(in_order(problems)) }
}

/// Parses one file, which must be an object.
pub(crate) fn file(name: &FileName, text: &str) -> Result<Node, Vec<Problem>> {
    let node = parse(name.shared(), text)?;
    match &node.value {
        Value::Object(_) => Ok(node),
        _ => Err(vec![node.unexpected("", "an object")]),
    }
}

/// Reads a merged document.
pub(crate) fn config(merged: &Node) -> Result<Config, Vec<Problem>> {
    let mut fields = Fields::of(merged, "");
    let services = services(&mut fields);
    let routes = routes(&mut fields);
    let limits = fields.object("limits", Limits::default(), limits);
    let problems = fields.finish();
    match problems.is_empty() {
        true => Ok(Config { routes, services, limits, ..Config::default() }),
        false => Err(in_order(problems)),
    }
}

/// The first problems, in the order of files and lines.
fn in_order(mut problems: Vec<Problem>) -> Vec<Problem> {
    problems.sort_by(|a, b| a.place.cmp(&b.place));
    problems.truncate(MAX_PROBLEMS);
    problems
}

/// The members of an object of named things, of which there are at most `most`.
fn named<'a>(
    fields: &mut Fields<'a>,
    field: &'static str,
    most: usize,
) -> impl Iterator<Item = (&'a String, &'a Member, String)> {
    let path = fields.path(field);
    let members = match fields.node(field) {
        Some(Node { value: Value::Object(members), .. }) => Some(members),
        Some(node) => {
            fields.extend([node.unexpected(&path, "an object with one field for each")]);
            None
        }
        None => None,
    };
    let count = members.map_or(0, BTreeMap::len);
    if count > most {
        let what = format!("{count} {field} are more than {most}");
        fields.unfit(field, what, "remove some");
    }
    let members = members.into_iter().flatten();
    members.map(move |(name, member)| (name, member, format!("{path}/{name}")))
}

fn services(fields: &mut Fields<'_>) -> BTreeMap<ServiceName, Service> {
    let mut services = BTreeMap::new();
    for (name, member, path) in named(fields, "services", MAX_SERVICES).collect::<Vec<_>>() {
        match name.parse::<ServiceName>() {
            Ok(name) => {
                let (service, problems) = service::read(&member.node, path);
                fields.extend(problems);
                services.extend(service.map(|service| (name, service)));
            }
            Err(err) => {
                let expected = format!("the name of a service ({err})");
                let kind = Kind::Unexpected { expected, found: format!("{name:?}") };
                fields.extend([Problem { place: Some(member.place.clone()), path, kind }]);
            }
        }
    }
    services
}

fn routes(fields: &mut Fields<'_>) -> Routes {
    let mut routes = Routes::default();
    // By name: one that is wrong is told of where it stands, and not at each of its routes again.
    let services: BTreeSet<&String> = match fields.node("services") {
        Some(Node { value: Value::Object(members), .. }) => members.keys().collect(),
        _ => BTreeSet::new(),
    };
    for (name, member, path) in named(fields, "routes", MAX_ROUTES).collect::<Vec<_>>() {
        let (route, problems) = route::read(name, &member.node, path.clone());
        fields.extend(problems);
        let Some((host, route)) = route else { continue };
        for service in route
            .target
            .services()
            .filter(|name| !services.iter().any(|known| *known == name.as_str()))
        {
            let what = format!("service {service} is not configured");
            let kind = Kind::Unfit { what, remedy: "add it, or name another".into() };
            fields.extend([member.node.problem(&path, kind)]);
        }
        routes.insert(&host, route);
    }
    routes
}

fn limits(fields: &mut Fields<'_>) -> Limits {
    let default = Limits::default();
    let size = |name, default: usize, most, fields: &mut Fields<'_>| {
        let size = fields.or(name, Bytes(default as u64), read::bytes(Bytes(1)..=most));
        size.0 as usize
    };
    let time = read::millis(1..=MAX_IDLE_MS);
    Limits {
        head: size("head", default.head, MAX_HEAD, fields),
        body: size("body", default.body, MAX_BODY, fields),
        head_timeout: fields.or("head_timeout_ms", default.head_timeout, &time),
        idle_timeout: fields.or("idle_timeout_ms", default.idle_timeout, &time),
    }
}
