//! A backend server over HTTP.

use std::{io, net::SocketAddr, sync::Arc};

use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use jacinthbeam_native::format::backend::{Grant, SERVER};

use super::{run::Summary, state::Shared, work};
use crate::net::{Answer, Body, Dropped, Listener, answer, json, read_body};

/// Serves on one more address.
pub(super) fn listen(shared: &Arc<Shared>, addr: SocketAddr) -> io::Result<Listener> {
    let serve_shared = shared.clone();
    shared.server.listen(addr, move |req| serve(serve_shared.clone(), req))
}

async fn serve(shared: Arc<Shared>, req: Request<Incoming>) -> Answer {
    shared.server.freeze.work().await;
    if shared.lock().dead {
        return Err(Dropped);
    }
    let mut res = match (req.method(), req.uri().path()) {
        (&Method::GET, "/grant") => Ok(grant_answer(&shared, StatusCode::OK)),
        (&Method::POST, "/grant") => accept_grant(&shared, req).await,
        (&Method::GET, "/health") => Ok(answer(StatusCode::OK, health(&shared))),
        (&Method::GET, "/load") => Ok(answer(StatusCode::OK, load(&shared))),
        (&Method::GET, "/runs") => Ok(json(StatusCode::OK, &shared.summary())),
        _ => work::run(&shared, req).await,
    }?;
    if let Ok(server) = HeaderValue::from_str(shared.options.server.as_str()) {
        res.headers_mut().insert(SERVER, server);
    }
    Ok(res)
}

fn grant_answer(shared: &Shared, status: StatusCode) -> Response<Body> {
    json(status, &shared.grant_state(&shared.lock()))
}

async fn accept_grant(shared: &Shared, req: Request<Incoming>) -> Answer {
    let body = read_body(req.into_body()).await.ok_or(Dropped)?;
    shared.server.freeze.work().await;
    let grant: Grant = match serde_json::from_slice(&body) {
        Ok(grant) => grant,
        Err(err) => return Ok(answer(StatusCode::BAD_REQUEST, format!("no grant: {err}"))),
    };
    let mut state = shared.lock();
    let (slots, token) = (grant.slots.clone(), grant.token);
    let until = shared.instant(&state, grant.until);
    let accepted = state.fence.accept(grant);
    if accepted {
        state.holdings.granted(shared.options.clock.now(), &slots, token, until);
    }
    let status = if accepted { StatusCode::OK } else { StatusCode::CONFLICT };
    Ok(json(status, &shared.grant_state(&state)))
}

fn health(shared: &Shared) -> String {
    let state = shared.lock();
    let truth = if state.faults.draining { "draining" } else { "ok" };
    state.faults.health.clone().unwrap_or_else(|| truth.to_owned())
}

fn load(shared: &Shared) -> String {
    let state = shared.lock();
    state.faults.load.clone().unwrap_or_else(|| state.running.len().to_string())
}

impl Shared {
    /// Counts since the stand-in was spawned.
    pub(super) fn summary(&self) -> Summary {
        Summary {
            connections: self.server.open() as u64,
            excess_connections: self.server.excess(),
            ..self.lock().runs.counts.clone()
        }
    }
}
