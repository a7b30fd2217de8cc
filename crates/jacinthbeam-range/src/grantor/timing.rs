//! Every time span of granting, and why it has that length.

use std::time::Duration;

/// How long a grant lasts from its arrival.
///
/// Keys of a server that fell silent are unserved for this long at the least, which asks for a short one. It has to outlast
/// the loss of the granting host: a lease in the store's group of 1.5 s that runs out, half a second until the successor
/// hears of its duty, a claim and its grants, together some 2.5 s, after up to [`RENEW_EVERY`].
pub const HOLD: Duration = Duration::from_millis(3300);

/// A backend server's clock may run this much slow, so that a hold lasts longer than it says.
pub const CLOCK_DRIFT_FACTOR: f64 = 1.02;

/// Added to each wait for the end of a hold, for what passes between a clock's reading and the use made of it.
pub const MARGIN: Duration = Duration::from_millis(200);

/// Pause between two grants of the same keys: five in a hold, so that four lost in a row cost nothing.
pub const RENEW_EVERY: Duration = Duration::from_millis(600);

/// Longest such pause, on a map of many ranges: three grants in a hold, so that two may be lost in a row.
const MAX_RENEW_EVERY: Duration = Duration::from_millis(1050);

/// Ranges that are renewed in a millisecond, above [`RENEW_EVERY`]: 667 calls a second. At 1,800 calls a second, for 1,100 ranges each 0.6 s, a
/// host with a fifth of a core did nothing else and heard of a configuration 3.8 s late.
const RANGES_PER_MS: f64 = 0.667;

/// Pause between two grants of the same keys on a map of so many ranges.
pub fn renew_every(ranges: usize) -> Duration {
    let paced = Duration::from_secs_f64(ranges as f64 / RANGES_PER_MS / 1000.0);
    paced.clamp(RENEW_EVERY, MAX_RENEW_EVERY)
}

/// How long a host goes on renewing after the store last confirmed that nobody replaced it.
///
/// Longer lets keys outlive a longer outage of the store (this and [`HOLD`] together, 15 s). A successor waits for it where it
/// can't get most owners; else [`MAJORITY_VALID_FOR`] counts.
pub const CONFIRMATION_VALID_FOR: Duration = Duration::from_secs(12);

/// How long a host goes on renewing after most owners took its grants, if the store has not confirmed it since.
///
/// Two rounds of renewals may be lost, each with the time of a call that gets no answer. A successor waits for it, so each
/// second of it is a second in which the keys of a dead server are not served.
pub const MAJORITY_VALID_FOR: Duration = Duration::from_millis(1800);

/// A call that was sent before a host stopped arrives within this, or its connection is reset: the time that a grant is waited
/// for, and some of the host's own.
pub const MAX_CALL_TIME: Duration = Duration::from_millis(800);

/// For this long a host that was replaced tells its successor so, at each tick: datagrams are lost now and then.
pub const NOTIFY_SUCCESSOR_FOR: Duration = Duration::from_millis(1000);

/// Age of that confirmation at which a new one is asked for: a small part of [`CONFIRMATION_VALID_FOR`], for two thirds of a call a second.
pub const CHECK_EVERY: Duration = Duration::from_millis(1500);

/// Pause between two such questions while a new connection waits for the answer: half a tick, so that a server that starts again
/// under its name has its keys back some 0.1 s after the connection to it.
pub const CHECK_EVERY_WHILE_CONNECTING: Duration = Duration::from_millis(50);

/// A server that answered no grant for this long counts as lost, and its hold is left to run out. A restart of the network
/// path or a full accept queue takes up to a second.
pub const GIVE_UP_AFTER: Duration = Duration::from_millis(1000);

/// Pause before a server that gave no answer is asked again.
pub const GRANT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Pause between two looks at the balance of load.
pub const BALANCE_EVERY: Duration = Duration::from_millis(400);

/// Ranges that one look moves at the most among a few owners. Each is three calls, and its keys are away while their requests end.
const MIN_MOVES_AT_ONCE: usize = 8;

/// Owners for each such move among many. Hot keys that lie side by side come to as many owners as there are keys, and are hot for some
/// seconds: among 442 owners eight moves in a look spread 200 keys over 35 within 2.5 s, one for eight owners over 100, and one for five or
/// two owners no more, since the owners that give them up have to answer what they had (`tests/onset.rs`).
const OWNERS_PER_MOVE: usize = 8;

/// Ranges that one look moves at the most.
pub fn moves_at_once(owners: usize) -> usize {
    (owners / OWNERS_PER_MOVE).max(MIN_MOVES_AT_ONCE)
}

/// Releases that may be under way among a few owners; the answer of one comes only when the running requests of its keys have ended.
const MIN_RELEASES_AT_ONCE: usize = 48;

/// Releases that may be under way: four looks' moves, since the answer of a busy owner takes up to two seconds.
pub fn releases_at_once(owners: usize) -> usize {
    (moves_at_once(owners) * 4).max(MIN_RELEASES_AT_ONCE)
}

/// A range that has just moved is left alone for this long: its owner's load is not yet known.
pub const MOVE_COOLDOWN: Duration = Duration::from_millis(1500);

/// A host that gave the duty back since it reaches too few servers leaves it to the others for this long: the others' claim
/// and first grants take some 3 s.
pub const RESIGN_COOLDOWN: Duration = Duration::from_secs(5);

/// Pause before a claim is tried again.
pub const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Ranges for each owner above which neighbours of one owner are joined: each range is a call every [`RENEW_EVERY`].
pub const MERGE_ABOVE_RANGES_PER_OWNER: usize = 4;
