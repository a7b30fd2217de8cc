//! A host that is cut off from the store, or from most servers.

use std::time::{Duration, Instant};

use jacinthbeam_range::{
    Event, Grantor, Key, KeyRange, Map,
    demand::LoadReport,
    grantor::{longest_hold, timing},
};
use jacinthbeam_types::prelude::*;

use crate::play::*;

/// A host grants to three servers, and five more have just come to the list.
fn play_that_five_join() -> Play {
    let mut play = Play::among(3, 1, None, &[]);
    play.run(Duration::from_secs(2));
    for n in 4..=8 {
        play.servers.insert(server(n, false));
    }
    play
}

/// The same five are given the keys of a lost server by a record that is on its way, and have left the list since.
fn play_whose_five_have_left() -> (Play, Instant) {
    let mut play = play_that_five_join();
    play.silent.push(server(1, false).id);
    while !play.feed_without_store(Event::Tick) {
        play.now += TICK;
        assert!(play.sent.len() < 10_000, "no record is sent");
    }
    for n in 4..=8 {
        play.servers.remove(&server(n, false).id);
    }
    let cut = play.now;
    (play, cut)
}

/// A host is cut off from the store and from every other server than one, which nobody else reaches. It stops to renew before a
/// successor, which has the others, gives that one's keys away.
#[test]
fn a_host_without_most_servers_stops_early() {
    let mut play = Play::among(2, 1, None, &[]);
    play.run(Duration::from_secs(2));
    let cut = play.now;
    play.silent = vec![server(2, false).id];
    play.sent.clear();
    play.run_without_store(Duration::from_secs(6));
    assert!(play.last_grant_to(1) <= cut + timing::MAJORITY_VALID_FOR);
}

/// The store is lost while a record that names new owners is on its way. It may have been kept: a successor then asks the new owners,
/// which know nothing of this host. The word of the old ones must not let this host renew for longer than without them.
#[test]
fn owners_of_a_record_in_doubt_count_too() {
    let mut play = play_that_five_join();
    play.servers.insert(server(1, true));
    play.run(Duration::from_millis(200));
    let cut = play.now;
    for (range, token) in std::mem::take(&mut play.releases) {
        play.feed_without_store(Event::Released { range, token, handover: Ok(None) });
        play.feed_without_store(Event::NotRecorded);
    }
    play.sent.clear();
    play.run_without_store(Duration::from_secs(6));
    assert!(play.last_grant_to(2) <= cut + timing::MAJORITY_VALID_FOR);
}

/// The same with a record whose new owners have left the list since. The next record would name others, but the one in doubt may
/// still be the one that a successor finds.
#[test]
fn a_record_in_doubt_counts_until_a_later_one_is_kept() {
    let (mut play, cut) = play_whose_five_have_left();
    play.feed_without_store(Event::NotRecorded);
    play.run_without_store(Duration::from_secs(4));
    assert!(cut < play.last_grant_to(1) + timing::CONFIRMATION_VALID_FOR);
    assert!(play.last_grant_to(2) <= cut);
}

/// The same while answers to records are lost and reads are answered, so that the host writes one record after the other before it is cut
/// off. Each of them may have been kept, the first one too.
#[test]
fn each_record_in_doubt_counts() {
    let (mut play, cut) = play_whose_five_have_left();
    for _ in 0..3 {
        play.feed_without_store(Event::NotRecorded);
        let map = play.map.clone();
        play.feed_without_store(Event::Read { sent_at: cut, map });
    }
    play.run_without_store(Duration::from_secs(6));
    assert!(play.last_grant_to(2) <= cut + timing::MAJORITY_VALID_FOR);
}

/// The store is away, and most servers take the host's grants. No other host can have them, so it goes on for longer than
/// without their word.
#[test]
fn a_host_with_most_servers_goes_on_without_the_store() {
    let mut play = Play::among(3, 1, None, &[3]);
    play.run(Duration::from_secs(1));
    let cut = play.now;
    play.run_without_store(Duration::from_secs(12));
    assert!(play.last_grant_to(1) > cut + timing::MAJORITY_VALID_FOR * 2);
    assert!(play.last_grant_to(1) <= cut + timing::CONFIRMATION_VALID_FOR);
}

/// The store is away. Grants go on for as long as no other host could have taken over unnoticed, and end then.
#[test]
fn renewals_end_with_the_last_confirmation() {
    let mut play = Play::leading();
    let confirmed = play.now;
    play.sent.clear();
    let view_ends = confirmed + timing::CONFIRMATION_VALID_FOR + timing::CHECK_EVERY;
    play.run_without_store(view_ends + Duration::from_secs(5) - play.now);
    let last = play.last_grant_to(1);
    assert!(
        last > confirmed + timing::CONFIRMATION_VALID_FOR
            - timing::CHECK_EVERY
            - timing::RENEW_EVERY * 2
    );
    assert!(last <= confirmed + timing::CONFIRMATION_VALID_FOR);
}

/// Two servers hold the same keys, and an order for one of them runs on each.
///
/// A lost server's keys were given to another one by a record that got no answer. It may be kept. Then the other one leaves the
/// list, so that there is nobody to give them to, and the lost one comes back. Granted its keys again, it would hold them beside the other, which
/// gets them as soon as the record is read back.
#[test]
fn keys_that_a_record_in_doubt_gives_away_go_to_nobody() {
    for returns in [false, true] {
        let mut play = Play::leading();
        play.silent.push(server(1, false).id);
        // The store answers until shortly before the hold has run out.
        play.run(timing::GIVE_UP_AFTER);
        play.run((play.last_grant_to(1) + longest_hold()).duration_since(play.now) - TICK * 2);
        let sent = (0..20).any(|_| {
            play.now += TICK;
            play.feed_without_store(Event::Tick)
        });
        assert!(sent, "no record gives the keys away");
        let last = play.last_grant_to(1);
        play.servers.remove(&server(2, false).id);
        play.feed_without_store(Event::NotRecorded);
        if returns {
            play.servers.remove(&server(1, false).id);
            play.run_without_store(Duration::from_millis(200));
            play.servers.insert(server(1, false));
        }
        play.silent.clear();
        play.run_without_store(Duration::from_secs(2));
        assert_eq!(play.last_grant_to(1), last, "returns: {returns}");
        // With the store back the doubt is settled by one more record, and the lost server, which is the only one, goes on.
        play.feed(Event::NotRecorded);
        play.run(Duration::from_secs(5));
        assert!(play.last_grant_to(1) > play.now - Duration::from_secs(1), "returns: {returns}");
    }
}

/// Some keys are busy, and all requests for them are refused for as long as the store takes no records of this host.
///
/// The host takes busy keys off their owner, and the record that names the next one is not kept. Nobody has them until one is. Then
/// other keys are busy, and each look at the balance adds some of them.
#[test]
fn busy_keys_stay_with_their_owners_while_records_are_not_kept() {
    let mut play = Play::among(4, 1, None, &[]);
    play.run(Duration::from_secs(2));
    let busy = |play: &mut Play, first: u16| {
        let keys = (first..first + 40).map(|key| (Key(key), 2)).collect();
        let report = LoadReport { keys, ..LoadReport::default() };
        play.feed_without_store(Event::Load { from: "h9".parse().unwrap(), report });
        play.run_without_store(Duration::from_millis(250));
    };
    while play.releases.is_empty() {
        busy(&mut play, 0);
    }
    for (range, token) in std::mem::take(&mut play.releases) {
        play.feed_without_store(Event::Released { range, token, handover: Ok(None) });
    }
    play.feed_without_store(Event::NotRecorded);
    (0..12).for_each(|_| busy(&mut play, 40_000));
    assert_eq!(play.releases, []);

    // Balance goes on once a record is kept.
    play.feed(Event::NotRecorded);
    (0..12).for_each(|_| busy(&mut play, 40_000));
    assert!(!play.releases.is_empty());
}

/// Most owners are silent although they are listed: this host is cut off. It takes no keys away and lets another try.
#[test]
fn a_host_that_reaches_too_few_gives_the_duty_back() {
    let mut play = Play::new(1, None);
    for n in 3..=6 {
        play.servers.insert(server(n, false));
    }
    play.run(Duration::from_secs(2));
    let mut first = Map::unowned();
    for (n, range) in KeyRange::ALL.split_evenly(6).into_iter().enumerate() {
        let server = server(n as u16 + 1, false);
        let owner = jacinthbeam_range::Owner { server: server.id, addr: server.addr };
        first.assign(range, Some(owner), Token(0), None);
    }
    let mut play = Play { grantor: Grantor::new("tiles".parse().unwrap(), leader(1)), ..play };
    play.map = Some(first.clone());
    play.feed(Event::Duty(true));
    play.feed(Event::Read { sent_at: play.now, map: Some(first) });
    play.run(Duration::from_secs(2));
    play.silent = (1..=4).map(|n| server(n, false).id).collect();
    play.until(|play| play.resigned);
    assert!(!play.grantor.leads());
    assert_eq!(play.map.as_ref().unwrap().leader, None);
    assert!((1..=6).all(|n| play.keys_of(n) > 0));
}
