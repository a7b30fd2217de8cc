//! What an attendant is told and what it asks for.

use std::{collections::BTreeSet, time::Instant};

use jacinthbeam_state::Record;
use jacinthbeam_types::prelude::*;

use crate::{
    attendant::AppendId,
    grant::{Grant, GrantState, Permit},
    witness::{Probe, Probed},
};

/// An answer of the backend server to a query or a grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Local time just before the message was written.
    pub sent: Instant,
    /// Local time just after the answer was read.
    pub received: Instant,
    /// What the server says.
    pub state: GrantState,
}

/// What an attendant is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed, or a record was read. Wanted every 50 ms and after each change of the fold.
    Tick,
    /// Whether this host should attend the server by its own view of the members.
    Elected(bool),
    /// Another host is in charge of the server but can't reach it, and this host can.
    Asked,
    /// The server answered a query, or accepted a grant.
    Reply(Reply),
    /// The server refused a grant.
    Refused(Reply),
    /// A query or a grant got no answer in time. It may still arrive at the server.
    NoReply,
    /// A host answered a probe.
    Probed {
        /// The host.
        host: HostId,
        /// Its present life.
        incarnation: Incarnation,
        /// The probe that it answered.
        probe: Probe,
        /// The answer.
        probed: Probed,
    },
    /// A record was written. It counts once the fold contains it.
    Appended {
        /// Which one.
        id: AppendId,
        /// Where it stands.
        offset: Offset,
    },
    /// A record was refused by the log, or the answer was lost and it may have been written.
    AppendFailed {
        /// Which one.
        id: AppendId,
    },
    /// No request for these slots can have an effect on the server any more, and none is admitted.
    Released {
        /// The slots.
        slots: BTreeSet<SlotId>,
    },
    /// The same for all requests, after [`Action::Drain`].
    Drained,
    /// This host is to stop.
    Stop,
}

/// What an attendant asks its caller to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the server's state.
    Query,
    /// Send the grant.
    Grant(Grant),
    /// Send requests under this permit only. Ends an earlier [`Action::Drain`].
    Open(Permit),
    /// Send nothing any more. Requests that run may end.
    Close,
    /// Admit nothing for these slots until a permit contains them again; report when they are released.
    Hold {
        /// The slots.
        slots: BTreeSet<SlotId>,
    },
    /// Admit nothing any more; report when all requests have ended.
    Drain,
    /// Ask all live hosts of the cell, this one included.
    Probe(Probe),
    /// Ask the host to attend the server.
    AskAttend {
        /// The host.
        host: HostId,
    },
    /// Say in heartbeats whether this host reaches the server.
    Report {
        /// Whether it does.
        reachable: bool,
    },
    /// Append a record to the control stream.
    Append {
        /// Names this append in the event that answers it.
        id: AppendId,
        /// The record.
        record: Record,
        /// Why, for operators.
        why: String,
    },
    /// A stopping host attends this server no more, and nothing of it runs.
    HandedOver,
}
