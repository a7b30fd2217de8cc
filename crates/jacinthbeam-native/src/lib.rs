//! How jacinthbeam speaks where nobody else has a say: to callers, backend servers and stores that follow its own interface.
//!
//! The users' platform has words of its own, and an adapter beside this one. Both are a [`Wire`] of plain functions; nothing is
//! decided here. What the headers mean for callers is told in `docs/CALLERS.md`, the rest in `docs/NATIVE.md`.

pub mod config;
pub mod grant;
pub mod request;
pub mod server;
pub mod settings;
pub mod store;

use jacinthbeam_host::wire::{StoreLayout, Wire};
use jacinthbeam_store::Partition;

/// Where things lie in the store.
pub const STORE_LAYOUT: StoreLayout = StoreLayout {
    operator: || Partition { topic: "operator".into(), number: 0 },
    config_key: "config",
    evacuation_prefix: "evacuate/",
    servers: || Partition { topic: "servers".into(), number: 0 },
    maps: "owners",
    hosts: "hosts",
    relays: "relays",
    duties: "duties",
    usage: "usage",
};

/// How jacinthbeam itself speaks.
pub fn wire() -> Wire {
    Wire {
        store: jacinthbeam_store::Wire {
            encode: store::encode,
            era: store::era,
            decode: store::decode,
        },
        store_layout: STORE_LAYOUT,
        parse_caller_headers: request::caller,
        set_forward_headers: request::forward,
        classify_response: request::answer,
        response_id: request::response_id,
        parse_backpressure: request::backpressure,
        set_refusal_headers: request::refused,
        set_delivered_headers: request::delivered,
        grant_request: grant::grant,
        parse_grant_response: grant::granted,
        release_request: grant::release,
        parse_release_response: grant::released,
        parse_config: config::read,
        parse_server: server::read,
    }
}
