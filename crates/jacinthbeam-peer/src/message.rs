//! Everything one entry host says to another.

use std::{net::SocketAddr, time::Duration};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

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
    /// Let me read the control stream through you. Answered at once if there are records, else when your own read of the
    /// log ends, with records or with a newer proof.
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
    /// How long ago did a host of this cell read the log to its end? Asked of the cell's hosts and of its other watchers.
    LastRead {
        /// The cell.
        cell: CellId,
    },
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
    /// To [`Question::Attend`] and [`Question::Remember`].
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

/// See [`Question::Probe`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The backend server that does not answer.
    pub server: ServerId,
    /// Its epoch in the fold of the host that asks.
    pub server_epoch: Epoch,
    /// Epoch of the cell's witnesses in the fold of the host that asks.
    pub witness_epoch: Epoch,
}

/// See [`Question::Probe`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probed {
    /// The backend server answered this host.
    Reached,
    /// It did not answer, and this host promised to be silent for it.
    Promised,
    /// It did not answer; this host is no witness under these epochs and promised nothing.
    NotReached,
}

/// How busy a backend server is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The backend server.
    pub server: ServerId,
    /// Thousandths of a request running on average.
    pub milli_busy: u32,
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
    /// How long before the arrival of the question the read that proved `end` was started; zero if it was started after that.
    ///
    /// The host that asked subtracts it from the time at which it started to ask, which lies before the arrival.
    pub proof_age: Duration,
}

/// What an attendant remembers of a request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Remembered {
    /// Service of the request.
    pub service: ServiceName,
    /// Hash of the request's key.
    pub key: KeyHash,
    /// Slot of that key.
    pub slot: Option<SlotId>,
    /// The caller's idempotency key.
    pub idempotency_key: IdempotencyKey,
    /// Hash over method, path and body of the request.
    pub fingerprint: u64,
    /// Counts the times it was sent; copies may arrive out of order, and the higher one wins.
    pub attempt: u32,
    /// How far it has got.
    pub progress: Progress,
}

/// How far a remembered request has got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// About to be sent, or sent; it may have run.
    Sent,
    /// Proven not to have run; it may be sent again.
    NotRun,
    /// Answered, and the answer is kept.
    Answered(StoredAnswer),
    /// Answered, but the answer is too large to be kept.
    AnsweredNotKept,
}

/// A kept answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers of the backend server's answer.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Names one keeper of a slot's memory: the attendant of its owner, in one stretch with one successor. Ordered from the earlier to the later.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim {
    /// Epoch of the slot: which stretch of ownership.
    pub epoch: Epoch,
    /// Token of the attendant's grant: which attendant.
    pub token: Token,
    /// Counts the attendant's successors.
    pub round: u32,
    /// The slot's owner.
    pub server: ServerId,
}

/// A slot and the claim of the host that sends the message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedSlot {
    /// The slot.
    pub slot: SlotId,
    /// The claim.
    pub claim: Claim,
}

/// See [`Question::Remember`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copies {
    /// Service of all requests in the message.
    pub service: ServiceName,
    /// Slots that the message is about.
    pub slots: Vec<ClaimedSlot>,
    /// Whether these are all entries of the slots, or a part of them, or a single one.
    pub stage: Stage,
    /// The entries.
    pub copies: Vec<Remembered>,
    /// Slots whose memory was lost once, and how long ago.
    pub lost: Vec<(SlotId, Duration)>,
}

/// Place of a message in the copying of whole slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// The first of several: what the receiver holds of the slots under lower claims no longer counts.
    First,
    /// One in the middle.
    More,
    /// The last one: from now on the receiver holds all that the sender remembers of the slots.
    Last,
    /// Changes of entries after the last one.
    Update,
}

/// See [`Question::Claim`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimSlots {
    /// Service of the slots.
    pub service: ServiceName,
    /// The slots.
    pub slots: Vec<ClaimedSlot>,
    /// Token that the owner had accepted before the sender's.
    pub before: Token,
}

/// See [`Question::Claim`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimed {
    /// What the host knows of the slots; those that it knows nothing of are absent.
    pub slots: Vec<KnownSlot>,
    /// Whether the token before the sender's is one of this host's, and was used for no request with an idempotency key.
    pub unused_before: bool,
}

/// What a host knows of the keepers of a slot's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownSlot {
    /// The slot.
    pub slot: SlotId,
    /// Highest claim that it has heard of, other than the one it was just told.
    pub highest: Option<Claim>,
    /// It holds all that was remembered under this claim.
    pub covered: Option<Claim>,
    /// No request was sent under this claim, and none will be.
    pub unused: Option<Claim>,
    /// How long ago memory of the slot was lost, if that still matters.
    pub lost: Option<Duration>,
}

/// See [`Question::Fetch`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Service of the slots.
    pub service: ServiceName,
    /// The slots.
    pub slots: Vec<SlotId>,
    /// Number of slots by which the service is divided, so that entries of keys that were split out are found too.
    pub divided_by: u32,
    /// The last entry that the sender has got.
    pub after: Option<EntryId>,
}

/// Names one entry among those of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryId {
    /// Hash of the request's key.
    pub key: KeyHash,
    /// The caller's idempotency key.
    pub idempotency_key: IdempotencyKey,
}

/// See [`Question::Fetch`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetched {
    /// Entries in the order of their ids.
    pub copies: Vec<Remembered>,
    /// Whether there are more.
    pub more: bool,
}

/// Head of a forwarded request; the body follows on the same stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// Names the request on every host.
    pub id: RequestId,
    /// Service asked for.
    pub service: ServiceName,
    /// The caller's key; empty for an undivided service.
    pub key: Vec<u8>,
    /// Owner in the sender's fold; the attendant checks it against its own.
    pub server: ServerId,
    /// Time left until the deadline when the head was sent.
    pub deadline: Duration,
    /// Whether the caller or the method says that a repeat is harmless.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Length of the body, if the caller named it.
    pub body_length: Option<u64>,
}

/// Head of the answer to a forwarded request; the body follows on the same stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The backend server's answer; its body follows.
    Answer {
        /// The request that this answers.
        id: RequestId,
        /// HTTP status.
        status: u16,
        /// Headers to pass on.
        headers: Vec<(String, Vec<u8>)>,
        /// Length of the body, if known.
        body_length: Option<u64>,
    },
    /// No answer of a backend server; no body follows.
    Refused {
        /// The request that this answers.
        id: RequestId,
        /// Why, and whether it may have run.
        refusal: Refusal,
        /// Who attends the owner, if the refusing host knows better.
        attendant: Option<SocketAddr>,
    },
}

impl ForwardReply {
    /// The request that this answers.
    pub fn id(&self) -> RequestId {
        match self {
            Self::Answer { id, .. } | Self::Refused { id, .. } => *id,
        }
    }
}
