//! Rules by which a new keeper judges whether a slot's memory is all there was.

use std::net::SocketAddr;

use jacinthbeam_entry::process::memory::judge::{Judgement, Source, Word, judge};
use jacinthbeam_peer::message::{Claim, KnownSlot};
use jacinthbeam_types::prelude::*;

fn claim(epoch: u64, token: u64, round: u32, server: &str) -> Claim {
    let server = server.parse().unwrap();
    Claim { epoch: Epoch(epoch), token: Token(token), round, server }
}

fn host(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn word(number: u16, highest: Option<&Claim>, covered: Option<&Claim>) -> Word {
    let known = KnownSlot {
        slot: SlotId(1),
        highest: highest.cloned(),
        covered: covered.cloned(),
        unused: None,
        lost: None,
    };
    Word { host: Some(host(number)), known }
}

fn kept(before: u64) -> Source {
    Source::Kept { before: Token(before), founded: false }
}

#[test]
fn the_last_claim_must_be_covered() {
    // The attendant with token 5 died. Its first successor was replaced by another one, which died too; the
    // first one still holds what it had until then.
    let own = claim(10, 6, 0, "b");
    let (old, last) = (claim(10, 5, 1, "b"), claim(10, 5, 2, "b"));
    let stale = word(1, Some(&last), Some(&old));
    assert_eq!(judge(&own, &kept(5), std::slice::from_ref(&stale), false), Judgement::Lost);
    let fresh = word(2, Some(&last), Some(&last));
    let covered = Judgement::Covered(vec![Some(host(2))]);
    assert_eq!(judge(&own, &kept(5), &[stale, fresh], false), covered);
}

#[test]
fn a_token_that_nobody_has_heard_of_means_loss() {
    // The server says that token 5 was the last. The only copy is of token 4: attendant 5 and its successor are both gone.
    let own = claim(10, 6, 0, "b");
    let old = claim(10, 4, 1, "b");
    assert_eq!(judge(&own, &kept(5), &[word(1, Some(&old), Some(&old))], false), Judgement::Lost);
    assert_eq!(judge(&own, &kept(5), &[], false), Judgement::Lost);
}

#[test]
fn a_token_that_its_holder_did_not_use_is_skipped() {
    // Two hosts take over one after the other, before the first could gather. It says that it has sent nothing.
    let own = claim(10, 6, 0, "b");
    let (last, unused) = (claim(10, 4, 1, "b"), claim(10, 5, 0, "b"));
    let words = [word(1, Some(&unused), None), word(2, Some(&last), Some(&last))];
    assert_eq!(judge(&own, &kept(5), &words, false), Judgement::Lost);
    let covered = Judgement::Covered(vec![Some(host(2))]);
    assert_eq!(judge(&own, &kept(5), &words, true), covered);
    let mut words = words;
    words[0].known.unused = Some(unused);
    assert_eq!(judge(&own, &kept(5), &words, false), covered);
}

#[test]
fn a_later_claim_stops_the_earlier_keeper() {
    let own = claim(10, 6, 0, "b");
    let later = claim(10, 7, 0, "b");
    assert_eq!(judge(&own, &kept(5), &[word(1, Some(&later), None)], false), Judgement::Overtaken);
    assert_eq!(
        judge(&own, &Source::Fresh, &[word(1, Some(&later), None)], false),
        Judgement::Overtaken
    );
}

#[test]
fn memory_of_a_moved_slot_must_be_that_of_the_owner_before() {
    // The slot went from `a` to `b` and to `a` again. Copies of the first stretch are whole, but not the last word.
    let own = claim(30, 6, 0, "a");
    let from = |server: &str| Source::From { server: Some(server.parse().unwrap()), hosts: vec![] };
    let (first, second) = (claim(10, 5, 1, "a"), claim(20, 2, 1, "b"));
    let words = [word(1, Some(&first), Some(&first))];
    assert_eq!(judge(&own, &from("b"), &words, false), Judgement::Lost);
    let words = [words[0].clone(), word(2, Some(&second), Some(&second))];
    let covered = Judgement::Covered(vec![Some(host(2))]);
    assert_eq!(judge(&own, &from("b"), &words, false), covered);
    let unknown = Source::From { server: None, hosts: vec![] };
    assert_eq!(judge(&own, &unknown, &words, false), Judgement::Lost);
}

#[test]
fn a_slot_that_nobody_owned_has_no_memory() {
    let own = claim(10, 6, 0, "b");
    assert_eq!(judge(&own, &Source::Fresh, &[], false), Judgement::Empty);
    let founded = Source::Kept { before: Token(5), founded: true };
    assert_eq!(judge(&own, &founded, &[], false), Judgement::Lost);
    assert_eq!(judge(&own, &founded, &[], true), Judgement::Empty);
}
