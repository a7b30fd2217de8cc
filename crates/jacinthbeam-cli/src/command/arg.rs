//! Arguments that several commands share.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use jacinthbeam_measure::Preset;

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

/// The deployment that an experiment runs on.
pub fn deployment() -> Arg {
    Arg::new("deployment")
        .long("deployment")
        .value_name("NAME")
        .required(true)
        .value_parser(value_parser!(Preset))
        .help("rimefall or chladici")
}

/// Value of [`deployment`].
pub fn deployment_of(args: &ArgMatches) -> Preset {
    *args.get_one("deployment").expect("it is required")
}

/// What random choices start from; `help` says which ones.
pub fn seed(help: &'static str) -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_name("N")
        .default_value("1")
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Value of [`seed`].
pub fn seed_of(args: &ArgMatches) -> u64 {
    *args.get_one("seed").expect("it has a default")
}

/// How long something lasts; `help` says what.
pub fn lasts(default: &'static str, help: &'static str) -> Arg {
    Arg::new("for")
        .long("for")
        .value_name("TIME")
        .default_value(default)
        .value_parser(time)
        .help(help)
}

/// Value of [`lasts`].
pub fn lasts_of(args: &ArgMatches) -> Duration {
    *args.get_one("for").expect("it has a default")
}

/// Whether a report is printed as JSON.
pub fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print the report as JSON")
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
