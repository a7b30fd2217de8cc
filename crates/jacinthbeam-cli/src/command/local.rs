//! `jacinthbeam local`: a whole deployment on loopback, in this process.

use std::{path::PathBuf, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use jacinthbeam::config::{Division, folder};
use jacinthbeam_measure::{Deployment, Plan, deployment};

/// Failure domains unless named.
const DOMAINS: &str = "domain-a,domain-b,domain-c";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("local")
        .about("Run entry hosts and small stand-ins of the platform on loopback, in this process")
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
                .value_parser(parse_time)
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

/// Runs the command; the error is for the operator.
pub async fn run(args: &ArgMatches) -> Result<(), String> {
    let path = args.get_one::<PathBuf>("config").expect("it is required");
    let folder = folder::open(path, folder::Options::default()).map_err(|err| err.to_string())?;
    let domains = args.get_one::<String>("failure-domains").expect("it has a default");
    let domains: Vec<&str> = domains.split(',').collect();
    let domains: [&str; 3] =
        domains.try_into().map_err(|_| "name three failure domains, such as a,b,c".to_owned())?;
    let deployment = Deployment::spawn(Plan::new(domains), &folder);
    let deployment = deployment.await.map_err(|err| err.to_string())?;
    introduce(&deployment);
    wait(args.get_one::<Duration>("for").copied()).await;
    println!("stopping");
    deployment.stop().await;
    println!("stopped");
    Ok(())
}

fn introduce(deployment: &Deployment) {
    println!(
        "{} entry hosts, {} backend servers, log on {}",
        deployment.entries.len(),
        deployment.servers.len(),
        deployment.log.addr()
    );
    for (host, entry) in &deployment.entries {
        println!("{host}: callers {}, operators {}", entry.callers(), entry.operators());
    }
    println!("try: {}", curl(deployment).unwrap_or_else(|| "no service is configured".into()));
}

/// A line that can be pasted into a shell.
fn curl(deployment: &deployment::Deployment) -> Option<String> {
    let (name, service) = deployment.config.services.first_key_value()?;
    let (_, entry) = deployment.entries.first_key_value()?;
    let key = match service.division {
        Division::Keyed { .. } => "some-key/",
        Division::Undivided => "",
    };
    Some(format!("curl -i http://{}/{name}/{key}hello", entry.callers()))
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

fn parse_time(text: &str) -> Result<Duration, String> {
    let wrong = || format!("{text:?} is no time such as 10s or 500ms");
    let (number, unit) = match (text.strip_suffix("ms"), text.strip_suffix('s')) {
        (Some(number), _) => (number, 1),
        (None, Some(number)) => (number, 1000),
        (None, None) => return Err(wrong()),
    };
    let number: u64 = number.parse().map_err(|_| wrong())?;
    Ok(Duration::from_millis(number * unit))
}
