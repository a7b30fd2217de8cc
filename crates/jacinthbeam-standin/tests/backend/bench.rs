//! A backend server on a clock that stands still, and a client for it.

use std::{sync::Arc, time::Duration};

use jacinthbeam_native::format::backend::{Grant, GrantState, SLOT, TOKEN};
use jacinthbeam_standin::backend::{self, Handle, Options};
use jacinthbeam_types::{clock::ManualClock, prelude::*};

use crate::support::{ANY, Client, Got};

/// End of the grant of [`Bench::grant`], on the server's clock.
pub const LEASE: Duration = Duration::from_secs(1);

pub struct Bench {
    pub clock: Arc<ManualClock>,
    pub server: Handle,
}

/// Options on a clock that stands still, without service time.
pub fn options() -> (Arc<ManualClock>, Options) {
    let clock = Arc::new(ManualClock::new());
    let options = Options::new("b1".parse().unwrap(), "tilecast".parse().unwrap());
    let service_time = Duration::ZERO;
    let incarnation = Incarnation(7);
    (clock.clone(), Options { clock, service_time, incarnation, ..options })
}

impl Bench {
    pub fn new(change: impl FnOnce(&mut Options)) -> Self {
        let (clock, mut options) = options();
        change(&mut options);
        let server = backend::spawn(ANY, options).unwrap();
        Self { clock, server }
    }

    pub async fn client(&self) -> Client {
        Client::open(self.server.addr()).await.unwrap()
    }

    /// Grants slots 0 to 3 under the token, until [`LEASE`].
    pub async fn grant(&self, token: u64) -> GrantState {
        let got = post(&mut self.client().await, &grant(&self.server, token)).await;
        assert_eq!(got.status, 200);
        got.json()
    }

    /// Sends work for slot 1 under token 1 on a connection of its own, in a task.
    pub fn start(&self) -> tokio::task::JoinHandle<Result<Got, hyper::Error>> {
        let addr = self.server.addr();
        tokio::spawn(async move { work(&mut Client::open(addr).await.unwrap(), 1, &[]).await })
    }

    /// Sends work as [`Self::start`] does, and freezes the server right before the effect.
    pub async fn start_and_freeze(&self) -> tokio::task::JoinHandle<Result<Got, hyper::Error>> {
        self.server.set_hold(true);
        let order = self.start();
        self.running(1).await;
        self.server.freeze();
        self.server.set_hold(false);
        until(|| self.server.frozen_requests() == 1).await;
        order
    }

    /// Waits until this many requests are admitted and have not ended.
    pub async fn running(&self, n: u32) {
        until(|| self.server.grant_state().running == n).await;
    }
}

/// Waits until the condition holds.
pub async fn until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        tokio::task::yield_now().await;
    }
}

/// A grant that the server accepts as its first one.
pub fn grant(server: &Handle, token: u64) -> Grant {
    Grant {
        token: Token(token),
        incarnation: server.grant_state().incarnation,
        slots: (0..4).map(SlotId).collect(),
        until: LEASE.as_micros() as u64,
        based_on: Offset(10),
    }
}

pub async fn post(client: &mut Client, grant: &Grant) -> Got {
    let body = serde_json::to_vec(grant).unwrap();
    client.send("POST", "/grant", &[], body).await.unwrap()
}

/// Sends work for slot 1 under the token.
pub async fn work(
    client: &mut Client,
    token: u64,
    headers: &[(&str, &str)],
) -> Result<Got, hyper::Error> {
    let token = token.to_string();
    let all = [&[(TOKEN, token.as_str()), (SLOT, "1")], headers].concat();
    client.send("POST", "/order", &all, "body").await
}
