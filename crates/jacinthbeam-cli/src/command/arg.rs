//! Arguments that several commands share.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, value_parser};

/// The folder of configuration files, as the first argument.
pub fn folder() -> Arg {
    Arg::new("folder")
        .value_name("FOLDER")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Folder of configuration files")
}

/// Value of [`folder`].
pub fn folder_of(args: &ArgMatches) -> PathBuf {
    args.get_one::<PathBuf>("folder").expect("it is required").clone()
}

/// Address of the platform's log.
pub fn log() -> Arg {
    Arg::new("log")
        .long("log")
        .value_name("ADDR")
        .value_parser(value_parser!(SocketAddr))
        .help("Address of the platform's log, such as 10.1.0.2:7000")
}

/// Value of [`log()`] where it is required.
pub fn log_of(args: &ArgMatches) -> SocketAddr {
    *args.get_one::<SocketAddr>("log").expect("it is required")
}

/// Operators' addresses of entry hosts.
pub fn operators() -> Arg {
    Arg::new("operators")
        .long("operators")
        .value_name("ADDR")
        .num_args(1..)
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help("Operators' addresses of entry hosts, such as 10.1.0.11:8082")
}

/// Values of [`operators`].
pub fn operators_of(args: &ArgMatches) -> Vec<SocketAddr> {
    args.get_many::<SocketAddr>("operators").into_iter().flatten().copied().collect()
}

/// A time such as `500ms`, `10s` or `5m`.
pub fn time(text: &str) -> Result<Duration, String> {
    let wrong = || format!("{text:?} is no time such as 500ms, 10s or 5m");
    let units = [("ms", 1), ("s", 1_000), ("m", 60_000)];
    let split = |(unit, ms): &(&str, u64)| Some((text.strip_suffix(unit)?, *ms));
    let (number, ms) = units.iter().find_map(split).ok_or_else(wrong)?;
    let number: u64 = number.parse().map_err(|_| wrong())?;
    number.checked_mul(ms).map(Duration::from_millis).ok_or_else(wrong)
}
