//! Durations and limits of granting, and the reason for each.

use std::time::Duration;

/// Duration of a grant, counted from its arrival at the server.
///
/// The keys of a server that fell silent are unserved for at least this long, so it should be
/// short. It must outlast the loss of the granting host: a lease of 1.5 s in the store's consumer
/// group that expires, half a second until the successor learns of its duty, and a claim and its
/// grants, together some 2.5 s, after up to [`RENEW_EVERY`].
pub const HOLD: Duration = Duration::from_millis(3300);

/// A backend server's clock may run slow by this factor, so that a hold lasts longer than its
/// nominal duration.
pub const CLOCK_DRIFT_FACTOR: f64 = 1.02;

/// Added to each wait for the end of a hold, for the time that passes between reading a clock and
/// acting on it.
pub const MARGIN: Duration = Duration::from_millis(200);

/// Interval between two grants of the same keys: five in a hold, so that losing four in a row has
/// no effect.
pub const RENEW_EVERY: Duration = Duration::from_millis(600);

/// Upper limit of that interval on a map of many ranges: three grants in a hold, so that two may be
/// lost in a row.
const MAX_RENEW_EVERY: Duration = Duration::from_millis(1050);

/// Ranges renewed per millisecond where [`RENEW_EVERY`] would be faster: 667 calls a second. On
/// larger maps, where [`MAX_RENEW_EVERY`] applies, the rate is higher.
///
/// On a host with a fifth of a core, renewing 1,100 ranges every 0.6 s (1,800 calls a second) left
/// no processor time for other work and delayed a configuration by 3.8 s.
const RANGES_PER_MS: f64 = 0.667;

/// Interval between two grants of the same keys on a map of `ranges` ranges.
pub fn renew_every(ranges: usize) -> Duration {
    let paced = Duration::from_secs_f64(ranges as f64 / RANGES_PER_MS / 1000.0);
    paced.clamp(RENEW_EVERY, MAX_RENEW_EVERY)
}

/// How long a leader may go on renewing after the store last confirmed that nobody replaced it.
///
/// A longer time lets keys outlive a longer outage of the store (this and [`HOLD`] together, 15 s).
/// A successor waits this long where it can't get grants to most owners; elsewhere
/// [`MAJORITY_VALID_FOR`] counts.
pub const CONFIRMATION_VALID_FOR: Duration = Duration::from_secs(12);

/// How long a leader may go on renewing after most owners accepted its grants, if the store has not
/// confirmed it since.
///
/// Long enough for two lost rounds of renewals, each with the timeout of a call. A successor waits
/// this long, and the keys of a dead server are not served meanwhile.
pub const MAJORITY_VALID_FOR: Duration = Duration::from_millis(1800);

/// Maximum time after sending a call until it has arrived or its connection is reset, also if the
/// sending host stops granting meanwhile: the timeout of a grant, and some time for the
/// host itself.
pub const MAX_CALL_TIME: Duration = Duration::from_millis(800);

/// For this long a host that was replaced notifies its successor at each tick, since datagrams are
/// lost now and then.
pub const NOTIFY_SUCCESSOR_FOR: Duration = Duration::from_millis(1000);

/// Age of the store's confirmation at which a new one is requested: a small part of
/// [`CONFIRMATION_VALID_FOR`], at a cost of two thirds of a call a second.
pub const CHECK_EVERY: Duration = Duration::from_millis(1500);

/// Interval between two such requests while a new connection waits for the answer: half a tick, so
/// that a server that restarts under its name has its keys back some 0.1 s after the connection to
/// it.
pub const CHECK_EVERY_WHILE_CONNECTING: Duration = Duration::from_millis(50);

/// A server that answered no grant for this long counts as lost, and its hold is left to expire. A
/// restart of the network path or a full accept queue takes up to a second.
pub const GIVE_UP_AFTER: Duration = Duration::from_millis(1000);

/// Delay before grants are sent again to a server that gave no answer.
pub const GRANT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Interval between two checks of the load balance.
pub const BALANCE_EVERY: Duration = Duration::from_millis(400);

/// Lower limit for the ranges that one balance check may move. Each move is three calls, and its
/// keys have no owner until the requests that run under them have ended.
const MIN_MOVES_AT_ONCE: usize = 8;

/// Number of owners for which a balance check may move one range, in a large deployment.
///
/// Adjacent hot keys are hot for some seconds only, and can be spread over as many owners as there
/// are keys. Among 442 owners, 200 such keys were spread within 2.5 s over 35 owners with eight
/// moves per check, and over 100 owners with one move per eight owners. One move per five or per
/// two owners reached no more, since owners must first answer the running requests of the keys that
/// they give up (`tests/onset.rs`).
const OWNERS_PER_MOVE: usize = 8;

/// Most ranges that one balance check may move among this many owners.
pub fn moves_at_once(owners: usize) -> usize {
    (owners / OWNERS_PER_MOVE).max(MIN_MOVES_AT_ONCE)
}

/// Lower limit for the releases that may be in flight. A release is answered only when the running
/// requests of its keys have ended.
const MIN_RELEASES_AT_ONCE: usize = 48;

/// Most releases that may be in flight among this many owners: the moves of four balance checks,
/// since the answer of a busy owner takes up to two seconds.
pub fn releases_at_once(owners: usize) -> usize {
    (moves_at_once(owners) * 4).max(MIN_RELEASES_AT_ONCE)
}

/// A range that has just moved is not moved again for this long, since the load of its new owner is
/// not yet known.
pub const MOVE_COOLDOWN: Duration = Duration::from_millis(1500);

/// A host that gave the duty back because it reaches too few servers leaves it to the others for
/// this long: their claim and first grants take some 3 s.
pub const RESIGN_COOLDOWN: Duration = Duration::from_secs(5);

/// Time since the last confirmation within which a leader may go on after the store was restored.
///
/// Within it no other leader, whose record would be lost, can have given the keys of a silent owner to
/// another server: that takes a majority of the owners, this long for the former leader's calls and for
/// the end of a hold, and then a record.
pub const CONTINUITY: Duration = Duration::from_secs(6);

/// Time from a restore of the store until no leader of a lost record can have renewed a grant that still
/// holds.
pub fn restore_wait() -> Duration {
    CONFIRMATION_VALID_FOR + MAX_CALL_TIME + super::longest_hold()
}

/// Delay before another claim is tried.
pub const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Ranges per owner above which neighbouring ranges of one owner are merged, since each range is a
/// call every [`RENEW_EVERY`].
pub const MERGE_ABOVE_RANGES_PER_OWNER: usize = 4;
