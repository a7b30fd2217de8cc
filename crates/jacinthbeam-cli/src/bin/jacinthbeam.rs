//! The operators' command line.

use std::{
    io::{stderr, stdout},
    process::ExitCode,
};

use clap::{Arg, ArgAction, Command};
use jacinthbeam_cli::{Terminal, command, logging};

const LONG: &str = "\
Router for servers that own keys exclusively: the operators' tool.

Configuration is a folder of small files. `check` it, `publish` it, and see with `status` that it is in force everywhere. `explain` says
who owns a key and why, `usage` what each team used, `dump` what one entry host is doing. `local` runs a whole deployment on
loopback to try all of that.";

fn main() -> ExitCode {
    let matches = Command::new("jacinthbeam")
        .version(clap::crate_version!())
        .about("Router for servers that own keys exclusively: the operators' tool")
        .long_about(LONG)
        .arg(
            Arg::new("verbose")
                .short('v')
                .long("verbose")
                .global(true)
                .action(ArgAction::Count)
                .help("Log what is decided; twice for more"),
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(command::all())
        .get_matches();
    let level = match matches.get_count("verbose") {
        0 => log::LevelFilter::Warn,
        1 => log::LevelFilter::Info,
        _ => log::LevelFilter::Debug,
    };
    logging::start(level);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("error: no threads can be started: {err}");
            return ExitCode::FAILURE;
        }
    };
    let (mut out, mut err) = (stdout(), stderr());
    let mut terminal = Terminal::new(&mut out, &mut err);
    let Some((name, args)) = matches.subcommand() else { return ExitCode::FAILURE };
    match runtime.block_on(command::run(name, args, &mut terminal)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            terminal.warn(&why);
            ExitCode::from(why.exit_code())
        }
    }
}
