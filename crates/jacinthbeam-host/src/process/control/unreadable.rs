//! Remembers which unreadable records of the store were logged.

use std::collections::BTreeSet;

/// Bound on remembered keys. A writer that uses a new key for every record must fill neither the memory nor the log.
const MAX_KEYS: usize = 256;

/// The records that were logged.
///
/// A writer that repeats an unreadable record with every heartbeat would otherwise cause a log line per second on each host that reads the
/// store.
#[derive(Debug, Default)]
pub(super) struct Unreadable {
    logged: BTreeSet<(&'static str, String)>,
}

impl Unreadable {
    /// Whether a record of this kind and key was not logged yet and there is room to remember it; remembers it.
    pub(super) fn is_new(&mut self, what: &'static str, key: &str) -> bool {
        self.logged.len() < MAX_KEYS && self.logged.insert((what, key.to_owned()))
    }
}
