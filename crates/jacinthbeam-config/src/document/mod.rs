//! A parsed file in which every value knows where it stands.

use std::{collections::BTreeMap, sync::Arc};

use crate::problem::{Kind, Place, Problem};

mod fields;
mod parse;

pub use fields::{Fields, read};
pub use parse::parse;

/// A value and where it stands.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Where the value starts.
    pub place: Place,
    /// The value.
    pub value: Value,
}

/// A JSON value. Numbers keep their text, so that no precision is lost before the type is known.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// `null`
    Null,
    /// `true` or `false`
    Bool(bool),
    /// A number as written.
    Number(String),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Node>),
    /// An object.
    Object(BTreeMap<String, Member>),
}

/// A field of an object.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Where its name stands.
    pub place: Place,
    /// Its value, shared with merged documents that hold it unchanged.
    pub node: Arc<Node>,
}

impl Node {
    /// A problem with this value.
    pub fn problem(&self, path: &str, kind: Kind) -> Problem {
        Problem { place: Some(self.place.clone()), path: path.into(), kind }
    }

    /// A problem: something else was expected here.
    pub fn unexpected(&self, path: &str, expected: impl Into<String>) -> Problem {
        let kind = Kind::Unexpected { expected: expected.into(), found: self.value.describe() };
        self.problem(path, kind)
    }
}

impl Value {
    /// Whether `null` stands anywhere in it.
    pub fn has_null(&self) -> bool {
        match self {
            Self::Null => true,
            Self::Bool(_) | Self::Number(_) | Self::Text(_) => false,
            Self::List(nodes) => nodes.iter().any(|node| node.value.has_null()),
            Self::Object(members) => members.values().any(|member| member.node.value.has_null()),
        }
    }

    /// The value in a few words, for errors.
    pub fn describe(&self) -> String {
        match self {
            Self::Null => "null".into(),
            Self::Bool(value) => value.to_string(),
            Self::Number(text) => shorten(text),
            Self::Text(text) => format!("{:?}", shorten(text)),
            Self::List(_) => "a list".into(),
            Self::Object(_) => "an object".into(),
        }
    }
}

/// Most characters of a value that are shown in an error.
const MAX_SHOWN: usize = 60;

fn shorten(text: &str) -> String {
    match text.char_indices().nth(MAX_SHOWN) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text.to_owned(),
    }
}
