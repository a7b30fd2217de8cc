//! The daemon of one host, with jacinthbeam's own interface.

use std::{fs, path::Path};

use jacinthbeam::{
    host::{self, process::logs},
    native,
};
use tokio::signal::unix::{SignalKind, signal};
use tracing::level_filters::LevelFilter;

use crate::command::Error;

/// Reads and checks a settings file.
pub fn settings(path: &Path) -> Result<host::Settings, Error> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|err| Error::Failed(format!("{name}: {err}")))?;
    native::settings::read(&name, &text).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        Error::Refused(lines.join("\n"))
    })
}

/// Runs a host until it is told to stop, and lets it answer what it has taken.
pub async fn run(path: &Path, level: LevelFilter) -> Result<(), Error> {
    let settings = settings(path)?;
    logs::start(level);
    let failed = |err: &dyn std::fmt::Display| Error::Failed(err.to_string());
    let mut term = signal(SignalKind::terminate()).map_err(|err| failed(&err))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|err| failed(&err))?;
    let handle = host::spawn(settings, native::wire()).map_err(|err| failed(&err))?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    handle.stop();
    tokio::task::spawn_blocking(|| handle.join()).await.map_err(|err| failed(&err))
}
