//! The types that nearly every module needs, for `use jacinthbeam_types::prelude::*`.

pub use crate::{
    clock::{Clock, SystemClock},
    id::{
        ConfigVersion, Epoch, FailureDomain, HostId, Incarnation, Offset, ServerId, ServiceName,
        TeamName, Token,
    },
    key::KeyHash,
    size::Bytes,
    verdict::{Reason, Refusal, Verdict},
};
