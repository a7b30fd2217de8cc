//! The operators' command line.

use std::{
    io::{stderr, stdout},
    process::ExitCode,
};

use clap::Command;
use jacinthbeam_cli::{Terminal, command};

const LONG: &str = "\
Router for servers that own keys exclusively: the operators' tool.

Configuration is a folder of small files. `check` it, `publish` it, and see with `status` that it is in force everywhere. `explain` says
what became of a request, `usage` what each team used, `dump` what one host is doing. `entry` is the daemon of one host. `local` runs a
whole deployment on loopback, `measure` puts load and faults on one and says what was promised and broken.";

fn main() -> ExitCode {
    let matches = Command::new("jacinthbeam")
        .version(clap::crate_version!())
        .about("Router for servers that own keys exclusively: the operators' tool")
        .long_about(LONG)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(command::all())
        .get_matches();
    let (mut out, mut err) = (stdout(), stderr());
    let mut terminal = Terminal::new(&mut out, &mut err);
    let (name, args) = matches.subcommand().expect("a subcommand is required");
    let done = command::block_on(command::run(name, args, &mut terminal));
    command::end(done, &mut terminal)
}
