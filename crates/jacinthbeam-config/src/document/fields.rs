//! Reads the fields of an object into types and notes everything that is wrong with them.

use std::collections::{BTreeMap, BTreeSet};

use super::{Member, Node, Value};
use crate::problem::{Kind, Place, Problem};

/// The fields of one object. Every field that is asked for counts as known; [`Fields::finish`]
/// refuses the others.
#[derive(Debug)]
pub struct Fields<'a> {
    place: Option<Place>,
    path: String,
    members: BTreeMap<&'a str, &'a Member>,
    known: BTreeSet<&'static str>,
    is_object: bool,
    problems: Vec<Problem>,
}

/// What a reader of a value expected, if the value is something else.
pub type Expected = String;

impl<'a> Fields<'a> {
    /// The fields of `node`, which stands at `path`. If it is no object, that is noted and there are none.
    pub fn of(node: &'a Node, path: impl Into<String>) -> Self {
        let path = path.into();
        let place = Some(node.place.clone());
        let known = BTreeSet::new();
        let Value::Object(members) = &node.value else {
            let problems = vec![node.unexpected(&path, "an object")];
            let members = BTreeMap::new();
            return Self { place, path, members, known, is_object: false, problems };
        };
        let members = members.iter().map(|(name, member)| (name.as_str(), member)).collect();
        Self { place, path, members, known, is_object: true, problems: Vec::new() }
    }

    /// Path of a field.
    pub fn path(&self, name: &str) -> String {
        format!("{}/{name}", self.path)
    }

    /// The value of a field, if it is there.
    pub fn node(&mut self, name: &'static str) -> Option<&'a Node> {
        self.known.insert(name);
        self.members.get(name).map(|member| &*member.node)
    }

    /// Reads a field, if it is there and right.
    pub fn optional<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&Value) -> Result<T, Expected>,
    ) -> Option<T> {
        let node = self.node(name)?;
        match read(&node.value) {
            Ok(value) => Some(value),
            Err(expected) => {
                let problem = node.unexpected(&self.path(name), expected);
                self.problems.push(problem);
                None
            }
        }
    }

    /// Reads a field that has a default.
    pub fn or<T>(
        &mut self,
        name: &'static str,
        default: T,
        read: impl FnOnce(&Value) -> Result<T, Expected>,
    ) -> T {
        self.optional(name, read).unwrap_or(default)
    }

    /// Reads a field that must be there. `None` means that a problem was noted.
    pub fn required<T>(
        &mut self,
        name: &'static str,
        expected: &str,
        read: impl FnOnce(&Value) -> Result<T, Expected>,
    ) -> Option<T> {
        if self.node(name).is_none() && self.is_object {
            let kind = Kind::Missing { field: name.into(), expected: expected.into() };
            self.problems.push(Problem {
                place: self.place.clone(),
                path: self.path.clone(),
                kind,
            });
        }
        self.optional(name, read)
    }

    /// Reads the fields of an object inside this one; a default if it is absent.
    pub fn object<T>(
        &mut self,
        name: &'static str,
        default: T,
        read: impl FnOnce(&mut Fields<'a>) -> T,
    ) -> T {
        let Some(node) = self.node(name) else { return default };
        let mut fields = Fields::of(node, self.path(name));
        let value = read(&mut fields);
        self.problems.append(&mut fields.finish());
        value
    }

    /// Notes that the value of a field does not fit another one.
    pub fn unfit(
        &mut self,
        name: &'static str,
        what: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let place = self.members.get(name).map(|member| member.node.place.clone());
        let kind = Kind::Unfit { what: what.into(), remedy: remedy.into() };
        let problem = Problem { place: place.or(self.place.clone()), path: self.path(name), kind };
        self.problems.push(problem);
    }

    /// Notes problems found elsewhere.
    pub fn extend(&mut self, problems: impl IntoIterator<Item = Problem>) {
        self.problems.extend(problems);
    }

    /// Refuses every field that nobody asked for, and gives all problems found.
    pub fn finish(mut self) -> Vec<Problem> {
        for (name, member) in &self.members {
            if self.known.contains(name) {
                continue;
            }
            let kind = Kind::UnknownField {
                nearest: nearest(name, &self.known).map(str::to_owned),
                known: self.known.iter().map(|known| (*known).to_owned()).collect(),
            };
            let path = format!("{}/{name}", self.path);
            self.problems.push(Problem { place: Some(member.place.clone()), path, kind });
        }
        self.problems
    }
}

/// Most edits between an unknown name and the known one it is taken for.
const MAX_EDITS: usize = 2;

fn nearest<'n>(name: &str, known: &BTreeSet<&'n str>) -> Option<&'n str> {
    let close = known.iter().map(|known| (edits(name, known), *known));
    close.filter(|(edits, _)| *edits <= MAX_EDITS).min().map(|(_, known)| known)
}

/// Number of insertions, removals and replacements that turn `a` into `b`.
fn edits(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let replace = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = replace.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}

/// Readers of single values, for [`Fields::optional`] and its kin.
pub mod read {
    use std::{fmt::Display, ops::RangeInclusive, str::FromStr, time::Duration};

    use jacinthbeam_types::prelude::*;

    use super::{Expected, Value};

    /// `true` or `false`.
    pub fn bool(value: &Value) -> Result<bool, Expected> {
        match value {
            Value::Bool(value) => Ok(*value),
            _ => Err("true or false".into()),
        }
    }

    /// A whole number in a range.
    pub fn whole<T>(range: RangeInclusive<T>) -> impl Fn(&Value) -> Result<T, Expected>
    where
        T: FromStr + PartialOrd + Display,
    {
        move |value| {
            let number = match value {
                Value::Number(text) => text.parse().ok(),
                _ => None,
            };
            let inside = number.filter(|number| range.contains(number));
            inside
                .ok_or_else(|| format!("a whole number from {} to {}", range.start(), range.end()))
        }
    }

    /// A number in a range.
    pub fn number(range: RangeInclusive<f64>) -> impl Fn(&Value) -> Result<f64, Expected> {
        move |value| {
            let number = match value {
                Value::Number(text) => text.parse().ok(),
                _ => None,
            };
            let inside = number.filter(|number| range.contains(number));
            inside.ok_or_else(|| format!("a number from {} to {}", range.start(), range.end()))
        }
    }

    /// A whole number of milliseconds in a range.
    pub fn millis(range: RangeInclusive<u64>) -> impl Fn(&Value) -> Result<Duration, Expected> {
        let whole = whole(range);
        move |value| {
            let millis = whole(value).map_err(|expected| format!("{expected} (milliseconds)"))?;
            Ok(Duration::from_millis(millis))
        }
    }

    /// A size: a whole number of bytes, or a text with a unit.
    pub fn bytes(range: RangeInclusive<Bytes>) -> impl Fn(&Value) -> Result<Bytes, Expected> {
        move |value| {
            let size = match value {
                Value::Number(text) => text.parse().map(Bytes).ok(),
                Value::Text(text) => text.parse().ok(),
                _ => None,
            };
            let inside = size.filter(|size| range.contains(size));
            inside.ok_or_else(|| {
                let (first, last) = (range.start(), range.end());
                format!("a size from {first} to {last}, such as 65536 or \"64KiB\"")
            })
        }
    }

    /// A text of a type that parses.
    pub fn text<T>(value: &Value) -> Result<T, Expected>
    where
        T: FromStr,
        T::Err: Display,
    {
        match value {
            Value::Text(text) => text.parse().map_err(|err| format!("a valid text ({err})")),
            _ => Err("a text".into()),
        }
    }

    /// Any text that isn't empty.
    pub fn plain(value: &Value) -> Result<String, Expected> {
        match value {
            Value::Text(text) if !text.is_empty() => Ok(text.clone()),
            _ => Err("a text".into()),
        }
    }

    /// An absolute path.
    pub fn path(value: &Value) -> Result<String, Expected> {
        match value {
            Value::Text(text) if text.starts_with('/') => Ok(text.clone()),
            _ => Err("a path that begins with a slash".into()),
        }
    }
}
