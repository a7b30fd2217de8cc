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

/// Address of the platform's store.
pub fn store() -> Arg {
    Arg::new("store")
        .long("store")
        .value_name("ADDR")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Address of the platform's store, such as 10.1.0.2:7000")
}

/// Value of [`store`].
pub fn store_of(args: &ArgMatches) -> SocketAddr {
    *args.get_one::<SocketAddr>("store").expect("it is required")
}

/// Operators' addresses of hosts.
pub fn operators() -> Arg {
    Arg::new("operators")
        .long("operators")
        .value_name("ADDR")
        .num_args(1..)
        .value_delimiter(',')
        .required(true)
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help("Operators' addresses of hosts, such as 10.1.0.11:8082")
}

/// Values of [`operators`].
pub fn operators_of(args: &ArgMatches) -> Vec<SocketAddr> {
    args.get_many::<SocketAddr>("operators").into_iter().flatten().copied().collect()
}

/// How long something lasts; `help` says what.
pub fn lasts(help: &'static str) -> Arg {
    Arg::new("for").long("for").value_name("TIME").value_parser(time).help(help)
}

/// Value of [`lasts`], if given.
pub fn lasts_of(args: &ArgMatches) -> Option<Duration> {
    args.get_one("for").copied()
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
