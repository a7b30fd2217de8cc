//! Publishing a folder: from its files to the log's verdict.

pub mod pending;
pub mod verdict;

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
        folder::{self, Snapshot},
        publish::{self, Plan, Synced, clashes, synced},
    },
    state::{Envelope, Record, RecordId, Why},
    types::prelude::*,
};

use crate::{
    Terminal,
    command::Error,
    control::{self, Reader},
};
use pending::Pending;
use verdict::{Settled, Verdict, Watch};

/// Time in which a record that was handed to the log is looked for, unless told otherwise.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// How to publish.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The folder.
    pub folder: PathBuf,
    /// The platform's log.
    pub log: SocketAddr,
    /// How long to wait for a log that is down. Zero: not at all.
    pub wait: Duration,
    /// Files for which a text that was in force before may be put back.
    pub put_back: BTreeSet<FileName>,
    /// Only says what would be published.
    pub dry_run: bool,
    /// This run of the program, different from any other. The record is named by it.
    pub run: Incarnation,
    /// How long a record that was handed to the log is looked for at least. Default [`PATIENCE`].
    pub patience: Duration,
}

impl Options {
    /// Publishes `folder` without waiting for a log that is down.
    pub fn new(folder: PathBuf, log: SocketAddr, run: Incarnation) -> Self {
        Self {
            folder,
            log,
            wait: Duration::ZERO,
            put_back: BTreeSet::new(),
            dry_run: false,
            run,
            patience: PATIENCE,
        }
    }
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

/// Publishes the edits of a folder and says what the log made of them.
pub async fn publish(options: &Options, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let snapshot = open_folder(&options.folder).await?;
    if let Err(problems) = snapshot.check() {
        problems.iter().for_each(|problem| terminal.warn(problem));
        return Err(Error::Refused("the folder by itself is wrong; nothing was published".into()));
    }
    let until = Instant::now() + options.wait;
    let mut waiting = false;
    loop {
        let session = Session::open(options, &snapshot)?;
        let why = match session.run(until, terminal).await {
            Err(Stop::LogDown(why)) => why,
            Err(Stop::Ended(err)) => return Err(err),
            Ok(()) => return Ok(()),
        };
        if Instant::now() >= until {
            return Err(Error::Unavailable(format!("{why}; nothing was published")));
        }
        if !waiting {
            waiting = true;
            terminal.warn(format_args!("waits up to {:?} for the log: {why}", options.wait));
        }
        tokio::time::sleep(verdict::PAUSE).await;
    }
}

/// Why an attempt ended without success.
enum Stop {
    /// Nothing was written, and another attempt may succeed.
    LogDown(String),
    /// No further attempt is of use.
    Ended(Error),
}

impl From<Error> for Stop {
    fn from(err: Error) -> Self {
        Self::Ended(err)
    }
}

/// One attempt to publish a folder.
struct Session<'a> {
    options: &'a Options,
    snapshot: &'a Snapshot,
    synced: Synced,
    pending: Option<Pending>,
    reader: Reader,
}

impl<'a> Session<'a> {
    fn open(options: &'a Options, snapshot: &'a Snapshot) -> Result<Self, Error> {
        let synced = synced::load(&options.folder).map_err(failed)?;
        let pending = pending::load(&options.folder).map_err(failed)?;
        let reader = Reader::open(options.log);
        Ok(Self { options, snapshot, synced, pending, reader })
    }

    async fn run(mut self, until: Instant, terminal: &mut Terminal<'_>) -> Result<(), Stop> {
        self.read(terminal).await?;
        let options = publish::Options { put_back: self.options.put_back.clone() };
        let state = &self.reader.state().config;
        let plan = publish::plan(self.snapshot, &self.synced, state, &options);
        match plan {
            Plan::Publish { change, stale } => {
                let planned = Plan::Publish { change: change.clone(), stale };
                terminal.say(planned.to_string().trim_end());
                if self.options.dry_run {
                    terminal.say("nothing was published, this was a dry run");
                    return Ok(());
                }
                self.append(change, until, terminal).await
            }
            Plan::NothingToDo { .. } => {
                terminal.say(plan.to_string().trim_end());
                if let Some(version) = state.version() {
                    terminal.say(format_args!("version {version} is in force"));
                }
                self.note_synced(terminal);
                Ok(())
            }
            Plan::ViewTooOld { folder, view } => Err(other_log(folder, view).into()),
            Plan::Conflict(_) | Plan::Invalid(_) => {
                terminal.warn(plan.to_string().trim_end());
                Err(Error::Refused("nothing was published".into()).into())
            }
        }
    }

    /// Folds the stream, and finds what became of a publication that an earlier run left in doubt.
    async fn read(&mut self, terminal: &mut Terminal<'_>) -> Result<(), Stop> {
        let pending = self.pending.take();
        let mut watch = pending.as_ref().map(|pending| Watch::new(pending.id));
        let read = self.reader.to_end(|seen| {
            watch.iter_mut().for_each(|watch| watch.see(&seen));
        });
        read.await.map_err(|err| match err {
            control::Error::Down(why) => Stop::LogDown(why),
            err @ control::Error::NoSnapshot { .. } => Stop::LogDown(err.to_string()),
            err @ control::Error::Stuck(_) => Stop::Ended(failed(err)),
        })?;
        let Some(pending) = pending else { return Ok(()) };
        let id = pending.id;
        match watch.and_then(|watch| watch.verdict().cloned()) {
            Some(Verdict::Accepted(version)) => {
                terminal.say(format_args!(
                    "record {id} of an earlier run was accepted: version {version}"
                ));
                pending.accepted(version, &mut self.synced);
                self.note_synced(terminal);
            }
            Some(Verdict::Refused(why)) => {
                terminal.say(format_args!("record {id} of an earlier run was refused: {why}"));
            }
            Some(Verdict::TooOld) => terminal.say(format_args!(
                "record {id} of an earlier run stands in the log; compares the folder with what is in force"
            )),
            None => {
                // It may still come. Then it changes nothing, see `verdict::settle`, once this run
                // has published.
                terminal.say(format_args!(
                    "record {id} of an earlier run is not in the log, and may still come"
                ));
                return Ok(());
            }
        }
        self.forget_pending(id, terminal);
        Ok(())
    }

    async fn append(
        mut self,
        change: Change,
        until: Instant,
        terminal: &mut Terminal<'_>,
    ) -> Result<(), Stop> {
        let id = RecordId { incarnation: self.options.run, sequence: 0 };
        pending::store(&self.options.folder, &Pending::of(id, &change)).map_err(failed)?;
        let names: Vec<_> = change.files.iter().map(|file| file.name.to_string()).collect();
        let why = format!("operator changes {}", names.join(", "));
        let envelope = Envelope { id, why, record: Record::Config(change) };
        let until = until.max(Instant::now() + self.options.patience);
        let settled = verdict::settle(&mut self.reader, &envelope, until, terminal).await;
        let Settled { verdict, may_come_again } = match settled {
            Ok(settled) => settled,
            Err(verdict::Error::NotWritten(why)) => {
                self.forget_pending(id, terminal);
                return Err(Stop::LogDown(why));
            }
            Err(verdict::Error::InDoubt(why)) => return Err(in_doubt(id, &why).into()),
        };
        if let (Verdict::Refused(why @ Why::ConfigInvalid(_)), true) = (&verdict, may_come_again) {
            // Unlike a conflict, this verdict may differ for a copy that comes after others have
            // changed their files.
            return Err(refused_once(id, why).into());
        }
        self.forget_pending(id, terminal);
        match verdict {
            Verdict::Accepted(version) => {
                self.note_synced(terminal);
                terminal.say(format_args!("accepted: version {version} is in force"));
                Ok(())
            }
            Verdict::TooOld => Err(in_doubt(id, "the log expired it at once").into()),
            Verdict::Refused(why) => Err(self.refused(why, terminal).into()),
        }
    }

    /// Others were first, between this run's look at the log and its own record.
    fn refused(&self, why: Why, terminal: &mut Terminal<'_>) -> Error {
        match &why {
            Why::ConfigConflict(names) => {
                let names = names.iter().filter_map(|name| name.parse().ok()).collect();
                for clash in clashes(names, &self.reader.state().config) {
                    terminal.warn(format_args!("conflict: {clash}"));
                }
            }
            why => terminal.warn(why),
        }
        Error::Refused("nothing was published".into())
    }

    /// Notes which files are as they are in force, so that the next edit of them is known as one.
    fn note_synced(&mut self, terminal: &mut Terminal<'_>) {
        if self.options.dry_run {
            return;
        }
        self.synced.refresh(self.snapshot, &self.reader.state().config);
        if let Err(err) = synced::store(&self.options.folder, &self.synced) {
            terminal.warn(err);
        }
    }

    fn forget_pending(&self, id: RecordId, terminal: &mut Terminal<'_>) {
        if self.options.dry_run {
            return;
        }
        if let Err(err) = pending::remove(&self.options.folder, id) {
            terminal.warn(err);
        }
    }
}

fn failed(err: impl std::fmt::Display) -> Error {
    Error::Failed(err.to_string())
}

fn in_doubt(id: RecordId, why: &str) -> Error {
    Error::InDoubt(format!(
        "record {id} may stand in the log, which does not tell at present ({why}). \
         Run the same command again: it reads the log and says what became of the record"
    ))
}

fn refused_once(id: RecordId, why: &Why) -> Error {
    Error::InDoubt(format!(
        "{why}. Record {id} was appended twice, since its first append got no answer, and one copy is still out: \
         it is accepted if others change what stands against it before it comes. Any change of the same files that is accepted \
         first makes it void"
    ))
}

fn other_log(folder: ConfigVersion, view: Option<ConfigVersion>) -> Error {
    let known = view.map_or("no configuration".to_owned(), |view| format!("only version {view}"));
    Error::Refused(format!(
        "the folder was in sync with version {folder}, but this log knows {known}; \
         is --log the log of this folder's deployment? Nothing was published"
    ))
}
