//! `jacinthbeam bench`: what the router costs, measured on loopback in this process.

use std::{fmt, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use jacinthbeam::config::Policy;
use jacinthbeam_measure::{
    balance,
    capacity::{self, Vary},
    overhead, overload, publish,
};
use serde::Serialize;

use super::{EXIT_CODES, Error, arg};
use crate::Terminal;

/// The command's arguments.
pub fn command() -> Command {
    Command::new("bench")
        .about("Measure on loopback what the router costs and how it behaves beyond capacity")
        .after_long_help(EXIT_CODES)
        .subcommand_required(true)
        .arg(arg::json().global(true))
        .subcommands([
            overhead_command(),
            overload_command(),
            publish_command(),
            capacity_command(),
            balance_command(),
        ])
}

fn overhead_command() -> Command {
    Command::new("overhead")
        .about("Call the same stand-ins directly and through the router, side by side")
        .arg(arg::lasts("2s", "How long each path is called in each round"))
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .value_name("N")
                .default_value("3")
                .value_parser(value_parser!(u32).range(1..=20))
                .help("Rounds; each calls every path once"),
        )
}

fn overload_command() -> Command {
    Command::new("overload")
        .about("Goodput and latency at 0.5, 1, 2 and 5 times the backend servers' capacity")
        .arg(arg::deployment())
        .arg(arg::lasts("10s", "How long each level is counted"))
        .arg(
            Arg::new("service-time")
                .long("service-time")
                .value_name("TIME")
                .default_value("100ms")
                .value_parser(arg::time)
                .help("Time that a backend server takes for a request; long, so that the machine is not what limits"),
        )
        .arg(
            Arg::new("levels")
                .long("levels")
                .value_name("A,B,C")
                .value_delimiter(',')
                .default_value("0.5,1,2,5")
                .value_parser(value_parser!(f64))
                .help("Multiples of the capacity, 10 at most"),
        )
        .arg(arg::seed("Seed of the load"))
}

fn publish_command() -> Command {
    Command::new("publish")
        .about(
            "Time from the append of a change of configuration until it is in force on every host",
        )
        .arg(arg::deployment())
        .arg(
            Arg::new("changes")
                .long("changes")
                .value_name("N")
                .default_value("60")
                .value_parser(value_parser!(u32).range(1..=1000))
                .help("Changes"),
        )
}

fn capacity_command() -> Command {
    Command::new("capacity")
        .about("What control costs an entry host, by one size that is varied")
        .arg(arg::lasts("10s", "How long each size is measured"))
        .arg(
            Arg::new("vary")
                .long("vary")
                .value_name("WHAT")
                .required(true)
                .value_parser(value_parser!(Vary))
                .help(
                    "One of servers, slots, members, services, nodes, busy-nodes, changes, files, splits, list",
                ),
        )
        .arg(
            Arg::new("sizes")
                .long("sizes")
                .value_name("A,B,C")
                .value_delimiter(',')
                .value_parser(value_parser!(u32))
                .help("Sizes, unless the usual ones"),
        )
}

fn balance_command() -> Command {
    Command::new("balance")
        .about("How even the load of the owners stays while hot keys change, and what that costs")
        .arg(arg::deployment())
        .arg(arg::lasts("60s", "How long the load lasts after its warm-up"))
        .arg(
            Arg::new("change-every")
                .long("change-every")
                .value_name("TIME")
                .default_value("20s")
                .value_parser(arg::time)
                .help("Time between two changes of the hottest keys"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("POLICY")
                .value_parser(policy)
                .help("static, threshold or two-choices for every service; as configured unless given"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("N")
                .default_value("600")
                .value_parser(value_parser!(u32).range(1..=2000))
                .help("Requests a second in all; the backend servers' time for each is set so that 55 % of them is used"),
        )
        .arg(arg::seed("Seed of the load"))
}

fn change_every(args: &ArgMatches) -> Duration {
    let time = *args.get_one::<Duration>("change-every").expect("it has a default");
    time.max(Duration::from_secs(1))
}

fn policy(text: &str) -> Result<Policy, String> {
    match text {
        "static" => Ok(Policy::Static),
        "threshold" => Ok(Policy::Threshold),
        "two-choices" => Ok(Policy::PowerOfTwoChoices),
        _ => Err("a policy is one of static, threshold, two-choices".into()),
    }
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    match args.subcommand() {
        Some(("overhead", args)) => {
            let options = overhead::Options {
                phase: arg::lasts_of(args),
                rounds: *args.get_one::<u32>("rounds").expect("it has a default") as usize,
                ..Default::default()
            };
            say(&overhead::run(&options).await.map_err(failed)?, args, terminal)
        }
        Some(("overload", args)) => {
            let levels = args.get_many::<f64>("levels").expect("it has a default");
            let options = overload::Options {
                service_time: *args.get_one("service-time").expect("it has a default"),
                levels: levels.map(|level| level.clamp(0.01, 10.0)).collect(),
                lasts: arg::lasts_of(args),
                seed: arg::seed_of(args),
                ..overload::Options::new(arg::deployment_of(args))
            };
            say(&overload::run(&options).await.map_err(failed)?, args, terminal)
        }
        Some(("publish", args)) => {
            let options = publish::Options {
                preset: arg::deployment_of(args),
                changes: *args.get_one("changes").expect("it has a default"),
                pause: Duration::from_millis(100),
            };
            say(&publish::run(&options).await.map_err(failed)?, args, terminal)
        }
        Some(("capacity", args)) => {
            let vary: Vary = *args.get_one("vary").expect("it is required");
            let sizes = args.get_many::<u32>("sizes");
            let options = capacity::Options {
                vary,
                sizes: sizes.map_or_else(|| vary.sizes(), |sizes| sizes.copied().collect()),
                lasts: arg::lasts_of(args),
            };
            say(&capacity::run(&options).await.map_err(failed)?, args, terminal)
        }
        Some(("balance", args)) => {
            let options = balance::Options {
                policy: args.get_one::<Policy>("policy").copied(),
                seed: arg::seed_of(args),
                lasts: arg::lasts_of(args),
                change_every: change_every(args),
                rate: f64::from(*args.get_one::<u32>("rate").expect("it has a default")),
                ..balance::Options::new(arg::deployment_of(args))
            };
            let report = balance::run(&options).await.map_err(failed)?;
            say(&report, args, terminal)?;
            match report.broken.is_empty() {
                true => Ok(()),
                false => Err(Error::Failed("a promise was broken".into())),
            }
        }
        _ => {
            let known = "overhead, overload, publish, capacity, balance";
            Err(Error::Failed(format!("bench needs one of {known}")))
        }
    }
}

fn say<R: fmt::Display + Serialize>(
    report: &R,
    args: &ArgMatches,
    terminal: &mut Terminal<'_>,
) -> Result<(), Error> {
    if args.get_flag("json") {
        terminal.say(serde_json::to_string_pretty(report).map_err(failed)?);
    } else {
        terminal.say(report);
    }
    Ok(())
}

fn failed(err: impl fmt::Display) -> Error {
    Error::Failed(err.to_string())
}
