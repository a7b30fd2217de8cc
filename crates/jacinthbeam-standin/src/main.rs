//! `jacinthbeam-standin`: one stand-in of the platform as a program, for a run on one machine.

use std::{fmt, io, net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jacinthbeam_native::format::hosts::HostList;
use jacinthbeam_standin::{backend, hosts, log as record_log};
use jacinthbeam_types::prelude::*;
use simplelog::{ConfigBuilder, LevelFilter, SimpleLogger};

/// Why the program can't do its work.
#[derive(Debug)]
enum Error {
    Listen(SocketAddr, io::Error),
    List(PathBuf, io::Error),
    Interrupt(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(addr, err) => write!(f, "can't listen on {addr}: {err}"),
            Self::List(path, err) => {
                write!(f, "{} is no list of hosts: {err}", path.display())
            }
            Self::Interrupt(err) => write!(f, "can't wait for an interrupt: {err}"),
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    if let Err(err) = SimpleLogger::init(LevelFilter::Info, config) {
        eprintln!("standin: no log: {err}");
    }
    let done = match matches.subcommand() {
        Some(("log", args)) => run_log(args).await,
        Some(("hosts", args)) => run_hosts(args).await,
        Some(("backend", args)) => run_backend(args).await,
        _ => unreachable!("clap requires one of the subcommands"),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("standin: {err}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("jacinthbeam-standin")
        .about("Stands in for one part of the platform, in memory")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(log_command())
        .subcommand(hosts_command())
        .subcommand(backend_command())
}

fn log_command() -> Command {
    part("log", "The append-only log service")
        .arg(number("retain-records", "Keep at most this many records of a stream"))
        .arg(number("retain-seconds", "Keep records no longer than this"))
        .arg(number("slow-ms", "Let every request wait this long"))
}

fn hosts_command() -> Command {
    let list = Arg::new("list").long("list").value_name("file");
    part("hosts", "The lagging list of hosts")
        .arg(list.value_parser(value_parser!(PathBuf)).help("JSON file with the first list"))
        .arg(number("lag-ms", "Show a change only after this long"))
}

fn backend_command() -> Command {
    let server = Arg::new("server").long("server").value_parser(value_parser!(ServerId));
    let service = Arg::new("service").long("service").value_parser(value_parser!(ServiceName));
    let unchecked = Arg::new("no-grant-checks").long("no-grant-checks");
    part("backend", "A backend server")
        .arg(server.required(true).help("Name of the server"))
        .arg(service.required(true).help("Service that it serves"))
        .arg(unchecked.action(ArgAction::SetTrue).help("Run every request, whoever sends it"))
        .arg(number("concurrency", "Requests worked on at once").default_value("3"))
        .arg(number("connections", "Connections at once").default_value("130"))
        .arg(number("service-ms", "Time that a request takes").default_value("5"))
        .arg(number("cold-requests", "Requests after a start that take longer"))
        .arg(number("cold-extra-ms", "How much longer they take"))
}

fn part(name: &'static str, about: &'static str) -> Command {
    let listen = Arg::new("listen").long("listen").value_name("address");
    let listen = listen.value_parser(value_parser!(SocketAddr)).default_value("127.0.0.1:0");
    Command::new(name)
        .about(about)
        .arg(listen.help("Address to listen on; port 0 picks a free one"))
        .arg(number("for", "Stop after this many seconds; else on ctrl-c only"))
}

fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("n").value_parser(value_parser!(u32)).help(help)
}

async fn run_log(args: &ArgMatches) -> Result<(), Error> {
    let retention = record_log::Retention {
        records: given(args, "retain-records").map(|n| n as usize),
        age: given(args, "retain-seconds").map(|n| Duration::from_secs(n.into())),
    };
    let options = record_log::Options { retention, ..record_log::Options::default() };
    let handle = record_log::spawn(listen(args), options).map_err(failed_listen(args))?;
    handle.set_slow(millis(args, "slow-ms"));
    until_stopped(args, handle.addr()).await?;
    handle.shutdown().await;
    Ok(())
}

async fn run_hosts(args: &ArgMatches) -> Result<(), Error> {
    let list = match args.get_one::<PathBuf>("list") {
        Some(path) => read_list(path).map_err(|err| Error::List(path.clone(), err))?,
        None => HostList::default(),
    };
    let lag = millis(args, "lag-ms");
    let options = hosts::Options { list, lag, ..hosts::Options::default() };
    let handle = hosts::spawn(listen(args), options).map_err(failed_listen(args))?;
    until_stopped(args, handle.addr()).await?;
    handle.shutdown().await;
    Ok(())
}

async fn run_backend(args: &ArgMatches) -> Result<(), Error> {
    let server: &ServerId = args.get_one("server").expect("clap requires it");
    let service: &ServiceName = args.get_one("service").expect("clap requires it");
    let cold_start = backend::ColdStart {
        requests: given(args, "cold-requests").unwrap_or(0),
        extra: millis(args, "cold-extra-ms"),
    };
    let options = backend::Options {
        checks_grants: !args.get_flag("no-grant-checks"),
        concurrency: given(args, "concurrency").expect("clap gives a default"),
        connections: given(args, "connections").expect("clap gives a default"),
        service_time: millis(args, "service-ms"),
        cold_start,
        ..backend::Options::new(server.clone(), service.clone())
    };
    let handle = backend::spawn(listen(args), options).map_err(failed_listen(args))?;
    until_stopped(args, handle.addr()).await?;
    handle.shutdown().await;
    Ok(())
}

fn read_list(path: &PathBuf) -> io::Result<HostList> {
    Ok(serde_json::from_slice(&std::fs::read(path)?)?)
}

fn listen(args: &ArgMatches) -> SocketAddr {
    *args.get_one("listen").expect("clap gives a default")
}

fn failed_listen(args: &ArgMatches) -> impl Fn(io::Error) -> Error {
    let addr = listen(args);
    move |err| Error::Listen(addr, err)
}

fn given(args: &ArgMatches, name: &str) -> Option<u32> {
    args.get_one(name).copied()
}

fn millis(args: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(given(args, name).unwrap_or(0).into())
}

/// Waits for an interrupt or for the end of the time that was given.
async fn until_stopped(args: &ArgMatches, addr: SocketAddr) -> Result<(), Error> {
    log::info!("standin: listens on {addr}");
    let bound = given(args, "for").map(|n| Duration::from_secs(n.into()));
    let stopped = tokio::time::timeout(bound.unwrap_or(Duration::MAX), tokio::signal::ctrl_c());
    if let Ok(interrupt) = stopped.await {
        interrupt.map_err(Error::Interrupt)?;
    }
    log::info!("standin: stops");
    Ok(())
}
