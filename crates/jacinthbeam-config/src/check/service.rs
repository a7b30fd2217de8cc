//! Reads one service.

use std::collections::BTreeSet;

use jacinthbeam_types::prelude::*;

use crate::{
    config::{
        Balance, CutOff, DEFAULT_DEADLINE, DEFAULT_IDEMPOTENT_METHODS, DEFAULT_MAX_BODY,
        DEFAULT_MAX_DEADLINE, DEFAULT_QUEUE, Division, HotKey, Policy, Service, Weights,
    },
    document::{Fields, Node, Value, read},
    problem::Problem,
};

/// Most slots of a service.
pub const MAX_SLOTS: u32 = 1 << 20;
/// Most requests that a backend server runs at once.
pub const MAX_CONCURRENCY: u32 = 1024;
/// Most connections of a backend server.
pub const MAX_CONNECTIONS: u32 = 65_536;
/// Most requests that wait for a backend server.
pub const MAX_QUEUE: u32 = 65_536;
/// Longest deadline, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// Largest body of a request.
pub const MAX_BODY: Bytes = Bytes(64 << 20);
/// Longest time that a slot stays or a server warms up, in milliseconds.
const MAX_REST_MS: u64 = 86_400_000;
/// Most moves a minute.
const MAX_MOVES: u32 = 100_000;
/// Most keys split out.
const MAX_SPLIT: u32 = 4096;
/// Largest weight and multiple of the mean load.
const MAX_FACTOR: f64 = 1e6;

const CUT_OFF: &[(&str, CutOff)] = &[("hold", CutOff::Hold), ("yield", CutOff::Yield)];
const POLICIES: &[(&str, Policy)] = &Policy::ALL;

/// Reads the service at `path`; `None` if something that it can't do without is wrong.
pub(super) fn read(node: &Node, path: String) -> (Option<Service>, Vec<Problem>) {
    let mut fields = Fields::of(node, path);
    let service = service(&mut fields);
    (service, fields.finish())
}

fn service(fields: &mut Fields<'_>) -> Option<Service> {
    let team =
        fields.required("team", "the name of the team that it is counted against", read::text);
    let division = division(fields);
    let concurrency = fields.required(
        "concurrency",
        "the number of requests that a backend server runs at once",
        read::whole(1..=MAX_CONCURRENCY),
    );
    let connections = fields.required(
        "connections",
        "the number of connections that a backend server takes",
        read::whole(1..=MAX_CONNECTIONS),
    );
    let deadline = read::millis(1..=MAX_DEADLINE_MS);
    let default_deadline = fields.or("default_deadline_ms", DEFAULT_DEADLINE, &deadline);
    let max_deadline = fields.or("max_deadline_ms", DEFAULT_MAX_DEADLINE, &deadline);
    let checks_grants = fields.or("checks_grants", true, read::bool);
    let cut_off = fields.or("cut_off", CutOff::default(), read::word(CUT_OFF));
    let queue = fields.or("queue", DEFAULT_QUEUE, read::whole(0..=MAX_QUEUE));
    let max_body = fields.or("max_body", DEFAULT_MAX_BODY, read::bytes(Bytes(0)..=MAX_BODY));
    let idempotent_methods =
        fields.set("idempotent_methods", method).unwrap_or_else(default_methods);
    let balance = fields.object("balance", Balance::default(), balance);

    if let (Some(concurrency), Some(connections)) = (concurrency, connections)
        && connections < concurrency
    {
        fields.unfit(
            "connections",
            format!("{connections} connections can't carry {concurrency} requests at once"),
            "raise `connections` to at least `concurrency`",
        );
    }
    if default_deadline > max_deadline {
        fields.unfit(
            "default_deadline_ms",
            format!(
                "{} ms are longer than the longest deadline of {} ms",
                default_deadline.as_millis(),
                max_deadline.as_millis()
            ),
            "lower `default_deadline_ms` or raise `max_deadline_ms`",
        );
    }
    Some(Service {
        team: team?,
        division: division?,
        checks_grants,
        cut_off,
        concurrency: concurrency?,
        connections: connections?,
        queue,
        default_deadline,
        max_deadline,
        max_body,
        idempotent_methods,
        balance,
    })
}

const DIVISION: &str = "\"undivided\" or { \"keyed\": { \"slots\": <number> } }";

fn division(fields: &mut Fields<'_>) -> Option<Division> {
    let is_object = matches!(fields.node("division"), Some(Node { value: Value::Object(_), .. }));
    if !is_object {
        return fields.required("division", DIVISION, |value| match value {
            Value::Text(text) if text == "undivided" => Ok(Division::Undivided),
            _ => Err(DIVISION.into()),
        });
    }
    fields.object("division", None, |fields| {
        fields.required("keyed", "{ \"slots\": <number> }", |_| Ok(()))?;
        fields.object("keyed", None, |fields| {
            let slots = "the number of slots, about 100 for each backend server";
            let slots = fields.required("slots", slots, read::whole(1..=MAX_SLOTS))?;
            Some(Division::Keyed { slots })
        })
    })
}

fn default_methods() -> BTreeSet<String> {
    DEFAULT_IDEMPOTENT_METHODS.map(str::to_owned).into()
}

fn method(value: &Value) -> Result<String, String> {
    match value {
        Value::Text(text) if !text.is_empty() && text.bytes().all(|b| b.is_ascii_uppercase()) => {
            Ok(text.clone())
        }
        _ => Err("an HTTP method in capital letters".into()),
    }
}

fn balance(fields: &mut Fields<'_>) -> Balance {
    let default = Balance::default();
    let factor = read::number(1.0..=MAX_FACTOR);
    let rest = read::millis(0..=MAX_REST_MS);
    let balance = Balance {
        policy: fields.or("policy", default.policy, read::word(POLICIES)),
        weights: fields.object("weights", default.weights, weights),
        start_above: fields.or("start_above", default.start_above, &factor),
        stop_below: fields.or("stop_below", default.stop_below, &factor),
        moves_per_minute: fields.or(
            "moves_per_minute",
            default.moves_per_minute,
            read::whole(0..=MAX_MOVES),
        ),
        min_stay: fields.or("min_stay_ms", default.min_stay, &rest),
        warm_up: fields.or("warm_up_ms", default.warm_up, &rest),
        hot_key: fields.object("hot_key", default.hot_key, hot_key),
    };
    if balance.stop_below >= balance.start_above {
        fields.unfit(
            "stop_below",
            format!(
                "{} is not lower than `start_above` {}, so moves would never settle",
                balance.stop_below, balance.start_above
            ),
            "lower `stop_below` or raise `start_above`",
        );
    }
    balance
}

fn weights(fields: &mut Fields<'_>) -> Weights {
    let default = Weights::default();
    let weight = read::number(0.0..=MAX_FACTOR);
    Weights {
        unavailable: fields.or("unavailable", default.unavailable, &weight),
        churn: fields.or("churn", default.churn, &weight),
    }
}

fn hot_key(fields: &mut Fields<'_>) -> HotKey {
    let default = HotKey::default();
    let share = read::number(0.0..=1.0);
    let hot_key = HotKey {
        split_above: fields.or("split_above", default.split_above, &share),
        merge_below: fields.or("merge_below", default.merge_below, &share),
        cool_for: fields.or("cool_for_ms", default.cool_for, read::millis(0..=MAX_REST_MS)),
        most: fields.or("most", default.most, read::whole(0..=MAX_SPLIT)),
    };
    if hot_key.merge_below >= hot_key.split_above {
        fields.unfit(
            "merge_below",
            format!(
                "{} is not lower than `split_above` {}, so a key would split and merge without end",
                hot_key.merge_below, hot_key.split_above
            ),
            "lower `merge_below` or raise `split_above`",
        );
    }
    hot_key
}
