//! Records of the store that other writers left and that can't be read.

use std::collections::BTreeSet;

/// Keys that are remembered. A writer that draws a new key for each record must not fill the memory, nor the log.
const MOST: usize = 256;

/// Which of them were told of.
///
/// A writer that repeats its record in every heartbeat would write a line of log a second from each host that reads the store.
#[derive(Debug, Default)]
pub(super) struct Unreadable {
    told: BTreeSet<(&'static str, String)>,
}

impl Unreadable {
    /// Whether a record of this kind under this key is the first one, and there is still room to remember it.
    pub(super) fn is_new(&mut self, what: &'static str, key: &str) -> bool {
        self.told.len() < MOST && self.told.insert((what, key.to_owned()))
    }
}
