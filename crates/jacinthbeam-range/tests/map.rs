//! Ownership maps and the deltas between them.

use arbtest::{arbitrary, arbtest};
use jacinthbeam_range::{Key, KeyRange, Leader, Map, Owner};
use jacinthbeam_types::prelude::*;

fn owner(n: u8) -> Owner {
    Owner {
        server: format!("s{n}").parse().unwrap(),
        addr: format!("127.0.0.1:{}", 1000 + u16::from(n)).parse().unwrap(),
    }
}

/// The next map of a leader: some ranges get other owners or none, and adjacent ranges are sometimes
/// merged.
fn next_map(u: &mut arbitrary::Unstructured<'_>, map: &Map) -> arbitrary::Result<Map> {
    let mut next = map.clone();
    for _ in 0..u.int_in_range(1..=5)? {
        let (a, b) = (u.arbitrary::<u16>()?, u.int_in_range(0..=4000)?);
        let range = KeyRange { first: Key(a), last: Key(a.saturating_add(b)) };
        let to = if u.ratio(1, 8)? { None } else { Some(owner(u.int_in_range(0..=9)?)) };
        let token = Token(u.int_in_range(1..=4)?);
        let handover = if u.arbitrary()? { Some("warm".to_owned()) } else { None };
        next.assign(range, to, token, handover);
    }
    if u.arbitrary()? {
        next.merge_adjacent();
    }
    next.version += 1;
    Ok(next)
}

/// Guards against replicas that differ from the leader's map after they apply a delta, which may span one
/// version or several.
#[test]
fn applying_a_delta_results_in_the_later_map() {
    arbtest(|u| {
        let first = next_map(u, &Map::unowned())?;
        let second = next_map(u, &first)?;
        let third = next_map(u, &second)?;
        let delta = second.delta(first.revision(), &second.changed_ranges_since(&first));
        assert_eq!(first.apply(&delta).as_ref(), Some(&second));
        assert_eq!(third.apply(&delta), None, "the delta is for another map");
        let both = third.delta(first.revision(), &third.changed_ranges_since(&first));
        assert_eq!(first.apply(&both).as_ref(), Some(&third));
        Ok(())
    });
}

/// Compares the count of moved keys, computed by ranges, with its definition key by key.
#[test]
fn moved_keys_are_those_with_another_owner() {
    arbtest(|u| {
        let first = next_map(u, &Map::unowned())?;
        let second = next_map(u, &first)?;
        let moved = (0..=u16::MAX).map(Key).filter(|key| {
            let (before, now) = (&first.lookup(*key).owner, &second.lookup(*key).owner);
            before.is_some() && before != now
        });
        assert_eq!(second.moved_since(&first) as usize, moved.count());
        Ok(())
    })
    .budget_ms(300);
}

/// Guards against sending whole maps: that of 442 owners in 2,500 ranges takes 90 KB. The delta of a leader
/// that moves eight keys takes a few hundred bytes.
#[test]
fn delta_of_a_few_moves_on_a_large_map_is_small() {
    let mut map = Map::unowned();
    let leader = Leader {
        host: "h1".parse().unwrap(),
        incarnation: Incarnation(1),
        addr: "127.0.0.1:1".parse().unwrap(),
    };
    map.begin_epoch(leader, Era(0));
    for (n, range) in KeyRange::ALL.split_evenly(2500).into_iter().enumerate() {
        map.assign(range, Some(owner((n % 200) as u8)), Token(n as u64), None);
    }
    let mut next = map.clone();
    for n in 0..8 {
        let key = Key(n * 8000 + 13);
        next.assign(KeyRange { first: key, last: key }, Some(owner(250)), Token(9999), None);
    }
    next.version += 1;
    let delta = next.delta(map.revision(), &next.changed_ranges_since(&map));
    let bytes = bincode::serde::encode_to_vec(&delta, bincode::config::standard()).unwrap();
    assert!(bytes.len() * 50 < next.to_bytes().len(), "{} bytes", bytes.len());
}
