//! `jacinthbeam measure`: an experiment on a deployment under load and faults, in this process.

use clap::{Arg, ArgMatches, Command, value_parser};
use jacinthbeam_measure::{
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
        .arg(arg::deployment())
        .arg(arg::seed("Seed of the load, the order of the faults and what they hit"))
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
        .arg(arg::lasts("0s", "Repeat the faults until this time has passed; each is brought about once at least"))
        .arg(arg::json())
}

/// Runs the command. A promise that was broken is an error.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let failed = |err: &dyn std::fmt::Display| Error::Failed(err.to_string());
    let faults = args.get_many::<Kind>("faults");
    let options = Options {
        preset: arg::deployment_of(args),
        seed: arg::seed_of(args),
        faults: faults.map_or_else(|| Kind::ALL.to_vec(), |faults| faults.copied().collect()),
        rate: f64::from(*args.get_one::<u32>("rate").expect("it has a default")),
        lasts: arg::lasts_of(args),
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
