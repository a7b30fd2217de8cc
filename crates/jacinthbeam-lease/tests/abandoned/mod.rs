//! Eviction by hosts of other cells.

use std::collections::BTreeSet;

use jacinthbeam_lease::abandoned::evictions;
use jacinthbeam_state::{Envelope, RecordId, record::SlotTarget};
use jacinthbeam_types::prelude::*;

use crate::support::{World, name};

/// A cell that is cut off goes on serving, unless its service yields. Each record that is proposed holds.
#[test]
fn only_servers_that_yield_are_evicted_from_a_cell_that_is_cut_off() {
    let cells = BTreeSet::from([name::<CellId>("kamloops-a")]);
    let targets = |_: &ServerId| vec![SlotTarget { slot: SlotId(0), to: name("s2") }];
    let holds = World::new(3, 3, "", 1).state;
    assert_eq!(evictions(&holds, &cells, targets), []);

    let mut yields = World::new(3, 3, r#", "cut_off": "yield""#, 1).state;
    assert_eq!(evictions(&yields, &BTreeSet::new(), targets), []);
    let found = evictions(&yields, &cells, targets);
    assert_eq!(found.len(), 3);
    for eviction in found {
        let id = RecordId { incarnation: Incarnation(1), sequence: 0 };
        let envelope = Envelope { id, why: eviction.why, record: eviction.record };
        assert!(yields.apply(yields.next, &envelope).expect("the next record").is_applied());
    }
}
