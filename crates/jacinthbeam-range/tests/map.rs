//! Maps, and what one says otherwise than another.

use arbtest::{arbitrary, arbtest};
use jacinthbeam_range::{Key, KeyRange, Leader, Map, Owner};
use jacinthbeam_types::prelude::*;

fn owner(n: u8) -> Owner {
    Owner {
        server: format!("s{n}").parse().unwrap(),
        addr: format!("127.0.0.1:{}", 1000 + u16::from(n)).parse().unwrap(),
    }
}

/// One step of a granting host: some ranges get other owners or none, and neighbours are joined at times.
fn step(u: &mut arbitrary::Unstructured<'_>, map: &Map) -> arbitrary::Result<Map> {
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

/// A host that has an earlier map and is told what changed has the later one, over one step or several at once.
#[test]
fn changes_lead_from_one_map_to_the_next() {
    arbtest(|u| {
        let first = step(u, &Map::unowned())?;
        let second = step(u, &first)?;
        let third = step(u, &second)?;
        let delta = second.delta(first.revision(), &second.changed_ranges_since(&first));
        assert_eq!(first.apply(&delta).as_ref(), Some(&second));
        assert_eq!(third.apply(&delta), None, "told against another map");
        let both = third.delta(first.revision(), &third.changed_ranges_since(&first));
        assert_eq!(first.apply(&both).as_ref(), Some(&third));
        Ok(())
    });
}

/// The measure of churn, against its plain definition key by key.
#[test]
fn moved_keys_are_those_with_another_owner() {
    arbtest(|u| {
        let first = step(u, &Map::unowned())?;
        let second = step(u, &first)?;
        let moved = (0..=u16::MAX).map(Key).filter(|key| {
            let (before, now) = (&first.lookup(*key).owner, &second.lookup(*key).owner);
            before.is_some() && before != now
        });
        assert_eq!(second.moved_since(&first) as usize, moved.count());
        Ok(())
    })
    .budget_ms(300);
}

/// A map of 442 owners in 2,500 ranges has 90 KB. A granting host that moves eight keys tells a few hundred bytes of it.
#[test]
fn a_few_moves_on_a_large_map_are_told_in_few_bytes() {
    let mut map = Map::unowned();
    map.begin_epoch(Leader {
        host: "h1".parse().unwrap(),
        incarnation: Incarnation(1),
        addr: "127.0.0.1:1".parse().unwrap(),
    });
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
