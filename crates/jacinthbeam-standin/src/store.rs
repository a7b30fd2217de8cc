//! A store: partitions of records, the newest of each key, groups that share partitions out.
//!
//! State and rules only. Time is handed in; whoever waits for a record looks again.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::{BufMut, Bytes, BytesMut};
use http::StatusCode;
use jacinthbeam_store::{Call, Error, Item, Page, Partition, Reply, Share};
use jacinthbeam_types::prelude::Offset;

/// Keys of one page of the newest records.
const PAGE: usize = 50;

/// One partition.
#[derive(Debug, Default)]
struct Log {
    records: Vec<Bytes>,
    /// Records before this one were deleted.
    first: u64,
    newest: BTreeMap<String, (u64, Bytes)>,
}

#[derive(Debug, Default)]
struct Group {
    generation: u64,
    /// Members and the ends of their leases.
    members: BTreeMap<String, Instant>,
}

/// A store in memory.
#[derive(Debug)]
pub struct Store {
    partitions: u32,
    logs: BTreeMap<Partition, Log>,
    groups: BTreeMap<String, Group>,
    turns_away: bool,
    /// Rises each time that the store goes back.
    era: u64,
    /// Records of one answer to a read at the most.
    most_read: usize,
    /// Calls so far, those that were turned away included.
    pub calls: u64,
}

impl Store {
    /// An empty store whose topics have this many partitions.
    pub fn new(partitions: u32) -> Self {
        Self {
            partitions,
            logs: BTreeMap::new(),
            groups: BTreeMap::new(),
            turns_away: false,
            era: 1,
            most_read: usize::MAX,
            calls: 0,
        }
    }

    /// Makes the store refuse every call, or serve again.
    pub fn turn_away(&mut self, turns_away: bool) {
        self.turns_away = turns_away;
    }

    /// Bounds the records of one answer to a read.
    pub fn bound_reads(&mut self, most: usize) {
        self.most_read = most;
    }

    /// Adds a record under a key; an empty value removes the key.
    pub fn put(&mut self, to: &Partition, key: &str, value: Bytes) -> Offset {
        let log = self.logs.entry(to.clone()).or_default();
        let mut record = BytesMut::new();
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(&value);
        let offset = log.records.len() as u64;
        log.records.push(record.freeze());
        match value.is_empty() {
            true => drop(log.newest.remove(key)),
            false => drop(log.newest.insert(key.to_owned(), (offset, value))),
        }
        Offset(log.records.len() as u64)
    }

    /// Deletes all records of a partition; the newest of each key stay.
    pub fn forget(&mut self, partition: &Partition) {
        if let Some(log) = self.logs.get_mut(partition) {
            log.first = log.records.len() as u64;
        }
    }

    /// The era that all answers state.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Comes back from an older copy: the last records of a topic's partitions are gone, `lost` in each, and their offsets are given out
    /// again. Groups lose their members.
    pub fn go_back(&mut self, topic: &str, lost: usize) {
        self.era += 1;
        self.groups.clear();
        for (_, log) in self.logs.iter_mut().filter(|(partition, _)| partition.topic == topic) {
            let records = std::mem::take(&mut log.records);
            let left = records.len().saturating_sub(lost);
            log.newest.clear();
            for (offset, record) in records.iter().take(left).enumerate() {
                let (key, value) = split(record);
                match value.is_empty() {
                    true => drop(log.newest.remove(&key)),
                    false => drop(log.newest.insert(key, (offset as u64, value))),
                }
            }
            log.first = log.first.min(left as u64);
            log.records = records.into_iter().take(left).collect();
        }
    }

    /// Makes a call. A read doesn't wait.
    pub fn call(&mut self, now: Instant, call: &Call) -> Result<Reply, Error> {
        self.calls += 1;
        if self.turns_away {
            return Err(Error::Busy(StatusCode::SERVICE_UNAVAILABLE));
        }
        match call {
            Call::Put { to, key, value, only_at } => {
                let end = self.logs.get(to).map_or(0, |log| log.records.len() as u64);
                match only_at {
                    Some(at) if at.0 != end => Err(Error::Conflict),
                    _ => Ok(Reply::Kept(self.put(to, key, value.clone()))),
                }
            }
            Call::PutAll { to, records } => {
                let mut end = Offset(self.logs.get(to).map_or(0, |log| log.records.len() as u64));
                for (key, value) in records {
                    end = self.put(to, key, value.clone());
                }
                Ok(Reply::Kept(end))
            }
            Call::Read { from, at, .. } => self.read(from, at.0),
            Call::Newest { from, after } => Ok(Reply::Page(self.newest(from, after.as_deref()))),
            Call::Join { group, member, topic, lease, .. } => {
                Ok(self.join(now, group, member, topic, *lease))
            }
            Call::Leave { group, member } => {
                let group = self.groups.entry(group.clone()).or_default();
                group.members.remove(member);
                group.generation += 1;
                Ok(Reply::Left)
            }
        }
    }

    fn read(&self, from: &Partition, at: u64) -> Result<Reply, Error> {
        let Some(log) = self.logs.get(from) else {
            return Ok(Reply::Records { records: Vec::new(), end: Offset(0) });
        };
        if at < log.first || at > log.records.len() as u64 {
            return Err(Error::Expired);
        }
        let records = log.records.iter().skip(at as usize).take(self.most_read).cloned().collect();
        Ok(Reply::Records { records, end: Offset(log.records.len() as u64) })
    }

    fn newest(&self, from: &Partition, after: Option<&str>) -> Page {
        let Some(log) = self.logs.get(from) else {
            return Page { items: Vec::new(), more: false, end: Offset(0) };
        };
        let mut left = log.newest.iter().filter(|(key, _)| after.is_none_or(|a| key.as_str() > a));
        let item = |(key, (offset, value)): (&String, &(u64, Bytes))| Item {
            key: key.clone(),
            value: value.clone(),
            offset: Offset(*offset),
        };
        let items = left.by_ref().take(PAGE).map(item).collect();
        Page { items, more: left.next().is_some(), end: Offset(log.records.len() as u64) }
    }

    fn join(
        &mut self,
        now: Instant,
        group: &str,
        member: &str,
        topic: &str,
        lease: Duration,
    ) -> Reply {
        let group = self.groups.entry(group.to_owned()).or_default();
        let before: Vec<String> = group.members.keys().cloned().collect();
        group.members.retain(|_, until| *until > now);
        group.members.insert(member.to_owned(), now + lease);
        if !before.iter().eq(group.members.keys()) {
            group.generation += 1;
        }
        let members: Vec<&String> = group.members.keys().collect();
        let mine = |number: &u32| members[*number as usize % members.len()] == member;
        let share = |number| Share { partition: Partition { topic: topic.to_owned(), number } };
        let shares = (0..self.partitions).filter(mine).map(share).collect();
        Reply::Member { generation: group.generation, shares }
    }
}

/// Key and value of a record.
fn split(record: &Bytes) -> (String, Bytes) {
    let len = usize::from(record[0]);
    let key = String::from_utf8_lossy(&record[1..=len]).into_owned();
    (key, record.slice(len + 1..))
}
