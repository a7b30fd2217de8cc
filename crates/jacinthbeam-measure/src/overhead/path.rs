//! The ways to a backend server that are compared.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use jacinthbeam::{
    platform::format::backend::{DEADLINE, KEY, REQUEST, SLOT, TOKEN},
    types::prelude::*,
};

use super::{FAR, NEAR, SERVICE};
use crate::{Deployment, deployment, owners::Follower};

/// Looks at the owners before it is given up that a server owns a slot.
const LOOKS: usize = 100;
/// Time between two of them.
const PAUSE: Duration = Duration::from_millis(50);
/// Keys that are tried.
const KEYS: u32 = 100_000;

/// A way to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Path {
    /// To the backend server itself, with the headers that the router would send.
    Direct,
    /// Through the entry host that attends the backend server.
    Attended,
    /// Through another entry host, which forwards to the one that attends it.
    Forwarded,
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Direct => "direct",
            Self::Attended => "attended",
            Self::Forwarded => "forwarded",
        })
    }
}

/// How one path is called.
#[derive(Debug, Clone)]
pub(super) struct Route {
    pub(super) server: ServerId,
    pub(super) addr: SocketAddr,
    key: String,
    /// Slot and token, if the backend server is called directly.
    grant: Option<(SlotId, Token)>,
}

impl Route {
    pub(super) fn request(&self, sequence: u64) -> Request<Full<Bytes>> {
        let req = Request::builder()
            .uri(format!("/{SERVICE}/{}/{sequence}", self.key))
            .header(header::HOST, self.addr.to_string());
        let req = match self.grant {
            None => req,
            Some((slot, token)) => req
                .header(KEY, &self.key)
                .header(SLOT, slot.to_string())
                .header(TOKEN, token.to_string())
                .header(REQUEST, RequestId { incarnation: Incarnation(1), sequence }.to_string())
                .header(DEADLINE, "60000"),
        };
        req.body(Full::default()).expect("all parts are proper")
    }
}

/// One backend server for each path; the host of the near failure domain is asked in both routed ones.
pub(super) async fn find(
    deployment: &Deployment,
    follower: &Follower,
) -> Result<BTreeMap<Path, Route>, deployment::Error> {
    let none = |what: &str| deployment::Error::NotReady(what.to_owned());
    let in_domain = |name: &'static str| {
        let servers = deployment.servers.iter();
        servers.filter(move |(_, server)| server.domain.as_str() == name).map(|(id, _)| id.clone())
    };
    let mut near = in_domain(NEAR);
    let direct = near.next().ok_or_else(|| none("no backend server"))?;
    let attended = near.next().ok_or_else(|| none("only one backend server"))?;
    let forwarded = in_domain(FAR).next().ok_or_else(|| none("no backend server far away"))?;
    let asked = deployment.entries.values().find(|entry| {
        let domain = entry.identity().cell.failure_domain();
        domain.as_str() == NEAR
    });
    let asked = asked.ok_or_else(|| none("no entry host"))?.callers();

    let mut routes = BTreeMap::new();
    for (path, server) in
        [(Path::Direct, direct), (Path::Attended, attended), (Path::Forwarded, forwarded)]
    {
        let (key, slot) =
            key_of(follower, &server).await.ok_or_else(|| none("no key of a server"))?;
        let handle = &deployment.servers[&server].handle;
        let is_direct = path == Path::Direct;
        let addr = if is_direct { handle.addr() } else { asked };
        let grant = is_direct.then(|| (slot, handle.grant_state().token));
        routes.insert(path, Route { server, addr, key, grant });
    }
    Ok(routes)
}

/// A key that the server owns, once the follower has read the owners.
async fn key_of(follower: &Follower, server: &ServerId) -> Option<(String, SlotId)> {
    for _ in 0..LOOKS {
        if let Some(key) = known_key_of(follower, server) {
            return Some(key);
        }
        tokio::time::sleep(PAUSE).await;
    }
    None
}

fn known_key_of(follower: &Follower, server: &ServerId) -> Option<(String, SlotId)> {
    let state = follower.state();
    let service: ServiceName = SERVICE.parse().expect("a proper name");
    let division = state.services.get(&service)?;
    (0..KEYS).find_map(|number| {
        let key = format!("k{number}");
        let slot = division.slot_of(KeyHash::of(key.as_bytes()));
        let is_owner = division.owner(slot).is_some_and(|owner| owner.server == *server);
        is_owner.then_some((key, slot))
    })
}
