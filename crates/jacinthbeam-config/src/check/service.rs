//! Reads one service.

use std::time::Duration;

use jacinthbeam_route::{Admission, Service, SlowStart};

use crate::{
    document::{Fields, Node, Value, read},
    problem::Problem,
};

/// Most connections of a backend server.
pub const MAX_CONNECTIONS: u32 = 65_536;
/// Longest time that keys or servers are slow for, in milliseconds.
const MAX_WARM_UP_MS: u64 = 600_000;
/// How long keys are slow that came without their handover, unless configured.
pub const DEFAULT_WARM_UP: Duration = Duration::from_secs(3);
/// Where a backend server tells whether it is well, unless configured.
pub const DEFAULT_HEALTH_PATH: &str = "/healthz";

/// Reads the service at `path`; `None` if something that it can't do without is wrong.
pub(super) fn read(node: &Node, path: String) -> (Option<Service>, Vec<Problem>) {
    let mut fields = Fields::of(node, path);
    let service = service(&mut fields);
    (service, fields.finish())
}

fn service(fields: &mut Fields<'_>) -> Option<Service> {
    let team =
        fields.required("team", "the name of the team that it is counted against", read::text);
    let connections = fields.required(
        "connections",
        "the number of connections that a backend server takes",
        read::whole(1..=MAX_CONNECTIONS),
    );
    let keyed = fields.or("keyed", false, read::bool);
    let warmup = fields.or("warm_up_ms", DEFAULT_WARM_UP, read::millis(0..=MAX_WARM_UP_MS));
    let health_path = fields.or("health_path", DEFAULT_HEALTH_PATH.into(), read::path);
    let slow_start = fields.object("slow_start", None, slow_start);
    let admission = fields.or("admission", Admission::default(), admission);
    if keyed && admission == Admission::Off {
        let what =
            "the service is keyed, and keyed services are never subject to admission by rank";
        fields.unfit("admission", what, "remove it");
    }
    Some(Service {
        team: Some(team?),
        health_path,
        connections: connections?,
        keyed,
        warmup,
        slow_start,
        admission,
    })
}

fn admission(value: &Value) -> Result<Admission, String> {
    let text = match value {
        Value::Text(text) => text.parse().ok(),
        _ => None,
    };
    text.ok_or_else(|| "\"auto\" or \"off\"".into())
}

fn slow_start(fields: &mut Fields<'_>) -> Option<SlowStart> {
    let lasts = fields.required(
        "lasts_ms",
        "how long a server stays cold",
        read::millis(0..=MAX_WARM_UP_MS),
    );
    let rate = fields.required(
        "rate",
        "the requests a second that a cold server takes from all hosts, such as \"4.4/s\"",
        read::text,
    );
    Some(SlowStart { lasts: lasts?, rate: rate? })
}
