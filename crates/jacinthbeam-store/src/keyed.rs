//! Follows a keyed partition: reads the newest record of each key, then all later records.

use std::time::Duration;

use bytes::Bytes;
use jacinthbeam_types::prelude::Offset;

use crate::{Call, Error, Item, Lane, Page, Partition, Reply};

/// Follows one partition.
///
/// When the store has deleted records that were not read yet, or was restored from an older copy, the follower reads the newest record of each
/// key again. The store may then return a state that is some seconds old, so a caller that keeps the records
/// has to compare offsets, or an older record would replace a newer one.
#[derive(Debug)]
pub struct Follower {
    partition: Partition,
    /// Offset of the next record to read. `None` before the first read, and after the store has deleted
    /// records that were not read yet.
    next: Option<Offset>,
}

/// Result of [`Follower::look`].
#[derive(Debug, Default)]
pub struct Changes {
    /// The records, ascending by offset, or by key if `whole` is set. The caller may already have some of
    /// them.
    pub items: Vec<Item>,
    /// Offset up to which the partition was read. Never beyond a record that was not read.
    pub end: Offset,
    /// Whether `items` holds all existing keys. Any other key whose record is from before `end` has been
    /// removed.
    pub whole: bool,
}

impl Follower {
    /// Creates a follower that starts with the newest record of each key.
    pub fn new(partition: Partition) -> Self {
        Self { partition, next: None }
    }

    /// Creates a follower that reads the records from `at` on, or starts over if the store was restored since.
    pub fn after(partition: Partition, at: Offset) -> Self {
        Self { partition, next: Some(at) }
    }

    /// The partition that is followed.
    pub fn partition(&self) -> &Partition {
        &self.partition
    }

    /// Offset up to which the partition was read, or `None` if the next look starts over.
    pub fn end(&self) -> Option<Offset> {
        self.next
    }

    /// Makes the next look read the newest record of each key.
    pub fn start_over(&mut self) {
        self.next = None;
    }

    /// Reads the records since the last look. If there are none, waits for one for up to `wait`.
    ///
    /// The size of a single response is limited. Therefore reads until the offset at which the partition
    /// ended at the first response, so that the caller is up to date as of that response. After an error,
    /// the next look reads the same records again.
    pub async fn look(&mut self, lane: &Lane, wait: Duration) -> Result<Changes, Error> {
        let Some(from) = self.next else { return self.read_newest(lane).await };
        let (mut items, mut at, mut wait) = (Vec::new(), from, wait);
        let mut first_end = from;
        loop {
            let call = Call::Read { from: self.partition.clone(), at, wait };
            let (records, end) = match lane.call(&call).await {
                Ok(Reply::Records { records, end }) => (records, end),
                Ok(_) => return Err(Error::Malformed("unexpected response to a read".into())),
                Err(Error::Expired) => {
                    tracing::info!(part = "store", event = "expired", partition = %self.partition);
                    self.next = None;
                    return self.read_newest(lane).await;
                }
                Err(err) => return Err(err),
            };
            self.append_records(at, &records, end, &mut items)?;
            if at == from {
                first_end = end;
            }
            at.0 += records.len() as u64;
            // Only the first call may wait: the remaining records already exist.
            wait = Duration::ZERO;
            if at >= first_end || records.is_empty() {
                break;
            }
            tracing::info!(part = "store", event = "behind", partition = %self.partition, from = %from, read_to = %at, end = %first_end);
        }
        self.next = Some(at);
        Ok(Changes { items, end: at, whole: false })
    }

    async fn read_newest(&mut self, lane: &Lane) -> Result<Changes, Error> {
        let mut items = Vec::new();
        let mut after = None;
        let mut end = None;
        loop {
            let call = Call::Newest { from: self.partition.clone(), after: after.clone() };
            let page = match lane.call(&call).await? {
                Reply::Page(page) => page,
                _ => {
                    return Err(Error::Malformed(
                        "unexpected response to a read of the newest records".into(),
                    ));
                }
            };
            let Page { items: more_items, more, end: page_end } = page;
            // The pages are not one consistent snapshot, so the next look starts at the lowest end
            // that a page had.
            end = Some(end.map_or(page_end, |end: Offset| end.min(page_end)));
            after = more_items.last().map(|item| item.key.clone());
            items.extend(more_items);
            if !more {
                break;
            }
            if after.is_none() {
                // If this counted as the last page, all keys of the following pages would be removed.
                return Err(Error::Malformed("the page is empty, although more follow".into()));
            }
        }
        Ok(self.finish_full_read(items, end.unwrap_or_default()))
    }

    fn finish_full_read(&mut self, items: Vec<Item>, end: Offset) -> Changes {
        self.next = Some(end);
        Changes { items, end, whole: true }
    }

    fn append_records(
        &self,
        at: Offset,
        records: &[Bytes],
        end: Offset,
        items: &mut Vec<Item>,
    ) -> Result<(), Error> {
        if end < at {
            // An outdated response. It would confirm records that may have been replaced since.
            return Err(Error::Malformed(format!(
                "the partition ends at {end}, but {at} had been reached"
            )));
        }
        if records.is_empty() && end > at {
            return Err(Error::Malformed(format!(
                "no records from {at} on, although the partition ends at {end}"
            )));
        }
        for (n, record) in records.iter().enumerate() {
            let offset = Offset(at.0 + n as u64);
            match split_record(record) {
                Some((key, value)) => items.push(Item { key, value, offset }),
                None => {
                    tracing::warn!(part = "store", event = "no-key", partition = %self.partition, %offset);
                }
            }
        }
        Ok(())
    }
}

/// Splits a keyed record, which consists of the length of the key in one byte, the key and the value.
fn split_record(record: &Bytes) -> Option<(String, Bytes)> {
    let len = usize::from(*record.first()?);
    let key = record.get(1..=len)?;
    // A key that is not UTF-8 was not written by this program. It is made readable for logs.
    let key = String::from_utf8_lossy(key).into_owned();
    Some((key, record.slice(len + 1..)))
}
