//! Stand-ins as processes of their own, for a run of the daemons on one machine.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jacinthbeam_standin::{backend, serve};
use jacinthbeam_types::prelude::*;

fn arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("VALUE").help(help)
}

fn command() -> Command {
    let listen = || {
        arg("listen", "Address to listen on").required(true).value_parser(value_parser!(SocketAddr))
    };
    Command::new("jacinthbeam-standin")
        .about("A store or a backend server, in memory, for trials")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("store").about("The platform's store").arg(listen()).arg(
                arg("partitions", "Partitions of a topic")
                    .default_value("12")
                    .value_parser(value_parser!(u32)),
            ),
        )
        .subcommand(
            Command::new("server")
                .about("A backend server")
                .arg(listen())
                .arg(
                    arg("store", "Address of the store")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr)),
                )
                .arg(arg("id", "Name of this life").required(true).value_parser(parse::<ServerId>))
                .arg(
                    arg("service", "What it does")
                        .required(true)
                        .value_parser(parse::<ServiceName>),
                )
                .arg(
                    arg("domain", "Its failure domain")
                        .required(true)
                        .value_parser(parse::<FailureDomain>),
                )
                .arg(
                    Arg::new("keyed").long("keyed").action(ArgAction::SetTrue).help("Takes grants"),
                )
                .arg(
                    arg("slots", "Requests at a time")
                        .default_value("3")
                        .value_parser(value_parser!(u32).range(1..=1024)),
                )
                .arg(
                    arg("work-ms", "Time of a request in milliseconds")
                        .default_value("50")
                        .value_parser(value_parser!(u64)),
                ),
        )
}

fn parse<T: std::str::FromStr<Err: std::fmt::Display>>(text: &str) -> Result<T, String> {
    text.parse().map_err(|err: T::Err| err.to_string())
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("jacinthbeam-standin: no threads can be started: {err}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("jacinthbeam-standin: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(matches: &ArgMatches) -> std::io::Result<()> {
    let (name, args) = matches.subcommand().expect("a subcommand is required");
    let listen: SocketAddr = *args.get_one("listen").expect("it is required");
    if name == "store" {
        let partitions = *args.get_one("partitions").expect("it has a default");
        let store = serve::spawn(listen, partitions).await?;
        println!("store at {}", store.addr());
        return tokio::signal::ctrl_c().await;
    }
    let options = backend::Options {
        id: args.get_one::<ServerId>("id").expect("it is required").clone(),
        service: args.get_one::<ServiceName>("service").expect("it is required").clone(),
        domain: args.get_one::<FailureDomain>("domain").expect("it is required").clone(),
        keyed: args.get_flag("keyed"),
        slots: *args.get_one("slots").expect("it has a default"),
        work: Duration::from_millis(*args.get_one("work-ms").expect("it has a default")),
    };
    let store = *args.get_one("store").expect("it is required");
    let server = backend::spawn(listen, store, options).await?;
    println!("{} at {}", server.options.id, server.addr());
    tokio::signal::ctrl_c().await
}
