//! Appending records to the control stream.

use std::sync::{Arc, atomic::Ordering};

use jacinthbeam_native::log;
use jacinthbeam_state::{CONTROL, Envelope, Record, RecordId};
use jacinthbeam_types::prelude::*;

use super::Control;

impl Control {
    /// Appends a record; `None` if it was not written, or nobody knows.
    ///
    /// It is never repeated here: every record names the epochs that it is based on, and its author looks at the fold
    /// before it tries again.
    pub(super) fn append(
        &self,
        record: Record,
        why: String,
    ) -> impl Future<Output = Option<Offset>> + Send + 'static {
        let sequence = self.records.fetch_add(1, Ordering::Relaxed);
        let id = RecordId { incarnation: self.me.incarnation, sequence };
        append(self.appends.clone(), Envelope { id, why, record })
    }
}

async fn append(client: Arc<log::Client>, envelope: Envelope) -> Option<Offset> {
    let buf = match envelope.encode() {
        Ok(buf) => buf,
        Err(err) => {
            ::log::error!("log: record {} can't be written: {err}", envelope.id);
            return None;
        }
    };
    match client.append(CONTROL, buf).await {
        Ok(offset) => Some(offset),
        Err(err) => {
            ::log::warn!("log: append of record {} ({}) failed: {err}", envelope.id, envelope.why);
            None
        }
    }
}
