//! `Witnesses`: a cell names the hosts whose word renews leases while the log is out of reach.

use std::collections::BTreeSet;

use super::*;
use crate::{Witness, WitnessSet, outcome::Subject, witness::MAX_WITNESSES};

impl State {
    pub(super) fn apply_witnesses(
        &mut self,
        at: Offset,
        cell: &CellId,
        base: Option<Epoch>,
        members: &[Witness],
        retired: &[Incarnation],
    ) -> Result<Outcome, Why> {
        let set = self.cells.get(cell);
        let present = set.map(|set| set.epoch);
        if base != present {
            return Err(Why::Stale { of: Subject::Witnesses(cell.clone()), base, present });
        }
        check_members(members)?;
        // Members of the old set that know nothing of the new one could go on vouching for each
        // other, after an eviction that only the new set backed. With so many retired they are too
        // few for a renewal.
        if let Some(set) = set {
            let needed = set.eviction_quorum();
            let promised = self.promises(cell, set, retired);
            if promised < needed {
                return Err(Why::TooFewPromises { promised, needed });
            }
        }
        let set = WitnessSet { epoch: Epoch(at.0), members: members.to_vec() };
        self.cells.insert(cell.clone(), Arc::new(set));
        let hosts = members.iter().map(|member| member.host.clone()).collect();
        Ok(Outcome::one(Change::Witnesses { cell: cell.clone(), hosts }))
    }
}

/// A host in the set twice would count as two words.
fn check_members(members: &[Witness]) -> Result<(), Why> {
    if members.is_empty() || members.len() > MAX_WITNESSES {
        let why = format!("it has {} members, not 1 to {MAX_WITNESSES}", members.len());
        return Err(Why::BadWitnesses(why));
    }
    let hosts: BTreeSet<_> = members.iter().map(|member| &member.host).collect();
    let lives: BTreeSet<_> = members.iter().map(|member| member.incarnation).collect();
    if hosts.len() != members.len() || lives.len() != members.len() {
        return Err(Why::BadWitnesses("it names a host twice".into()));
    }
    Ok(())
}
