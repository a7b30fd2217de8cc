//! From merged files to a [`Config`], or to everything that is wrong with them.

use std::collections::BTreeMap;

use jacinthbeam_types::prelude::*;

use crate::{
    config::{Config, Lost, Service},
    document::{Fields, Node, Value, parse, read},
    file::FileName,
    merge::{Origins, merge},
    problem::{Kind, Problem},
};

mod service;

/// Most problems given at once.
pub const MAX_PROBLEMS: usize = 100;
/// Most services of a configuration.
pub const MAX_SERVICES: usize = 1024;

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
    let lost = fields.object("lost", Lost::default(), lost);
    let problems = fields.finish();
    if problems.is_empty() { Ok(Config { services, lost }) } else { Err(in_order(problems)) }
}

/// The first problems, in the order of files and lines.
fn in_order(mut problems: Vec<Problem>) -> Vec<Problem> {
    problems.sort_by(|a, b| a.place.cmp(&b.place));
    problems.truncate(MAX_PROBLEMS);
    problems
}

fn services(fields: &mut Fields<'_>) -> BTreeMap<ServiceName, Service> {
    let mut services = BTreeMap::new();
    let Some(node) = fields.node("services") else { return services };
    let path = fields.path("services");
    let Value::Object(members) = &node.value else {
        fields.extend([node.unexpected(&path, "an object with one field for each service")]);
        return services;
    };
    if members.len() > MAX_SERVICES {
        let kind = Kind::Unfit {
            what: format!("{} services are more than {MAX_SERVICES}", members.len()),
            remedy: "remove some".into(),
        };
        fields.extend([node.problem(&path, kind)]);
    }
    for (name, member) in members {
        let path = format!("{path}/{name}");
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

fn lost(fields: &mut Fields<'_>) -> Lost {
    let incarnation = |value: &Value| read::whole(0..=u64::MAX)(value).map(Incarnation);
    let hosts = fields.set("hosts", incarnation).unwrap_or_default();
    let failure_domains = fields.set("failure_domains", read::text).unwrap_or_default();
    Lost { hosts, failure_domains }
}
