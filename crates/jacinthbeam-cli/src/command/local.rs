//! `jacinthbeam local`: a whole deployment on loopback, in this process.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use jacinthbeam::config::Division;
use jacinthbeam_measure::{Deployment, Plan};

use super::{EXIT_CODES, Error, arg};
use crate::{Terminal, publication::open_folder};

/// Failure domains unless named.
const DOMAINS: &str = "domain-a,domain-b,domain-c";

const LONG: &str = "\
Run entry hosts and small stand-ins of the platform on loopback, in this process.

Publishes the folder, waits until every slot is served, and prints lines that can be pasted into another shell: a request, and
the other commands of this program against this deployment. Nothing is kept when it stops.";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("local")
        .about("Run entry hosts and stand-ins of the platform on loopback, in this process")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FOLDER")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Folder of configuration files to publish"),
        )
        .arg(
            Arg::new("for")
                .long("for")
                .value_name("TIME")
                .value_parser(arg::time)
                .help("Stop after this time, such as 10s or 500ms; else run until interrupted"),
        )
        .arg(
            Arg::new("failure-domains")
                .long("failure-domains")
                .value_name("A,B,C")
                .default_value(DOMAINS)
                .help("Names of the three failure domains"),
        )
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let failed = |err: &dyn std::fmt::Display| Error::Failed(err.to_string());
    let path = args.get_one::<PathBuf>("config").expect("it is required");
    let folder = open_folder(path).await?;
    let domains = args.get_one::<String>("failure-domains").expect("it has a default");
    let domains: Vec<&str> = domains.split(',').collect();
    let domains: [&str; 3] = domains
        .try_into()
        .map_err(|_| Error::Failed("name three failure domains, such as a,b,c".into()))?;
    let deployment = Deployment::spawn(Plan::new(domains), &folder);
    let deployment = deployment.await.map_err(|err| failed(&err))?;
    introduce(&deployment, terminal);
    wait(args.get_one::<Duration>("for").copied()).await;
    terminal.say("stopping");
    deployment.stop().await;
    terminal.say("stopped");
    Ok(())
}

fn introduce(deployment: &Deployment, terminal: &mut Terminal<'_>) {
    terminal.say(format_args!(
        "{} entry hosts, {} backend servers, log on {}",
        deployment.entries.len(),
        deployment.servers.len(),
        deployment.log.addr()
    ));
    for (host, entry) in &deployment.entries {
        terminal.say(format_args!(
            "{host}: callers {}, operators {}",
            entry.callers(),
            entry.operators()
        ));
    }
    terminal.say("try, in another shell:");
    for line in lines(deployment) {
        terminal.say(format_args!("  {line}"));
    }
}

/// Lines that can be pasted into a shell.
fn lines(deployment: &Deployment) -> Vec<String> {
    let log = deployment.log.addr();
    // As this process was started, so that the lines work where the program is on no search path.
    let program = std::env::args().next().unwrap_or_else(|| "jacinthbeam".into());
    let operators: Vec<SocketAddr> =
        deployment.entries.values().map(|entry| entry.operators()).collect();
    let all: Vec<String> = operators.iter().map(ToString::to_string).collect();
    let all = all.join(",");
    // A folder notes what it was in sync with, so each run of `local` has one of its own.
    let folder = format!("local-{}", log.port());
    let mut lines: Vec<String> = curl(deployment).into_iter().collect();
    lines.push(format!("{program} status --operators {all} --log {log}"));
    lines.push(format!("mkdir {folder} && {program} adopt {folder} --log {log}"));
    lines.push(format!("{program} publish {folder} --log {log}  # after an edit"));
    lines.push(format!("{program} usage --log {log}"));
    let explain = explain(deployment);
    lines.extend(explain.map(|explain| format!("{program} {explain} --operators {all}")));
    lines.extend(operators.first().map(|addr| format!("{program} dump --address {addr}")));
    lines.extend(operators.first().map(|addr| format!("curl http://{addr}/metrics")));
    lines
}

/// A request that is answered.
fn curl(deployment: &Deployment) -> Option<String> {
    let (name, service) = deployment.config.services.first_key_value()?;
    let (_, entry) = deployment.entries.first_key_value()?;
    let key = match service.division {
        Division::Keyed { .. } => "some-key/",
        Division::Undivided => "",
    };
    Some(format!("curl -i http://{}/{name}/{key}hello", entry.callers()))
}

fn explain(deployment: &Deployment) -> Option<String> {
    let mut services = deployment.config.services.iter();
    let keyed =
        |service: &jacinthbeam::config::Service| matches!(service.division, Division::Keyed { .. });
    let (name, _) = services.find(|(_, service)| keyed(service))?;
    let log = deployment.log.addr();
    Some(format!("explain --log {log} --service {name} --key some-key"))
}

async fn wait(time: Option<Duration>) {
    let interrupted = tokio::signal::ctrl_c();
    match time {
        Some(time) => {
            tokio::select! {
                _ = interrupted => {}
                () = tokio::time::sleep(time) => {}
            }
        }
        None => {
            // Without a signal handler there is nothing to wait for, and the deployment ends at once.
            let _ = interrupted.await;
        }
    }
}
