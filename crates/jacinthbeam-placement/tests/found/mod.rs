use std::collections::BTreeMap;

use jacinthbeam_placement::found;
use jacinthbeam_types::prelude::*;

use crate::support::name;

fn servers(cells: &[(&str, usize)]) -> Vec<(ServerId, CellId)> {
    let of_cell = |(cell, count): &(&str, usize)| {
        let cell: CellId = name(cell);
        (0..*count).map(move |i| (name(&format!("{cell}-{i}")), cell.clone())).collect::<Vec<_>>()
    };
    cells.iter().flat_map(of_cell).collect()
}

#[test]
fn every_server_gets_the_same_number_give_or_take_one() {
    let owners = found(&servers(&[("a", 7), ("b", 7), ("c", 6)]), 2003);
    let mut counts: BTreeMap<&ServerId, usize> = BTreeMap::new();
    owners.iter().for_each(|owner| *counts.entry(owner).or_default() += 1);
    assert_eq!((owners.len(), counts.len()), (2003, 20));
    assert!(counts.values().all(|count| (100..=101).contains(count)));
    let runs = owners.windows(2).filter(|pair| pair[0] != pair[1]).count() + 1;
    assert_eq!(runs, 20, "each server gets adjacent slots");
}

#[test]
fn order_of_the_servers_does_not_matter() {
    let mut servers = servers(&[("a", 3), ("b", 2)]);
    let owners = found(&servers, 50);
    servers.reverse();
    assert_eq!(found(&servers, 50), owners);
}

#[test]
fn few_slots_lie_in_all_cells() {
    let owners = found(&servers(&[("a", 5), ("b", 5), ("c", 5)]), 3);
    let owners: Vec<_> = owners.iter().map(ServerId::as_str).collect();
    assert_eq!(owners, ["a-0", "b-0", "c-0"]);
}

#[test]
fn without_servers_nobody_owns_a_slot() {
    assert_eq!(found(&[], 10), []);
    assert_eq!(found(&servers(&[("a", 1)]), 0), []);
}
