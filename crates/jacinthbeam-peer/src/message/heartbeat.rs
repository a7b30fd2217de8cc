//! Signs of life, and the word of a witness.

use std::net::SocketAddr;

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Sign of life of an entry host, exchanged with every host of its cell.
///
/// It is sent to and answered by every host several times a second, so what seldom changes is left out once the
/// receiver is known to hold it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// This life of the sender.
    pub incarnation: Incarnation,
    /// Next record of the control stream that the sender has not read.
    pub next: Offset,
    /// Configuration in force at the sender.
    pub config: Option<ConfigVersion>,
    /// Number of the sender's present details. It rises with each change of them.
    pub number: u32,
    /// Details of the receiver that the sender holds.
    pub holds: Option<Edition>,
    /// The sender's present details, unless the receiver is known to hold them.
    pub details: Option<Details>,
    /// Word of a witness; only in answers.
    pub vouch: Option<Vouch>,
}

impl Heartbeat {
    /// Which details of the sender are its present ones.
    pub fn edition(&self) -> Edition {
        Edition { incarnation: self.incarnation, number: self.number }
    }
}

/// Names the details that one life of a host had at some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Edition {
    /// That life.
    pub incarnation: Incarnation,
    /// Number of the details, counted by that life.
    pub number: u32,
}

/// What seldom changes about an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Details {
    /// Its name.
    pub host: HostId,
    /// Its cell.
    pub cell: CellId,
    /// Where it listens for peers.
    pub peer_address: SocketAddr,
    /// Whether it is stopping and attends nothing new.
    pub stopping: bool,
    /// Epoch of the witness set under which it vouches no more, now and for good.
    pub retired: Option<Epoch>,
    /// Backend servers that it attends at present, with the token of its grant.
    pub attends: Vec<(ServerId, Token)>,
    /// Backend servers of its cell that it can't reach at present.
    pub unreachable: Vec<ServerId>,
}

/// Word of a witness that it has given no promise except for the servers named.
///
/// It holds only for a fold that reaches as far as the witness's own, which is [`Heartbeat::next`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vouch {
    /// Epoch of the witness set that the word is given under.
    pub witness_epoch: Epoch,
    /// Servers for which this witness promised silence, with the server epoch of the promise.
    pub silent: Vec<(ServerId, Epoch)>,
}
