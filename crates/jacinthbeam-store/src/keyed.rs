//! Following a keyed partition: the newest value of each key, and every change after it.

use std::time::Duration;

use bytes::Bytes;
use jacinthbeam_types::prelude::Offset;

use crate::{Call, Error, Item, Lane, Page, Partition, Reply};

/// Follows one partition.
///
/// The store may forget its history, or show a state of some seconds ago after that. Both end with a page of the newest
/// records, whose older parts must not undo what is known: whoever keeps the records compares their offsets.
#[derive(Debug)]
pub struct Follower {
    partition: Partition,
    /// Next record to read; `None` before the first page and after the history was lost.
    next: Option<Offset>,
}

/// What one look at the partition gave.
#[derive(Debug, Default)]
pub struct Changes {
    /// Records, in their order. Some may be known.
    pub items: Vec<Item>,
    /// End of the partition as far as it was read.
    pub end: Offset,
    /// Whether `items` are all keys that there are. Others whose records are from before `end` have been removed.
    pub whole: bool,
}

impl Follower {
    /// A follower that has read nothing.
    pub fn new(partition: Partition) -> Self {
        Self { partition, next: None }
    }

    /// A follower that knows everything before `at`.
    pub fn after(partition: Partition, at: Offset) -> Self {
        Self { partition, next: Some(at) }
    }

    /// The partition.
    pub fn partition(&self) -> &Partition {
        &self.partition
    }

    /// End of what was read so far.
    pub fn end(&self) -> Option<Offset> {
        self.next
    }

    /// Begins with the newest records of all keys at the next look.
    pub fn start_over(&mut self) {
        self.next = None;
    }

    /// Reads what is new, and waits for it up to `wait` if there is nothing.
    ///
    /// One answer of the store holds a bounded number of bytes. Reads until everything is known that the partition held when the
    /// first answer was made, so that [`Changes::end`] never passes a record that wasn't read. After an error nothing counts as read.
    pub async fn look(&mut self, lane: &Lane, wait: Duration) -> Result<Changes, Error> {
        let Some(from) = self.next else { return self.all(lane).await };
        let (mut items, mut at, mut wait) = (Vec::new(), from, wait);
        let mut known_to = from;
        loop {
            let call = Call::Read { from: self.partition.clone(), at, wait };
            let (records, end) = match lane.call(&call).await {
                Ok(Reply::Records { records, end }) => (records, end),
                Ok(_) => return Err(Error::Malformed("not the answer to a read".into())),
                Err(Error::Expired) => {
                    tracing::info!(part = "store", event = "expired", partition = %self.partition);
                    self.next = None;
                    return self.all(lane).await;
                }
                Err(err) => return Err(err),
            };
            self.take(at, &records, end, &mut items)?;
            if at == from {
                known_to = end;
            }
            at.0 += records.len() as u64;
            // The first answer may have waited for its records; those after them are there.
            wait = Duration::ZERO;
            if at >= known_to || records.is_empty() {
                break;
            }
            tracing::info!(part = "store", event = "behind", partition = %self.partition, from = %from, read_to = %at, end = %known_to);
        }
        self.next = Some(at);
        Ok(Changes { items, end: at, whole: false })
    }

    async fn all(&mut self, lane: &Lane) -> Result<Changes, Error> {
        let mut items = Vec::new();
        let mut after = None;
        let mut end = None;
        loop {
            let call = Call::Newest { from: self.partition.clone(), after: after.clone() };
            let page = match lane.call(&call).await? {
                Reply::Page(page) => page,
                _ => return Err(Error::Malformed("not the answer to a read of the newest".into())),
            };
            let Page { items: more_items, more, end: page_end } = page;
            // Pages aren't one moment: what changed after the first is read from its end on.
            end = Some(end.map_or(page_end, |end: Offset| end.min(page_end)));
            after = more_items.last().map(|item| item.key.clone());
            items.extend(more_items);
            if !more {
                break;
            }
            if after.is_none() {
                // Taken for the last page, it would remove every key that the next one holds.
                return Err(Error::Malformed("a page holds nothing, though more follow".into()));
            }
        }
        Ok(self.take_all(items, end.unwrap_or_default()))
    }

    fn take_all(&mut self, items: Vec<Item>, end: Offset) -> Changes {
        self.next = Some(end);
        Changes { items, end, whole: true }
    }

    fn take(
        &self,
        at: Offset,
        records: &[Bytes],
        end: Offset,
        items: &mut Vec<Item>,
    ) -> Result<(), Error> {
        if end < at {
            // Taken for news, an answer of some time ago would confirm what may have been replaced since.
            return Err(Error::Malformed(format!("the partition ends at {end}, {at} was known")));
        }
        if records.is_empty() && end > at {
            return Err(Error::Malformed(format!("nothing from {at} on, though it ends at {end}")));
        }
        for (n, record) in records.iter().enumerate() {
            let offset = Offset(at.0 + n as u64);
            match split(record) {
                Some((key, value)) => items.push(Item { key, value, offset }),
                None => {
                    tracing::warn!(part = "store", event = "no-key", partition = %self.partition, %offset);
                }
            }
        }
        Ok(())
    }
}

/// A keyed record: the length of the key in one byte, the key, the value.
fn split(record: &Bytes) -> Option<(String, Bytes)> {
    let len = usize::from(*record.first()?);
    let key = record.get(1..=len)?;
    // A key that is no text is none of ours, and is kept readable for whoever logs it.
    let key = String::from_utf8_lossy(key).into_owned();
    Some((key, record.slice(len + 1..)))
}
