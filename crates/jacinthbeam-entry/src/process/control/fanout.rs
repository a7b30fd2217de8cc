//! Which hosts of a cell read the control stream from the log itself, and how the others read through these.
//!
//! Two hosts of each cell read the log, whatever the size of the cell; the others read through one of them. A host whose
//! relay fails, lags or refuses reads the log itself at once, so a relay that is cut off stops nobody.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_lease::Timing;
use jacinthbeam_native::log::read::{Batch, Error, Record};
use jacinthbeam_peer::message::{Answer, Question, Records};
use jacinthbeam_types::{key::rendezvous_weight, prelude::*};

use super::{
    Control, Event,
    event::Source,
    relay::{MAX_ANSWER, MAX_WAIT, Wanted},
};
use crate::process::dump::LogReads;

/// Hosts of a cell that read the log itself. With two, one may be lost or cut off and the others still have a relay.
const READERS: usize = 2;
/// Subject by which these are picked.
const SUBJECT: &str = "control stream";
/// Time beyond the wait for an answer to arrive. With the wait it must be short against the lease: so long a dead
/// relay leaves its readers without a new proof.
const ON_THE_WAY: Duration = Duration::from_millis(100);
/// How long a relay that failed is left alone; twice as long each time until it answers again.
const AVOID: Duration = Duration::from_secs(2);
/// Longest time that a relay is left alone. During an outage of the log all relays refuse, and asking them only costs time.
const MAX_AVOID: Duration = Duration::from_secs(16);

/// Relays that are avoided, and what was read by which way.
#[derive(Debug, Default)]
pub struct Ways {
    avoid: BTreeMap<SocketAddr, Avoided>,
    reads: LogReads,
}

/// A relay that failed.
#[derive(Debug, Clone, Copy)]
struct Avoided {
    until: Instant,
    pause: Duration,
}

impl Ways {
    /// Notes a read that succeeded.
    pub fn succeeded(&mut self, source: &Source) {
        match source {
            Source::Log => self.reads.direct += 1,
            Source::Relay { addr, .. } => {
                self.avoid.remove(addr);
                self.reads.relayed += 1;
            }
        }
    }

    /// Notes a relay that failed.
    pub fn failed(&mut self, now: Instant, addr: SocketAddr) {
        // Those of hosts that are gone would pile up.
        self.avoid.retain(|_, avoided| now < avoided.until + MAX_AVOID);
        let before = self.avoid.get(&addr).map_or(AVOID / 2, |avoided| avoided.pause);
        let pause = (before * 2).min(MAX_AVOID);
        self.avoid.insert(addr, Avoided { until: now + pause, pause });
        self.reads.fallbacks += 1;
    }

    /// Whether a relay is left alone.
    pub fn avoids(&self, now: Instant, addr: SocketAddr) -> bool {
        self.avoid.get(&addr).is_some_and(|avoided| now < avoided.until)
    }
}

impl Control {
    /// Where the next read goes: to the log itself, or to a relay.
    pub(super) fn next_source(&self, now: Instant) -> Source {
        // Without a proof of its own the host may be far behind, and its relay would not have the records any more.
        if !self.follow.is_plain() || self.proofs.log(&self.state).is_none() {
            return Source::Log;
        }
        let ranked = self.members.ranked(now, SUBJECT);
        let readers = &ranked[..ranked.len().min(READERS)];
        if readers.iter().any(|heard| heard.host == self.me.host) {
            return Source::Log;
        }
        // Each reader serves about half of the others.
        let usable = readers.iter().filter(|heard| !self.ways.avoids(now, heard.peer_address));
        let weight = |host: &HostId| rendezvous_weight(self.me.host.as_str(), host.as_str());
        let picked = usable.max_by_key(|heard| (weight(&heard.host), &heard.host));
        picked.map_or(Source::Log, |heard| Source::Relay {
            host: heard.host.clone(),
            addr: heard.peer_address,
        })
    }

    /// Reads through a relay.
    pub(super) fn read_through(&self, host: HostId, addr: SocketAddr, pause: Duration) {
        let from = self.state.next;
        let peers = self.peers.clone();
        let clock = self.clock.clone();
        let timing = self.timing;
        let question = Question::ReadLog { from, max_bytes: MAX_ANSWER, wait: MAX_WAIT };
        self.spawn_event(async move {
            tokio::time::sleep(pause).await;
            let asked = clock.now();
            let outcome = match peers.ask(addr, &question, MAX_WAIT + ON_THE_WAY).await {
                Ok(Answer::Records(records)) => Ok(records),
                Ok(Answer::Failed { why }) => Err(Error::Down(why)),
                Ok(_) => Err(Error::Down("it answered something else".into())),
                Err(err) => Err(Error::Down(err.to_string())),
            };
            let age = outcome.as_ref().map_or(Duration::ZERO, |records| records.proof_age);
            let (started, outcome) = match proof_time(asked, age, &timing) {
                Some(started) => (started, outcome.and_then(|records| batch(from, records))),
                None => (asked, Err(Error::Down("its proof is too old".into()))),
            };
            Some(Event::Read { source: Source::Relay { host, addr }, started, outcome })
        });
    }

    /// A relay did not answer with records. The log itself is asked at once, and the relay left alone for a while.
    pub(super) fn relay_failed(&mut self, host: &HostId, addr: SocketAddr, err: &Error) {
        log::info!("log: reads by itself, not through {host}: {err}");
        self.ways.failed(self.clock.now(), addr);
    }

    /// Another host wants to read through this one.
    pub(super) fn asked_to_read(&mut self, wanted: Wanted) {
        if self.follow.source() != &Source::Log || !self.follow.is_plain() {
            return wanted.refuse("this host does not read the log itself at present");
        }
        if self.follow.failures() > 0 {
            return wanted.refuse("this host can't read the log at present");
        }
        self.relay.ask(self.clock.now(), wanted);
    }

    /// Reads of the stream since the start.
    pub(super) fn log_reads(&self) -> LogReads {
        LogReads { relayed_for_others: self.relay.answered(), ..self.ways.reads }
    }
}

/// The time that a relayed read proves; `None` if it lies before the start of this machine's clock.
///
/// Two clocks are involved: the age was taken by the other one, which may run slower than true time, and this one faster.
pub fn proof_time(asked: Instant, age: Duration, timing: &Timing) -> Option<Instant> {
    let drift = age.saturating_sub(timing.shrink(age));
    asked.checked_sub(age.saturating_add(drift))
}

/// Takes a relay's records as a read of the log.
///
/// The offsets have to be consecutive from the one asked for, as in an answer of the log itself: a gap would make this host
/// fold another history than its peers.
pub fn batch(from: Offset, answer: Records) -> Result<Batch, Error> {
    let Records { records, earliest, end, .. } = answer;
    let consecutive = (from.0..).zip(&records).all(|(due, (offset, _))| offset.0 == due);
    if !consecutive {
        return Err(Error::Down(format!("its records are not those from {from} on")));
    }
    let record = |(offset, bytes): (Offset, Vec<u8>)| Record { offset, bytes: bytes.into() };
    Ok(Batch { records: records.into_iter().map(record).collect(), end, earliest })
}
