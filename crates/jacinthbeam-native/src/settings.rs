//! Settings of a host's process: one file of JSON with comments.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use jacinthbeam_config::{
    document::{self, Fields, Member, Node, Value, read},
    problem::Problem,
};
use jacinthbeam_dispatch::{budget, slow_start};
use jacinthbeam_host::{Settings, settings::DEFAULT_EVACUATE};
use jacinthbeam_types::prelude::*;

/// Thousandths of a core that a host has, unless set. Only the proportions between hosts matter.
pub const DEFAULT_PROCESSOR: Millicores = Millicores::CORE;
/// Largest record that the store accepts in KiB, unless set.
pub const DEFAULT_RECORD_KIB: u32 = 256;
/// Memory of a host's process in MiB, unless set.
pub const DEFAULT_MEMORY_MIB: u32 = 256;
/// Partitions of a topic in the store, unless set: enough that the duties of a dozen services fall to different hosts.
pub const DEFAULT_PARTITIONS: u32 = 12;
/// Repeats allowed for each request, unless set.
pub const DEFAULT_REPEAT_RATIO: f64 = 0.2;
/// Repeats allowed besides in each window, unless set.
pub const DEFAULT_REPEAT_BURST: f64 = 64.0;
/// The window, unless set.
pub const DEFAULT_REPEAT_WINDOW: Duration = Duration::from_secs(10);
/// Time in which a leaving backend server must stop to get requests, unless set.
pub const DEFAULT_DRAIN: Duration = Duration::from_secs(2);
/// Time after which a configuration that is kept in the store must act, unless set.
pub const DEFAULT_CONFIG: Duration = Duration::from_secs(2);
/// Time between a request to stop and the forced end, unless set.
pub const DEFAULT_STOP: Duration = Duration::from_secs(6);

const MAX_PARTITIONS: u32 = 4096;
const MAX_MILLICORES: u32 = 1_000_000;
const MAX_MEMORY_MIB: u32 = 1 << 20;
const MAX_RECORD_KIB: u32 = 1 << 20;
const MAX_BURST: f64 = 1e6;
const MAX_OVERRUN: f64 = 100.0;
const MAX_MS: u64 = 600_000;

/// Parses and checks the settings in `text`; `file` names it in problems.
pub fn read(file: &str, text: &str) -> Result<Settings, Vec<Problem>> {
    let node = document::parse(Arc::from(file), text)?;
    let mut fields = Fields::of(&node, "");
    let settings = settings(&mut fields);
    let problems = fields.finish();
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(problems),
    }
}

fn settings(fields: &mut Fields<'_>) -> Option<Settings> {
    let host = fields.required("host", "the name of this host", read::text);
    let domain = fields.required("domain", "the failure domain of this host", read::text);
    let regions = fields.or("regions", BTreeMap::new(), regions);
    let processor =
        fields.or("processor_millicores", DEFAULT_PROCESSOR.0, read::whole(1..=MAX_MILLICORES));
    let memory = fields.or("memory_mib", DEFAULT_MEMORY_MIB, read::whole(1..=MAX_MEMORY_MIB));
    let record = fields.or("record_kib", DEFAULT_RECORD_KIB, read::whole(1..=MAX_RECORD_KIB));
    let callers = address(fields, "callers");
    let ready = address(fields, "ready");
    let peers = address(fields, "peers");
    let seeds = fields.or("seeds", Vec::new(), seeds);
    let operators = address(fields, "operators");
    let store = address(fields, "store");
    let partitions = fields.or("partitions", DEFAULT_PARTITIONS, read::whole(1..=MAX_PARTITIONS));
    let repeats = fields.object("repeats", repeats_default(), repeats);
    let time = read::millis(1..=MAX_MS);
    let drain_within = fields.or("drain_within_ms", DEFAULT_DRAIN, &time);
    let evacuate_within = fields.or("evacuate_within_ms", DEFAULT_EVACUATE, &time);
    let slow_start = fields.object("slow_start", slow_start::Bounds::default(), slow_start);
    let config_within = fields.or("config_within_ms", DEFAULT_CONFIG, &time);
    let stop_within = fields.or("stop_within_ms", DEFAULT_STOP, &time);
    for (name, addr) in [("peers", peers), ("store", store)] {
        if addr.is_some_and(|addr| addr.ip().is_unspecified()) {
            let remedy = "give the IP number of one host";
            fields.unfit(name, "others can't connect to this address", remedy);
        }
    }
    let listen =
        [("callers", callers), ("ready", ready), ("peers", peers), ("operators", operators)];
    for (at, (name, addr)) in listen.iter().enumerate() {
        let other = listen[..at].iter().find(|(_, other)| other.is_some() && other == addr);
        if let Some((other, _)) = other {
            let what = format!("the address is used for `{other}` too");
            fields.unfit(name, what, "give each its own port");
        }
    }
    Some(Settings {
        host: host?,
        domain: domain?,
        regions,
        processor: Millicores(processor),
        memory: Bytes(u64::from(memory) << 20),
        record_bytes: Bytes(u64::from(record) << 10),
        first_start: false,
        callers: callers?,
        ready: ready?,
        peers: peers?,
        seeds,
        metrics: operators?,
        store: store?,
        partitions,
        repeats,
        drain_within,
        evacuate_within,
        slow_start,
        config_within,
        stop_within,
    })
}

fn repeats_default() -> budget::Options {
    budget::Options {
        ratio: DEFAULT_REPEAT_RATIO,
        burst: DEFAULT_REPEAT_BURST,
        window: DEFAULT_REPEAT_WINDOW,
    }
}

fn repeats(fields: &mut Fields<'_>) -> budget::Options {
    let default = repeats_default();
    budget::Options {
        ratio: fields.or("ratio", default.ratio, read::number(0.0..=1.0)),
        burst: fields.or("burst", default.burst, read::number(0.0..=MAX_BURST)),
        window: fields.or("window_ms", default.window, read::millis(1..=MAX_MS)),
    }
}

fn slow_start(fields: &mut Fields<'_>) -> slow_start::Bounds {
    let default = slow_start::Bounds::default();
    slow_start::Bounds {
        overrun: fields.or("overrun", default.overrun, read::number(1.0..=MAX_OVERRUN)),
        slack: fields.or("slack", default.slack, read::number(0.0..=MAX_BURST)),
    }
}

fn regions(value: &Value) -> Result<BTreeMap<FailureDomain, Region>, String> {
    let wrong = || "an object with the region of each failure domain".to_owned();
    let Value::Object(members) = value else { return Err(wrong()) };
    let region = |(domain, member): (&String, &Member)| match &member.node.value {
        Value::Text(region) => Some((domain.parse().ok()?, region.parse().ok()?)),
        _ => None,
    };
    members.iter().map(region).collect::<Option<_>>().ok_or_else(wrong)
}

fn seeds(value: &Value) -> Result<Vec<SocketAddr>, String> {
    let wrong = || "a list of addresses of other hosts, such as [\"10.0.0.7:8081\"]".to_owned();
    let Value::List(list) = value else { return Err(wrong()) };
    let addr = |node: &Node| match &node.value {
        Value::Text(text) => text.parse().ok(),
        _ => None,
    };
    list.iter().map(addr).collect::<Option<_>>().ok_or_else(wrong)
}

fn address(fields: &mut Fields<'_>, name: &'static str) -> Option<SocketAddr> {
    fields.required(name, "an address such as \"10.0.0.7:8080\"", |value| match value {
        Value::Text(text) => text.parse().map_err(|_| expected()),
        _ => Err(expected()),
    })
}

fn expected() -> String {
    "an IP number and a port, such as \"10.0.0.7:8080\"".into()
}

/// The file of these settings, as [`read()`] takes it.
pub fn write(settings: &Settings) -> String {
    let text = |value: &dyn std::fmt::Display| serde_json::Value::from(value.to_string());
    let millis = |time: Duration| serde_json::Value::from(time.as_millis() as u64);
    let file = serde_json::json!({
        "host": text(&settings.host),
        "domain": text(&settings.domain),
        "regions": settings.regions,
        "processor_millicores": settings.processor.0,
        "memory_mib": settings.memory.0 >> 20,
        "record_kib": settings.record_bytes.0 >> 10,
        "callers": text(&settings.callers),
        "ready": text(&settings.ready),
        "peers": text(&settings.peers),
        "seeds": settings.seeds.iter().map(|addr| text(addr)).collect::<Vec<_>>(),
        "operators": text(&settings.metrics),
        "store": text(&settings.store),
        "partitions": settings.partitions,
        "repeats": {
            "ratio": settings.repeats.ratio,
            "burst": settings.repeats.burst,
            "window_ms": millis(settings.repeats.window),
        },
        "drain_within_ms": millis(settings.drain_within),
        "evacuate_within_ms": millis(settings.evacuate_within),
        "slow_start": { "overrun": settings.slow_start.overrun, "slack": settings.slow_start.slack },
        "config_within_ms": millis(settings.config_within),
        "stop_within_ms": millis(settings.stop_within),
    });
    format!("{file:#}\n")
}
