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

use jacinthbeam_host::wire::{Places, Wire};
use jacinthbeam_store::Partition;

/// Where things lie in the store.
pub const PLACES: Places = Places {
    operator: || Partition { topic: "operator".into(), number: 0 },
    config_key: "config",
    evacuation_prefix: "evacuate/",
    servers: || Partition { topic: "servers".into(), number: 0 },
    maps: "owners",
    hosts: "hosts",
    duties: "duties",
    usage: "usage",
};

/// How jacinthbeam itself speaks.
pub fn wire() -> Wire {
    Wire {
        store: jacinthbeam_store::Wire { encode: store::encode, decode: store::decode },
        places: PLACES,
        caller: request::caller,
        forward: request::forward,
        answer: request::answer,
        refused: request::refused,
        delivered: request::delivered,
        grant: grant::grant,
        granted: grant::granted,
        release: grant::release,
        released: grant::released,
        config: config::read,
        server: server::read,
    }
}
