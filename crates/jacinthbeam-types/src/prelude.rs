//! The types that nearly every module needs, for `use jacinthbeam_types::prelude::*`.

pub use crate::{
    clock::{Clock, SystemClock},
    id::{
        Born, ConfigVersion, Epoch, Era, FailureDomain, HostId, Incarnation, Region, ServerName,
        ServiceName, TeamName, Token,
    },
    key::KeyHash,
    offset::Offset,
    server::ServerId,
    size::{Bytes, Millicores, Rate},
    verdict::{Reason, Refusal, Verdict},
};
