//! Everything one entry host says to another.

use std::time::Duration;

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

mod forward;
mod heartbeat;
mod memory;
mod probe;

pub use forward::{ForwardHead, ForwardReply};
pub use heartbeat::{Details, Edition, Heartbeat, Vouch};
pub use memory::{
    Claim, ClaimSlots, Claimed, ClaimedSlot, Copies, EntryId, Fetch, Fetched, KnownSlot, Progress,
    Remembered, Stage, StoredAnswer,
};
pub use probe::{Probe, Probed};

/// Version of these messages. A host answers another version with a refusal that names its own.
pub const VERSION: u32 = 2;

/// A question about control state; small, answered at once (but for [`Question::ReadLog`]).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// I am alive. The answer is a heartbeat too, and vouches if its sender is a witness.
    Heartbeat(Heartbeat),
    /// Can you reach this backend server? If you can't and are a witness, promise silence for it.
    Probe(Probe),
    /// Promise to vouch for nobody any more under this epoch of the cell's witnesses.
    Retire {
        /// Epoch of the witness set that is to be replaced.
        witness_epoch: Epoch,
    },
    /// Please attend this backend server: I am in charge of it but can't reach it, and you can.
    Attend {
        /// The backend server.
        server: ServerId,
    },
    /// Let me read the control stream through you. Answered at once if there are records, else when
    /// your own read of the log ends, with records or with a newer proof.
    ReadLog {
        /// First record wanted.
        from: Offset,
        /// At most this many bytes of records, but at least one record.
        max_bytes: u32,
        /// How long to wait at most if there is no record yet.
        wait: Duration,
    },
    /// Give me your fold of the control stream.
    FetchState,
    /// Keep copies of what I remember of requests with an idempotency key.
    Remember(Copies),
    /// I keep the memory of these slots from now on: refuse copies under lower claims, and say what you know.
    Claim(ClaimSlots),
    /// Give me your copies of these slots.
    Fetch(Fetch),
    /// How busy are the backend servers that you attend?
    Loads,
    /// How long ago did a host of this cell read the log to its end? Asked of the cell's hosts and
    /// of its other watchers.
    LastRead {
        /// The cell.
        cell: CellId,
    },
    /// May this slot go to a backend server that you attend?
    Offer(Offer),
}

/// Answer to a [`Question`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// To [`Question::Heartbeat`].
    Heartbeat(Heartbeat),
    /// To [`Question::Probe`].
    Probed(Probed),
    /// To [`Question::Retire`].
    Retired {
        /// Whether the promise is given.
        promised: bool,
    },
    /// To [`Question::Attend`], [`Question::Remember`] and [`Question::Offer`].
    Done {
        /// Whether the host agrees.
        agreed: bool,
    },
    /// To [`Question::ReadLog`].
    Records(Records),
    /// To [`Question::FetchState`]: a snapshot as in the control stream.
    State {
        /// First record that the snapshot does not contain.
        next: Offset,
        /// Encoded snapshot.
        snapshot: Vec<u8>,
    },
    /// The question could not be answered.
    Failed {
        /// Why, for the log of the host that asked.
        why: String,
    },
    /// To [`Question::Claim`].
    Claimed(Claimed),
    /// To [`Question::Fetch`].
    Fetched(Fetched),
    /// To [`Question::Loads`].
    Loads(Vec<ServerLoad>),
    /// To [`Question::LastRead`].
    LastRead {
        /// At the time of the answer; no less than the truth.
        ago: Duration,
    },
}

/// How busy a backend server is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The backend server.
    pub server: ServerId,
    /// Thousandths of a request running on average.
    pub milli_busy: u32,
}

/// See [`Question::Offer`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The service.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotId,
    /// Its owner, which the sender attends.
    pub from: ServerId,
    /// Its owner to be.
    pub to: ServerId,
    /// Load that goes with the slot, in thousandths of a request running.
    pub milli_load: u32,
    /// Load expected to be left at the owner.
    pub milli_left: u32,
    /// Number of heavy slots at the owner if this is one of them, else 0.
    pub heavy: u32,
    /// Whether the slot goes because the owner has several heavy ones, and not for its load.
    pub crowded: bool,
}

/// See [`Question::ReadLog`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Records from the offset asked for, in order.
    pub records: Vec<(Offset, Vec<u8>)>,
    /// First record still kept by the log.
    pub earliest: Offset,
    /// End of the stream at the time of the proof.
    pub end: Offset,
    /// How long before the arrival of the question the read that proved `end` was started; zero if it was started after
    /// that.
    ///
    /// The host that asked subtracts it from the time at which it started to ask, which lies before the arrival.
    pub proof_age: Duration,
}
