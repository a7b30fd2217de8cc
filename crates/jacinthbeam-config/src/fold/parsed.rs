//! The parsed form of an accepted file, kept so that a change of one file parses no other.

use std::sync::{Arc, OnceLock};

use crate::{check, document::Node, file::FileName, problem::Problem};

/// What a text parses to, once somebody asked. Clones share it.
///
/// It follows from the text, so it is neither written to snapshots nor compared: a state that was
/// read from a snapshot, which has parsed nothing yet, equals the one that wrote it.
#[derive(Debug, Clone, Default)]
pub(super) struct Parsed(Arc<OnceLock<Node>>);

impl Parsed {
    /// Parses `text`, or returns what it parsed to before. It must be the same text every time.
    pub(super) fn of(&self, name: &FileName, text: &str) -> Result<&Node, Vec<Problem>> {
        if let Some(node) = self.0.get() {
            return Ok(node);
        }
        let node = check::file(name, text)?;
        Ok(self.0.get_or_init(|| node))
    }
}

impl PartialEq for Parsed {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Parsed {}
