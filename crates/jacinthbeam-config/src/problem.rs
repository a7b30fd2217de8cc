//! What is wrong with a configuration, where, and what to do about it.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// A position in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One thing that is wrong. Displays as `file:line:column: field: what is wrong; what to do`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Where; `None` if it concerns no single place.
    pub place: Option<Place>,
    /// Path of the field, such as `/services/tilecast/queue`; empty if it concerns no field.
    pub path: String,
    /// What.
    pub kind: Kind,
}

/// What is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// The text is not JSON with comments; holds the words of the parser.
    Syntax(String),
    /// A field stands twice in one object.
    Repeated,
    /// There is no such field.
    UnknownField {
        /// A known field with a similar name.
        nearest: Option<String>,
        /// All fields known there.
        known: Vec<String>,
    },
    /// A field that has no default is absent.
    Missing {
        /// Name of the field.
        field: String,
        /// What it must be.
        expected: String,
    },
    /// A value is of the wrong type or out of its range.
    Unexpected {
        /// What it must be.
        expected: String,
        /// What stands there.
        found: String,
    },
    /// A value does not fit another one.
    Unfit {
        /// What is wrong.
        what: String,
        /// What to do.
        remedy: String,
    },
}

impl Kind {
    fn what(&self) -> String {
        match self {
            Self::Syntax(words) => format!("not JSON with comments: {words}"),
            Self::Repeated => "the field stands twice in one object".into(),
            Self::UnknownField { .. } => "unknown field".into(),
            Self::Missing { field, .. } => format!("field `{field}` is missing"),
            Self::Unexpected { expected, found } => format!("must be {expected}, not {found}"),
            Self::Unfit { what, .. } => what.clone(),
        }
    }

    /// What the operator can do about it.
    pub fn remedy(&self) -> String {
        match self {
            Self::Syntax(_) => "correct the text there or just before".into(),
            Self::Repeated => "remove one of the two".into(),
            Self::UnknownField { nearest: Some(nearest), .. } => {
                format!("did you mean `{nearest}`?")
            }
            Self::UnknownField { known, .. } if known.is_empty() => "remove it".into(),
            Self::UnknownField { known, .. } => {
                format!("remove it, or use one of: {}", known.join(", "))
            }
            Self::Missing { field, expected } => format!("add `\"{field}\"` with {expected}"),
            Self::Unexpected { .. } => "correct the value, or remove it if it has a default".into(),
            Self::Unfit { remedy, .. } => remedy.clone(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(place) = &self.place {
            write!(f, "{place}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}; {}", self.kind.what(), self.kind.remedy())
    }
}

impl std::error::Error for Problem {}
