use jacinthbeam_native::format::backend::SlotSet;
use jacinthbeam_types::prelude::*;

#[test]
fn equal_sets_of_slots_compare_equal_however_written() {
    let joined: SlotSet = serde_json::from_str("[[3,4],[4,6],[9,10]]").unwrap();
    let collected: SlotSet = [9, 5, 4, 3].into_iter().map(SlotId).collect();
    assert_eq!(joined, collected);
    assert_eq!(serde_json::to_string(&joined).unwrap(), "[[3,6],[9,10]]");
    assert!(joined.contains(SlotId(5)) && !joined.contains(SlotId(6)));
}
