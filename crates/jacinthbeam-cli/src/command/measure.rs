//! `jacinthbeam measure`: a deployment under load, with faults.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jacinthbeam_measure::{Fault, Options};

use super::{EXIT_CODES, Error, arg, local};
use crate::{Terminal, publication::open_folder};

const LONG: &str = "\
Run hosts as processes of their own, with stand-ins of the platform, put an open loop of requests on them, and bring faults about
one after the other. Says for each fault what callers were told and how long the keys that it concerns were not served, and
compares what callers were told with what backend servers ran. Tells what hosts cost before the first fault. Ends with code 7 if a
promise was broken or something was not served again.";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("measure")
        .about("Put load and faults on a deployment, and judge what was promised")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(local::config())
        .arg(local::domains())
        .arg(
            Arg::new("faults")
                .long("faults")
                .value_name("FAULT")
                .value_delimiter(',')
                .num_args(0..)
                .action(ArgAction::Append)
                .value_parser(value_parser!(Fault))
                .help("Faults in their order, such as host-killed,server-lost; without it, all; without a value, none"),
        )
        .arg(
            Arg::new("calm")
                .long("calm")
                .value_name("TIME")
                .default_value("3s")
                .value_parser(arg::time)
                .help("Time of undisturbed load before the first fault, in which the cost of hosts is measured"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("N")
                .default_value("200")
                .value_parser(value_parser!(u32).range(1..=5000))
                .help("Requests a second"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("What random choices start from"),
        )
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let path = args.get_one::<PathBuf>("config").expect("it is required");
    let files = open_folder(path).await?;
    let program = std::env::current_exe().map_err(|err| Error::Failed(err.to_string()))?;
    let mut plan = local::plan(args);
    plan.program = Some((program, vec!["entry".into()]));
    let faults = args.get_many::<Fault>("faults");
    let all = || Fault::ALL.iter().map(|(_, fault)| *fault).collect();
    let options = Options {
        plan,
        rate: f64::from(*args.get_one::<u32>("rate").expect("it has a default")),
        calm: *args.get_one("calm").expect("it has a default"),
        faults: faults.map_or_else(all, |faults| faults.copied().collect()),
        seed: *args.get_one("seed").expect("it has a default"),
    };
    let report = jacinthbeam_measure::run(options, &files, |line| terminal.say(line)).await;
    let report = report.map_err(|err| Error::Failed(err.to_string()))?;
    terminal.say(report.to_string().trim_end());
    match report.is_good() {
        true => Ok(()),
        false => {
            Err(Error::Broken("a promise was broken, or something was not served again".into()))
        }
    }
}
