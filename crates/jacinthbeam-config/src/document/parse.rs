//! From text to a [`Node`].

use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::Arc,
};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{self, ObjectProp},
    common::{Range, Ranged},
    parse_to_ast,
};

use super::{Member, Node, Value};
use crate::problem::{Kind, Place, Problem};

/// Comments and trailing commas are accepted; everything else is plain JSON, so that other tools
/// can read the files.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses one file. The problems hold the first error of syntax, or else every field that stands twice.
///
/// A file without any value, such as one of comments only, is an empty object.
pub fn parse(file: Arc<str>, text: &str) -> Result<Node, Vec<Problem>> {
    let mut parser = Parser { lines: Lines::of(file, text), problems: Vec::new() };
    let node = parser.parse(text).map_err(|problem| vec![problem])?;
    if parser.problems.is_empty() { Ok(node) } else { Err(parser.problems) }
}

struct Parser<'a> {
    lines: Lines<'a>,
    problems: Vec<Problem>,
}

impl Parser<'_> {
    fn parse(&mut self, text: &str) -> Result<Node, Problem> {
        let parsed = parse_to_ast(text, &CollectOptions::default(), &OPTIONS).map_err(|err| {
            let place = self.lines.place(err.range());
            let words = err.kind().to_string();
            Problem { place: Some(place), path: String::new(), kind: Kind::Syntax(words) }
        })?;
        Ok(match parsed.value {
            Some(value) => self.node(value, ""),
            None => Node {
                place: self.lines.place(Range { start: 0, end: 0 }),
                value: Value::Object(BTreeMap::new()),
            },
        })
    }

    fn node(&mut self, value: ast::Value<'_>, path: &str) -> Node {
        let place = self.lines.place(value.range());
        let value = match value {
            ast::Value::NullKeyword(_) => Value::Null,
            ast::Value::BooleanLit(lit) => Value::Bool(lit.value),
            ast::Value::NumberLit(lit) => Value::Number(lit.value.to_owned()),
            ast::Value::StringLit(lit) => Value::Text(lit.value.into_owned()),
            ast::Value::Array(array) => Value::List(
                array.elements.into_iter().map(|value| self.node(value, path)).collect(),
            ),
            ast::Value::Object(object) => Value::Object(self.members(object.properties, path)),
        };
        Node { place, value }
    }

    fn members(&mut self, props: Vec<ObjectProp<'_>>, path: &str) -> BTreeMap<String, Member> {
        let mut members = BTreeMap::new();
        for prop in props {
            let place = self.lines.place(prop.name.range());
            let name = prop.name.as_str().to_owned();
            let path = format!("{path}/{name}");
            let node = Arc::new(self.node(prop.value, &path));
            match members.entry(name) {
                Entry::Vacant(vacant) => {
                    vacant.insert(Member { place, node });
                }
                Entry::Occupied(_) => {
                    self.problems.push(Problem { place: Some(place), path, kind: Kind::Repeated });
                }
            }
        }
        members
    }
}

/// Finds line and column of a position without scanning the text from its start each time.
struct Lines<'a> {
    file: Arc<str>,
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn of(file: Arc<str>, text: &'a str) -> Self {
        let starts = std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1));
        Self { file, text, starts: starts.collect() }
    }

    fn place(&self, range: Range) -> Place {
        let at = range.start.min(self.text.len());
        let line = self.starts.partition_point(|start| *start <= at);
        let start = self.starts[line - 1];
        let column = self.text.get(start..at).map_or(at - start, |before| before.chars().count());
        Place { file: self.file.clone(), line: line as u32, column: column as u32 + 1 }
    }
}
