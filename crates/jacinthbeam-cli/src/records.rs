//! What operators read in the store.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use jacinthbeam::{
    config::fold::State,
    host::process::usage::Usage,
    native::{self, STORE_LAYOUT},
    store::{Call, Client, Error, Item, Lane, Partition, Reply, keyed::Follower},
    types::prelude::*,
};

/// A store, as operators use it.
#[derive(Debug)]
pub struct Records {
    lane: Lane,
}

/// The newest record of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Current {
    /// What it says; empty if there is none.
    pub state: State,
    /// Where the next record would be kept.
    pub end: Offset,
}

impl Records {
    /// The store at `addr`.
    pub fn open(addr: SocketAddr) -> Self {
        let client = Client::open(addr, native::wire().store, Arc::new(SystemClock));
        Self { lane: client.lane() }
    }

    /// Every key of a partition with its newest record, and the partition's end.
    async fn newest(&self, partition: Partition) -> Result<(Vec<Item>, Offset), Error> {
        let changes = Follower::new(partition).look(&self.lane, Default::default()).await?;
        Ok((changes.items, changes.end))
    }

    /// The configuration in force.
    pub async fn config(&self) -> Result<Current, Error> {
        let (items, end) = self.newest((STORE_LAYOUT.operator)()).await?;
        let record = items.into_iter().find(|item| item.key == STORE_LAYOUT.config_key);
        let state = match record {
            Some(item) => native::config::state(&item.value).map_err(Error::Malformed)?,
            None => State::default(),
        };
        Ok(Current { state, end })
    }

    /// Brings a configuration into force, if no other record has come since `end`.
    pub async fn put_config(&self, state: &State, end: Offset) -> Result<(), Error> {
        let call = Call::Put {
            to: (STORE_LAYOUT.operator)(),
            key: STORE_LAYOUT.config_key.into(),
            value: Bytes::from(native::config::write(state)),
            only_at: Some(end),
        };
        match self.lane.call(&call).await? {
            Reply::Kept(_) => Ok(()),
            _ => Err(Error::Malformed("not the answer to an append".into())),
        }
    }

    /// Evacuates a failure domain, or takes it back.
    pub async fn put_evacuation(
        &self,
        domain: &FailureDomain,
        evacuated: bool,
    ) -> Result<(), Error> {
        let value = if evacuated { Bytes::from_static(b"{}") } else { Bytes::new() };
        let key = format!("{}{domain}", STORE_LAYOUT.evacuation_prefix);
        let call = Call::Put { to: (STORE_LAYOUT.operator)(), key, value, only_at: None };
        match self.lane.call(&call).await? {
            Reply::Kept(_) => Ok(()),
            _ => Err(Error::Malformed("not the answer to an append".into())),
        }
    }

    /// What every life of a process counted against teams, added up.
    pub async fn usage(&self) -> Result<Usage, Error> {
        let partition = Partition { topic: STORE_LAYOUT.usage.into(), number: 0 };
        let mut total = Usage::default();
        for item in self.newest(partition).await?.0 {
            let usage = Usage::from_bytes(&item.value);
            total.add(&usage.map_err(|err| Error::Malformed(format!("{}: {err}", item.key)))?);
        }
        Ok(total)
    }
}
