//! `jacinthbeam adopt`: brings a folder up to what is in force.

use std::{
    collections::BTreeSet,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jacinthbeam::config::{
    FileName,
    folder::{self, Snapshot},
    publish::{Choice, adopt as plan, synced},
};

use super::{EXIT_CODES, Error, arg};
use crate::{Terminal, publication::open_folder, records::Records};

const LONG: &str = "\
Bring a folder up to what is in force, and keep the edits made in it.

Files without edits are replaced by what is in force. Edits of files that nobody else changed stay. A file that was edited
here and changed by others is left alone until --keep or --take names it.";

/// What to adopt, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The folder.
    pub folder: PathBuf,
    /// The platform's store.
    pub store: SocketAddr,
    /// Files in conflict whose text in the folder stays; the next publication replaces what is in force.
    pub keep: BTreeSet<FileName>,
    /// Files in conflict whose edit is given up.
    pub take: BTreeSet<FileName>,
}

/// The command's arguments.
pub fn command() -> Command {
    let files = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .num_args(1..)
            .action(ArgAction::Append)
            .value_parser(value_parser!(FileName))
            .help(help)
    };
    Command::new("adopt")
        .about("Bring a folder up to what is in force")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(arg::folder())
        .arg(arg::store())
        .arg(files("keep", "Files in conflict: keep the text here, to be published next"))
        .arg(files("take", "Files in conflict: take what is in force, the edit here is lost"))
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let names = |id| args.get_many::<FileName>(id).into_iter().flatten().cloned().collect();
    let options = Options {
        folder: arg::folder_of(args),
        store: arg::store_of(args),
        keep: names("keep"),
        take: names("take"),
    };
    adopt(&options, terminal).await
}

/// Brings the folder up to what is in force.
pub async fn adopt(options: &Options, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let failed = |err: &dyn std::fmt::Display| Error::Failed(err.to_string());
    let folder = &options.folder;
    let snapshot = open_folder(folder).await?;
    let known = synced::load(folder).map_err(|err| failed(&err))?;
    let current = Records::open(options.store).config().await;
    let current =
        current.map_err(|err| Error::Unavailable(format!("{err}; nothing was changed")))?;
    let state = &current.state;
    let adoption = plan(&snapshot, &known, state, |name| {
        let keep = options.keep.contains(name).then_some(Choice::Keep);
        keep.or(options.take.contains(name).then_some(Choice::Take))
    });
    for (name, text) in &adoption.write {
        replace(folder, &snapshot, name, Some(text)).map_err(|err| failed(&err))?;
        terminal.say(format_args!("wrote {name}"));
    }
    for name in &adoption.remove {
        replace(folder, &snapshot, name, None).map_err(|err| failed(&err))?;
        terminal.say(format_args!("removed {name}"));
    }
    synced::store(folder, &adoption.synced).map_err(|err| failed(&err))?;
    match state.version() {
        Some(version) => terminal.say(format_args!("in sync with version {version}")),
        None => terminal.say("no configuration is in force"),
    }
    if adoption.undecided.is_empty() {
        return Ok(());
    }
    for name in &adoption.undecided {
        terminal.warn(format_args!(
            "conflict: {name} was edited here and changed by others; name it after --keep or --take"
        ));
    }
    Err(Error::Refused("files in conflict were left alone".into()))
}

/// Writes or removes a file, unless it was edited since the folder was read.
fn replace(
    folder: &Path,
    snapshot: &Snapshot,
    name: &FileName,
    text: Option<&str>,
) -> Result<(), io::Error> {
    let path = folder.join(name.as_str());
    let now = match fs::read_to_string(&path) {
        Ok(text) => Some(text),
        Err(err) if err.kind() == io::ErrorKind::NotFound => None,
        Err(err) => return Err(err),
    };
    if now.as_ref() != snapshot.files.get(name) {
        let what = format!("{name} was edited a moment ago and is left alone; run adopt again");
        return Err(io::Error::other(what));
    }
    let Some(text) = text else { return fs::remove_file(path) };
    folder::replace(folder, name.as_str(), &format!(".{name}.adopt"), text)
}
