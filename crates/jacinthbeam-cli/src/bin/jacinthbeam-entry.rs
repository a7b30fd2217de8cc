//! The daemon of one host: `jacinthbeam entry` as a program of its own.

use std::{
    io::{stderr, stdout},
    process::ExitCode,
};

use jacinthbeam_cli::{Terminal, command};

fn main() -> ExitCode {
    let matches = command::entry::command().name("jacinthbeam-entry").get_matches();
    let (mut out, mut err) = (stdout(), stderr());
    let mut terminal = Terminal::new(&mut out, &mut err);
    let done = command::block_on(command::entry::run(&matches, &mut terminal));
    command::end(done, &mut terminal)
}
