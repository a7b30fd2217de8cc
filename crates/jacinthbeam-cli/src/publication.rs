//! Publishing a folder: from its files to a record in the store.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use jacinthbeam::{
    config::{
        FileName,
        change::Change,
        fold::{Outcome, State},
        folder::{self, Snapshot},
        publish::{self, Plan, clashes, synced},
    },
    store,
    types::prelude::*,
};

use crate::{
    Terminal,
    command::Error,
    records::{Current, Records},
};

/// Time in which it is found out whether an append without an answer was kept.
pub const PATIENCE: Duration = Duration::from_secs(10);
/// Pause between two calls to a store that is away.
const PAUSE: Duration = Duration::from_millis(200);

/// How to publish.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The folder.
    pub folder: PathBuf,
    /// The platform's store.
    pub store: SocketAddr,
    /// How long to wait for a store that is away. Zero: not at all.
    pub wait: Duration,
    /// Files for which a text that was in force before may be put back.
    pub put_back: BTreeSet<FileName>,
    /// Only says what would be published.
    pub dry_run: bool,
}

/// Reads a settled folder. Waits on a thread of its own.
pub async fn open_folder(path: &Path) -> Result<Snapshot, Error> {
    let shown = path.display().to_string();
    let path = path.to_owned();
    let opened = tokio::task::spawn_blocking(move || folder::open(&path, Default::default()));
    match opened.await {
        Ok(Ok(snapshot)) => Ok(snapshot),
        Ok(Err(err)) => Err(Error::Failed(format!("{shown}: {err}"))),
        Err(err) => Err(Error::Failed(err.to_string())),
    }
}

/// Publishes the edits of a folder and says what became of them.
pub async fn publish(options: &Options, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let snapshot = open_folder(&options.folder).await?;
    if let Err(problems) = snapshot.check() {
        problems.iter().for_each(|problem| terminal.warn(problem));
        return Err(Error::Refused("the folder by itself is wrong; nothing was published".into()));
    }
    let records = Records::open(options.store);
    let until = Instant::now() + options.wait;
    let mut waiting = false;
    loop {
        let current = match records.config().await {
            Ok(current) => current,
            Err(err) if Instant::now() >= until => {
                return Err(Error::Unavailable(format!("{err}; nothing was published")));
            }
            Err(err) => {
                if !std::mem::replace(&mut waiting, true) {
                    let wait = options.wait;
                    terminal.warn(format_args!("waits up to {wait:?} for the store: {err}"));
                }
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        match attempt(options, &snapshot, &records, &current, terminal).await? {
            Attempt::Done => return Ok(()),
            Attempt::Overtaken => terminal.say("another operator was first; looks again"),
        }
    }
}

enum Attempt {
    /// There is nothing more to do.
    Done,
    /// Another record came first. The folder has to be compared with it.
    Overtaken,
}

async fn attempt(
    options: &Options,
    snapshot: &Snapshot,
    records: &Records,
    current: &Current,
    terminal: &mut Terminal<'_>,
) -> Result<Attempt, Error> {
    let synced = synced::load(&options.folder).map_err(failed)?;
    let allowed = publish::Options { put_back: options.put_back.clone() };
    let plan = publish::plan(snapshot, &synced, &current.state, &allowed);
    let change = match &plan {
        Plan::Publish { change, .. } => change,
        Plan::NothingToDo { .. } => {
            terminal.say(plan.to_string().trim_end());
            if let Some(version) = current.state.version() {
                terminal.say(format_args!("version {version} is in force"));
            }
            note_synced(options, snapshot, &current.state, terminal);
            return Ok(Attempt::Done);
        }
        Plan::ViewTooOld { folder, view } => return Err(other_store(*folder, *view)),
        Plan::Conflict(_) | Plan::Invalid(_) => {
            terminal.warn(plan.to_string().trim_end());
            return Err(Error::Refused("nothing was published".into()));
        }
    };
    terminal.say(plan.to_string().trim_end());
    if options.dry_run {
        terminal.say("nothing was published, this was a dry run");
        return Ok(Attempt::Done);
    }
    let next = next(current, change, terminal)?;
    let kept = keep(records, &next, current.end, terminal).await?;
    if !kept {
        return Ok(Attempt::Overtaken);
    }
    note_synced(options, snapshot, &next, terminal);
    if let Some(version) = next.version() {
        terminal.say(format_args!("accepted: version {version} is in force"));
    }
    Ok(Attempt::Done)
}

/// The state after the change. Its version is the place of its record, above every earlier one.
fn next(current: &Current, change: &Change, terminal: &mut Terminal<'_>) -> Result<State, Error> {
    let mut next = current.state.clone();
    let at = current.state.version().map_or(0, |version| version.0 + 1).max(current.end.0);
    match next.apply(Offset(at), change) {
        Outcome::Accepted(_) => Ok(next),
        Outcome::Conflict(names) => {
            let clashes = clashes(names, &current.state);
            clashes.iter().for_each(|clash| terminal.warn(format_args!("conflict: {clash}")));
            Err(Error::Refused("nothing was published".into()))
        }
        Outcome::Invalid(problems) => {
            problems.iter().for_each(|problem| terminal.warn(problem));
            Err(Error::Refused("nothing was published".into()))
        }
    }
}

/// Keeps the record. Returns whether it is kept; if not, another one came first.
///
/// An append without an answer may be kept, now or seconds later. It can be repeated safely: all copies ask for the same end
/// of the partition, so that one of them is kept at the most, and a read shows whether it was.
async fn keep(
    records: &Records,
    next: &State,
    end: Offset,
    terminal: &mut Terminal<'_>,
) -> Result<bool, Error> {
    let until = Instant::now() + PATIENCE;
    let mut doubt = None;
    loop {
        match records.put_config(next, end).await {
            Ok(()) => return Ok(true),
            Err(store::Error::Conflict) => {
                let now = records.config().await;
                match now {
                    Ok(now) => return Ok(doubt.is_some() && now.state == *next),
                    Err(err) => doubt = Some(err),
                }
            }
            Err(err) if err.may_be_done() => {
                if doubt.is_none() {
                    terminal.warn(format_args!("no answer to the append; tries again: {err}"));
                }
                doubt = Some(err);
            }
            Err(err) if doubt.is_none() => {
                return Err(Error::Unavailable(format!("{err}; nothing was published")));
            }
            Err(err) => doubt = Some(err),
        }
        if Instant::now() >= until {
            let why = doubt.map(|err| err.to_string()).unwrap_or_default();
            return Err(Error::InDoubt(format!(
                "the record may be kept, and the store does not tell at present ({why}). Run the same command again: \
                 it compares the folder with what is in force"
            )));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Notes which files are as they are in force, so that the next edit of them is known as one.
fn note_synced(options: &Options, snapshot: &Snapshot, state: &State, terminal: &mut Terminal<'_>) {
    if options.dry_run {
        return;
    }
    let stored = synced::load(&options.folder).and_then(|mut synced| {
        synced.refresh(snapshot, state);
        synced::store(&options.folder, &synced)
    });
    if let Err(err) = stored {
        terminal.warn(err);
    }
}

fn failed(err: impl std::fmt::Display) -> Error {
    Error::Failed(err.to_string())
}

fn other_store(folder: ConfigVersion, view: Option<ConfigVersion>) -> Error {
    let known = view.map_or("no configuration".to_owned(), |view| format!("only version {view}"));
    Error::Refused(format!(
        "the folder was in sync with version {folder}, but this store knows {known}; \
         is --store the store of this folder's deployment? Nothing was published"
    ))
}
