//! Stand-in for a backend server.
//!
//! It takes fenced grants as `docs/OWNERSHIP.md` tells and runs requests by echoing them. A server
//! with [`Options::checks_grants`] admits a request only under its present grant, and looks again
//! right before the effect; a request that fails there is [`Outcome::Aborted`], has had no effect,
//! and is answered as a refusal. A server without it fences grants just the same, but runs every
//! request that reaches it.
//!
//! - `GET /grant`, `POST /grant`, `GET /health`, `GET /load`: see `jacinthbeam_native::format::backend`.
//! - `GET /runs` answers [`Summary`] as JSON.
//! - Anything else is work, answered with an [`Echo`] as JSON. Header [`SERVICE_MS`] overrides its
//!   time, [`ANSWER_BYTES`] asks for a large answer.

mod fence;
mod handle;
mod holding;
mod run;
mod serve;
mod state;
mod work;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use jacinthbeam_types::prelude::*;

pub use handle::Handle;
pub use holding::Holding;
pub use run::{Outcome, Run, Summary};
pub use work::{ANSWER_BYTES, Echo, SERVICE_MS};

use state::Shared;

/// How a backend server starts.
#[derive(Debug, Clone)]
pub struct Options {
    /// Its name, stable across restarts.
    pub server: ServerId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Whether requests are checked against the grant. Default: yes.
    pub checks_grants: bool,
    /// Whether a request that was admitted under an older token may still take effect, as long as the present
    /// grant covers its slot. Default: no, the token is checked again too.
    pub older_tokens_finish: bool,
    /// Requests worked on at once; further ones wait for a place. Default: 3.
    pub concurrency: u32,
    /// Connections at once, those for grants and probes included; further ones are closed. Default: 130.
    pub connections: u32,
    /// Time from a request's turn to its effect. Default: 5 ms.
    pub service_time: Duration,
    /// Slowness after a start. Default: none.
    pub cold_start: ColdStart,
    /// Time that the server's own clock, deadlines and run records are taken from.
    pub clock: Arc<dyn Clock>,
    /// What the server's own clock shows at its start.
    pub clock_offset: Duration,
    /// Rate of the server's own clock; 1.001 is fast by a thousandth.
    pub clock_rate: f64,
    /// First incarnation. Default: drawn at random.
    pub incarnation: Incarnation,
}

/// Requests that take longer after a start.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdStart {
    /// How many requests.
    pub requests: u32,
    /// How much longer each takes.
    pub extra: Duration,
}

impl Options {
    /// Options with the defaults.
    pub fn new(server: ServerId, service: ServiceName) -> Self {
        Self {
            server,
            service,
            checks_grants: true,
            older_tokens_finish: false,
            concurrency: 3,
            connections: 130,
            service_time: Duration::from_millis(5),
            cold_start: ColdStart::default(),
            clock: Arc::new(SystemClock),
            clock_offset: Duration::ZERO,
            clock_rate: 1.0,
            incarnation: state::draw_incarnation(),
        }
    }
}

/// Starts a backend server that listens on `addr`. Must be called inside a tokio runtime.
pub fn spawn(addr: SocketAddr, options: Options) -> io::Result<Handle> {
    let shared = Shared::new(options);
    let listener = serve::listen(&shared, addr)?;
    Ok(Handle::new(shared, listener))
}
