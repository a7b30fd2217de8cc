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
/// Objects merge field by field; any other value replaces what earlier files set; `null` takes a field of earlier files
/// out again, so that its default holds.
pub fn merge(files: impl IntoIterator<Item = Node>) -> Node {
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

fn overlay(target: &mut Node, over: Node) {
    let Value::Object(over_members) = over.value else {
        *target = over;
        return;
    };
    if !matches!(target.value, Value::Object(_)) {
        *target = Node { place: over.place, value: Value::Object(BTreeMap::new()) };
    }
    if let Value::Object(members) = &mut target.value {
        for (name, member) in over_members {
            set(members, name, member);
        }
    }
}

fn set(members: &mut BTreeMap<String, Member>, name: String, over: Member) {
    if over.node.value == Value::Null {
        members.remove(&name);
        return;
    }
    let empty = Node { place: over.node.place.clone(), value: Value::Null };
    let member = members.entry(name).or_insert(Member { place: over.place.clone(), node: empty });
    if !matches!(over.node.value, Value::Object(_)) {
        member.place = over.place;
    }
    overlay(&mut member.node, over.node);
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
