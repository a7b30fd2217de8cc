//! Hot keys get a slot of their own, and go back when they have cooled.

use std::time::Instant;

use jacinthbeam_placement::{Policy, Progress, View, convert, hot};
use jacinthbeam_state::{Division, Record};
use jacinthbeam_types::prelude::*;

use super::WINDOW;
use crate::process::control::Control;

impl Control {
    pub(super) fn split_hot_keys(
        &mut self,
        now: Instant,
        service: &ServiceName,
        view: &View,
        policy: &Policy,
        progress: &mut Progress,
    ) {
        let Some(division) = self.state.services.get(service).cloned() else { return };
        let splits = convert::splits(&division);
        let keys = hot::Keys { slots: division.slots(), splits: &splits };
        let servers: Vec<ServerId> = self
            .open_servers()
            .filter(|(_, of)| *of == service)
            .map(|(id, _)| id.clone())
            .collect();
        for server in servers {
            let Some(attended) = self.tended.get(&server).and_then(|t| t.attended.clone()) else {
                continue;
            };
            let sketch = attended.heaviest_keys();
            self.placement.note_heavy_keys(&server, &sketch);
            let owned = hot::Owned { server: &server, sketch: &sketch, window: WINDOW * 2 };
            let mut cooling = self.placement.cooling.remove(&server).unwrap_or_default();
            let actions = hot::plan(&owned, &keys, view, policy, &mut cooling, now);
            self.placement.cooling.insert(server, cooling);
            self.carry_out_hot(now, service, &division, actions, policy, progress);
        }
    }

    fn carry_out_hot(
        &mut self,
        now: Instant,
        service: &ServiceName,
        division: &Division,
        actions: Vec<hot::Action>,
        policy: &Policy,
        progress: &mut Progress,
    ) {
        for action in actions {
            match action {
                hot::Action::MoveBack(planned) => {
                    progress.begin(&planned, &policy.pace, now);
                    self.hand_over(now, service, &planned);
                }
                hot::Action::Split { key, parent, .. } => {
                    let Some(record) = split(service, division, key, parent) else { continue };
                    self.append_unattended(record, "a hot key");
                    // The id of the next one depends on this one being read.
                    break;
                }
                hot::Action::Merge { key, slot, parent } => {
                    let Some(record) = merge(service, division, key, slot, parent) else {
                        continue;
                    };
                    self.append_unattended(record, "the key cooled down");
                }
            }
        }
    }

    /// Appends a record whose outcome shows in the fold; if it does not, the next window decides again.
    fn append_unattended(&self, record: Record, why: &str) {
        tokio::spawn(self.append(record, why.to_owned()));
    }
}

fn split(
    service: &ServiceName,
    division: &Division,
    key: KeyHash,
    parent: SlotId,
) -> Option<Record> {
    let base = division.owner(parent)?.epoch;
    Some(Record::Split { service: service.clone(), key, slot: division.next_split(), base })
}

fn merge(
    service: &ServiceName,
    division: &Division,
    key: KeyHash,
    slot: SlotId,
    parent: SlotId,
) -> Option<Record> {
    let base = division.owner(slot)?.epoch;
    let parent_base = division.owner(parent)?.epoch;
    Some(Record::Merge { service: service.clone(), key, base, parent_base })
}
