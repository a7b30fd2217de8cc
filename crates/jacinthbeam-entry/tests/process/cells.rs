use jacinthbeam_entry::process::control::cells::CellBook;
use jacinthbeam_native::format::hosts::{EntryHost, HostList};
use jacinthbeam_state::{Envelope, Record, RecordId, State, witness::Witness};
use jacinthbeam_types::prelude::*;

fn list(hosts: &[(&str, &str, u8)]) -> HostList {
    let host = |(id, cell, last): &(&str, &str, u8)| EntryHost {
        id: id.parse().expect("a name"),
        cell: cell.parse().expect("a name"),
        peer_address: ([10, 0, 0, *last], 8081).into(),
        leaving: false,
    };
    HostList { entry_hosts: hosts.iter().map(host).collect(), backend_servers: Vec::new() }
}

fn name_witness(state: &mut State, cell: &str, last: u8) {
    let cell: CellId = cell.parse().expect("a name");
    let witness = Witness {
        host: format!("entry-{last}").parse().expect("a name"),
        incarnation: Incarnation(u64::from(last)),
        peer_address: ([10, 0, 0, last], 8081).into(),
    };
    let base = state.cells.get(&cell).map(|set| set.epoch);
    let retired = state.cells.get(&cell).map(|set| set.members.clone()).unwrap_or_default();
    let record = Record::Witnesses {
        cell,
        base,
        members: vec![witness],
        retired: retired.iter().map(|witness| witness.incarnation).collect(),
    };
    let id = RecordId { incarnation: Incarnation(1), sequence: state.next.0 };
    let envelope = Envelope { id, why: "tested".into(), record };
    let outcome = state.apply(state.next, &envelope).expect("a record of this release");
    assert!(outcome.is_applied(), "{outcome}");
}

#[test]
fn addresses_follow_the_list_and_the_witnesses_and_are_made_anew_only_then() {
    let mut state = State::new();
    let mut book = CellBook::default();
    let last = |book: &CellBook, cell: &str| -> Vec<String> {
        let cell: CellId = cell.parse().expect("a name");
        book.of(&cell).iter().map(ToString::to_string).collect()
    };
    assert!(!book.refresh(&HostList::default(), &state));

    let first = list(&[("entry-1", "a", 1), ("entry-2", "b", 2)]);
    book.list_changed();
    assert!(book.refresh(&first, &state));
    assert!(!book.refresh(&first, &state), "nothing has changed");
    assert_eq!(last(&book, "a"), ["10.0.0.1:8081"]);

    // A cell that the list does not show is still known by its witnesses.
    name_witness(&mut state, "c", 3);
    assert!(book.refresh(&first, &state));
    assert_eq!(last(&book, "c"), ["10.0.0.3:8081"]);
    // The same cell with another set.
    name_witness(&mut state, "c", 4);
    assert!(book.refresh(&first, &state));
    assert_eq!(last(&book, "c"), ["10.0.0.4:8081"]);
    assert!(!book.refresh(&first, &state));

    book.list_changed();
    assert!(book.refresh(&list(&[("entry-2", "b", 9)]), &state));
    assert_eq!(last(&book, "a"), [""; 0]);
    assert_eq!(last(&book, "b"), ["10.0.0.9:8081"]);
}
