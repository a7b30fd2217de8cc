//! Merges parsed files in the order of their names.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    document::{Member, Node, Value},
    problem::Place,
};

/// Name that stands for a merge of no files.
const NO_FILE: &str = "(no file)";

/// Which file set each value that is in force, by path of the field such as `/services/tilecast/queue`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Origins(pub BTreeMap<String, Place>);

/// Merges files, each given after those it overrides.
///
/// Objects merge field by field; any other value replaces what earlier files set; `null` takes a
/// field of earlier files out again, so that its default holds.
pub fn merge<'a>(files: impl IntoIterator<Item = &'a Node>) -> Node {
    let place = Place { file: Arc::from(NO_FILE), line: 1, column: 1 };
    let mut merged = Node { place, value: Value::Object(BTreeMap::new()) };
    let mut first = true;
    for file in files {
        if std::mem::take(&mut first) {
            merged.place = file.place.clone();
        }
        overlay(&mut merged, file);
    }
    merged
}

fn overlay(target: &mut Node, over: &Node) {
    let Value::Object(over_members) = &over.value else {
        *target = over.clone();
        return;
    };
    if !matches!(target.value, Value::Object(_)) {
        *target = Node { place: over.place.clone(), value: Value::Object(BTreeMap::new()) };
    }
    if let Value::Object(members) = &mut target.value {
        for (name, member) in over_members {
            set(members, name, member);
        }
    }
}

fn set(members: &mut BTreeMap<String, Member>, name: &str, over: &Member) {
    if over.node.value == Value::Null {
        members.remove(name);
        return;
    }
    let Some(member) = members.get_mut(name) else {
        members.insert(name.to_owned(), first(over));
        return;
    };
    if !matches!(over.node.value, Value::Object(_)) {
        member.place = over.place.clone();
    }
    overlay(Arc::make_mut(&mut member.node), &over.node);
}

/// A field that no earlier file set. Most of a configuration is such fields, so they are shared
/// rather than copied.
fn first(over: &Member) -> Member {
    if !over.node.value.has_null() {
        return over.clone();
    }
    let mut node = Node { place: over.node.place.clone(), value: Value::Null };
    overlay(&mut node, &over.node);
    Member { place: over.place.clone(), node: Arc::new(node) }
}

impl Origins {
    /// Where each value of a merged document comes from. Objects that are empty are named too.
    pub fn of(merged: &Node) -> Self {
        let mut origins = Self::default();
        origins.collect(merged, String::new());
        origins
    }

    fn collect(&mut self, node: &Node, path: String) {
        match &node.value {
            Value::Object(members) if !members.is_empty() => {
                for (name, member) in members {
                    self.collect(&member.node, format!("{path}/{name}"));
                }
            }
            _ => {
                self.0.insert(path, node.place.clone());
            }
        }
    }
}
