//! `jacinthbeam local`: a whole deployment on loopback, in this process.

use std::{path::PathBuf, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use jacinthbeam::types::prelude::FailureDomain;
use jacinthbeam_measure::{Deployment, Plan};

use super::{EXIT_CODES, Error, arg};
use crate::{Terminal, publication::open_folder};

const LONG: &str = "\
Run hosts and small stand-ins of the platform on loopback, in this process.

Publishes the folder, waits until every key is served, and prints lines that can be pasted into another shell: a request, and
the other commands of this program against this deployment. Nothing is kept when it stops.";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("local")
        .about("Run hosts and stand-ins of the platform on loopback, in this process")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(config())
        .arg(arg::lasts("Stop after this time, such as 10s or 500ms; else run until interrupted"))
        .arg(domains())
}

/// The folder to publish.
pub(super) fn config() -> Arg {
    Arg::new("config")
        .long("config")
        .value_name("FOLDER")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Folder of configuration files to publish")
}

/// Names of the failure domains.
pub(super) fn domains() -> Arg {
    Arg::new("failure-domains")
        .long("failure-domains")
        .value_name("A,B,C")
        .value_delimiter(',')
        .default_value("domain-a,domain-b,domain-c")
        .value_parser(value_parser!(FailureDomain))
        .help("Names of the failure domains")
}

/// The deployment that the arguments ask for.
pub(super) fn plan(args: &ArgMatches) -> Plan {
    let domains = args.get_many::<FailureDomain>("failure-domains").into_iter().flatten();
    Plan::new(domains.cloned().collect())
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let path = args.get_one::<PathBuf>("config").expect("it is required");
    let files = open_folder(path).await?;
    let deployment = Deployment::spawn(plan(args), &files).await;
    let deployment = deployment.map_err(|err| Error::Failed(err.to_string()))?;
    introduce(&deployment, terminal);
    wait(arg::lasts_of(args)).await;
    terminal.say("stopping");
    deployment.stop().await;
    terminal.say("stopped");
    Ok(())
}

fn introduce(deployment: &Deployment, terminal: &mut Terminal<'_>) {
    terminal.say(format_args!(
        "{} hosts, {} backend servers, store at {}",
        deployment.hosts.len(),
        deployment.servers.len(),
        deployment.store.addr()
    ));
    for (name, host) in &deployment.hosts {
        let (callers, operators) = (host.settings.callers, host.settings.metrics);
        terminal.say(format_args!("{name}: callers {callers}, operators {operators}"));
    }
    terminal.say("try, in another shell:");
    lines(deployment).iter().for_each(|line| terminal.say(format_args!("  {line}")));
}

/// Lines that can be pasted into a shell.
fn lines(deployment: &Deployment) -> Vec<String> {
    let store = deployment.store.addr();
    // As this process was started, so that the lines work where the program is on no search path.
    let program = std::env::args().next().unwrap_or_else(|| "jacinthbeam".into());
    let operators: Vec<String> =
        deployment.hosts.values().map(|host| host.settings.metrics.to_string()).collect();
    // A folder notes what it was in sync with, so each run has one of its own.
    let folder = format!("local-{}", store.port());
    let mut lines: Vec<String> = curl(deployment).into_iter().collect();
    lines.push(format!("{program} status --operators {}", operators.join(",")));
    lines.push(format!("mkdir {folder} && {program} adopt {folder} --store {store}"));
    lines.push(format!("{program} publish {folder} --store {store}  # after an edit"));
    lines.push(format!("{program} usage --store {store}"));
    lines.extend(operators.first().map(|addr| format!("{program} dump --operators {addr}")));
    lines.extend(operators.first().map(|addr| format!("curl http://{addr}/metrics")));
    lines
}

/// A request that is answered.
fn curl(deployment: &Deployment) -> Option<String> {
    let cfg = deployment.state.config();
    let route = cfg.routes.iter().next()?;
    let keyed = route.target.services().any(|service| cfg.services[service].keyed);
    let key = if keyed { " -H 'jacinthbeam-key: some-key'" } else { "" };
    let host = deployment.hosts.values().next()?;
    Some(format!("curl -i http://{}{}hello{key}", host.settings.callers, route.prefix))
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
