//! `jacinthbeam measure`: an experiment on a deployment under load and faults, in this process.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jacinthbeam_measure::{
    Preset,
    experiment::{self, Options},
    fault::Kind,
};

use super::{EXIT_CODES, Error, arg};
use crate::Terminal;

/// The command's arguments.
pub fn command() -> Command {
    Command::new("measure")
        .about("Put load and faults on a deployment on loopback, and judge what it did")
        .after_long_help(EXIT_CODES)
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("NAME")
                .required(true)
                .value_parser(value_parser!(Preset))
                .help("rimefall or chladici"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the load, the order of the faults and what they hit"),
        )
        .arg(
            Arg::new("faults")
                .long("faults")
                .value_name("A,B,C")
                .value_delimiter(',')
                .value_parser(value_parser!(Kind))
                .help("Faults to bring about, one after the other in seeded order; all of them unless given"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("N")
                .default_value("400")
                .value_parser(value_parser!(u32).range(1..=2000))
                .help("Requests a second in all"),
        )
        .arg(
            Arg::new("for")
                .long("for")
                .value_name("TIME")
                .default_value("0s")
                .value_parser(arg::time)
                .help("Repeat the faults until this time has passed; each is brought about once at least"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the report as JSON"),
        )
}

/// Runs the command. A promise that was broken is an error.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let failed = |err: &dyn std::fmt::Display| Error::Failed(err.to_string());
    let faults = args.get_many::<Kind>("faults");
    let options = Options {
        preset: *args.get_one("deployment").expect("it is required"),
        seed: *args.get_one("seed").expect("it has a default"),
        faults: faults.map_or_else(|| Kind::ALL.to_vec(), |faults| faults.copied().collect()),
        rate: f64::from(*args.get_one::<u32>("rate").expect("it has a default")),
        lasts: *args.get_one::<Duration>("for").expect("it has a default"),
    };
    let report = experiment::run(&options).await.map_err(|err| failed(&err))?;
    if args.get_flag("json") {
        let json = serde_json::to_string_pretty(&report).map_err(|err| failed(&err))?;
        terminal.say(&json);
    } else {
        terminal.say(&report);
    }
    match report.broken.0.values().map(|count| count.times).sum() {
        0u64 => Ok(()),
        times => Err(Error::Broken(format!("what must always hold did not, {times} times"))),
    }
}
