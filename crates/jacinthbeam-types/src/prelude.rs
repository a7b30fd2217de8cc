//! The types that nearly every module needs, for `use jacinthbeam_types::prelude::*`.

pub use crate::{
    clock::{Clock, SystemClock},
    id::{
        CellId, ConfigVersion, Epoch, FailureDomain, HostId, IdempotencyKey, Incarnation, Offset,
        RequestId, ServerId, ServiceName, SlotId, TeamName, Token,
    },
    key::KeyHash,
    size::{Bytes, Rate},
    verdict::{Reason, Refusal, Verdict},
};
