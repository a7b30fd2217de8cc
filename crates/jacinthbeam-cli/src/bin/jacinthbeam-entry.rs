//! The daemon of an entry host.

use std::{path::PathBuf, process::ExitCode, sync::Arc};

use clap::{Arg, Command, value_parser};
use jacinthbeam::{config::settings, entry, types::clock::SystemClock};
use jacinthbeam_cli::logging;

fn main() -> ExitCode {
    let matches = Command::new("jacinthbeam-entry")
        .version(clap::crate_version!())
        .about("Entry host of the router")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings of this host, JSON with comments"),
        )
        .get_matches();
    logging::start(log::LevelFilter::Info);
    let path = matches.get_one::<PathBuf>("settings").expect("it is required");
    match run(path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("error: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run(path: &PathBuf) -> Result<(), String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|err| format!("{name}: {err}"))?;
    let settings = settings::from_text(&name, &text).map_err(|problems| {
        problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    })?;
    let entry = entry::spawn(&settings, Arc::new(SystemClock)).map_err(|err| err.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| err.to_string())?;
    runtime.block_on(async {
        wait_for_stop().await;
        entry.stop().await;
    });
    Ok(())
}

/// Waits for SIGTERM, as the platform sends it, or for an interrupt.
async fn wait_for_stop() {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut term) = signal(SignalKind::terminate()) else {
        let _ = tokio::signal::ctrl_c().await;
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
