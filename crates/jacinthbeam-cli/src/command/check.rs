//! `jacinthbeam check`: what a folder merges to, and what is wrong with it.

use std::fmt::Write;

use clap::{Arg, ArgAction, ArgMatches, Command};
use jacinthbeam::config::{
    document::{Node, Value, parse},
    folder::Snapshot,
    merge::merge,
};

use super::{EXIT_CODES, Error, arg};
use crate::{Terminal, publication::open_folder};

const LONG: &str = "\
Merge a folder's files in the order of their names and check the result.

Prints the merged configuration as JSON with comments; with --origins each value is followed by file, line and column that
set it. Values that no file sets have the defaults of docs/CONFIGURATION.md. Needs no store and no host: what is in force
is not looked at, so a folder that passes may still be refused by publish.";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("check")
        .about("Merge a folder's files and check the result")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(arg::folder())
        .arg(
            Arg::new("origins")
                .long("origins")
                .action(ArgAction::SetTrue)
                .help("Say for each value which file set it"),
        )
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let snapshot = open_folder(&arg::folder_of(args)).await?;
    if let Err(problems) = snapshot.check() {
        problems.iter().for_each(|problem| terminal.warn(problem));
        let count = match problems.len() {
            1 => "1 problem".to_owned(),
            count => format!("{count} problems"),
        };
        return Err(Error::Refused(format!("{count} in {} files", snapshot.files.len())));
    }
    let merged = merged(&snapshot)?;
    let mut text = String::new();
    render(&mut text, &merged, 0, args.get_flag("origins"));
    terminal.say(text.trim_end());
    Ok(())
}

fn merged(snapshot: &Snapshot) -> Result<Node, Error> {
    let files = snapshot.files.iter();
    let files = files.map(|(name, text)| parse(name.as_str().into(), text));
    let files: Result<Vec<Node>, _> = files.collect();
    let unreadable = |_| Error::Failed("a file can't be parsed".into());
    files.map(|files| merge(&files)).map_err(unreadable)
}

/// Writes a node in the format that operators write themselves, one value a line.
fn render(buf: &mut String, node: &Node, depth: usize, origins: bool) {
    let Value::Object(members) = &node.value else {
        buf.push_str(&inline(&node.value));
        return;
    };
    if members.is_empty() {
        buf.push_str("{}");
        return;
    }
    buf.push_str("{\n");
    for (name, member) in members {
        let indent = "  ".repeat(depth + 1);
        // Writing to a String can't fail.
        let _ = write!(buf, "{indent}{}: ", quoted(name));
        render(buf, &member.node, depth + 1, origins);
        buf.push(',');
        let is_leaf = !matches!(&member.node.value, Value::Object(members) if !members.is_empty());
        if origins && is_leaf {
            let _ = write!(buf, " // {}", member.node.place);
        }
        buf.push('\n');
    }
    buf.push_str(&"  ".repeat(depth));
    buf.push('}');
}

fn inline(value: &Value) -> String {
    match value {
        Value::Null => "null".into(),
        Value::Bool(value) => value.to_string(),
        Value::Number(text) => text.clone(),
        Value::Text(text) => quoted(text),
        Value::List(items) => {
            let items: Vec<_> = items.iter().map(|item| inline(&item.value)).collect();
            format!("[{}]", items.join(", "))
        }
        Value::Object(members) => {
            let members = members.iter();
            let members: Vec<_> = members
                .map(|(name, member)| format!("{}: {}", quoted(name), inline(&member.node.value)))
                .collect();
            format!("{{ {} }}", members.join(", "))
        }
    }
}

fn quoted(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}
