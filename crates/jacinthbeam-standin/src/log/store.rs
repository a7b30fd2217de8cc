//! Records of streams, in memory.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use bytes::{BufMut, Bytes, BytesMut};
use jacinthbeam_native::format::log::FRAME_HEAD;
use jacinthbeam_types::prelude::*;

use super::Retention;

/// All streams of a log.
#[derive(Debug, Default)]
pub(super) struct Store(BTreeMap<String, Stream>);

#[derive(Debug, Default)]
struct Stream {
    earliest: u64,
    records: VecDeque<Record>,
}

#[derive(Debug)]
struct Record {
    written: Instant,
    bytes: Bytes,
}

/// What a read finds.
#[derive(Debug)]
pub(super) struct Found {
    /// Frames of the records, or `None` if the first one wanted is no longer kept.
    pub(super) frames: Option<Bytes>,
    /// Offset after the last record.
    pub(super) end: u64,
    /// Offset of the first record kept.
    pub(super) earliest: u64,
}

impl Store {
    pub(super) fn append(&mut self, now: Instant, stream: &str, bytes: Bytes) -> Offset {
        let stream = self.0.entry(stream.to_owned()).or_default();
        let offset = stream.end();
        stream.records.push_back(Record { written: now, bytes });
        Offset(offset)
    }

    /// Removes the records that `retention` does not keep.
    pub(super) fn expire(&mut self, now: Instant, retention: Retention) {
        self.0.values_mut().for_each(|stream| stream.expire(now, retention));
    }

    /// Reads whole records from `from` on, at least one, and no more than `max_bytes` of frames beyond that.
    pub(super) fn read(&self, stream: &str, from: u64, max_bytes: usize) -> Found {
        let empty = Stream::default();
        let stream = self.0.get(stream).unwrap_or(&empty);
        let frames = (from >= stream.earliest).then(|| stream.frames(from, max_bytes));
        Found { frames, end: stream.end(), earliest: stream.earliest }
    }

    pub(super) fn records(&self, stream: &str) -> Vec<(Offset, Bytes)> {
        let Some(stream) = self.0.get(stream) else { return Vec::new() };
        let offsets = (stream.earliest..).map(Offset);
        offsets.zip(stream.records.iter().map(|record| record.bytes.clone())).collect()
    }
}

impl Stream {
    fn end(&self) -> u64 {
        self.earliest + self.records.len() as u64
    }

    fn expire(&mut self, now: Instant, retention: Retention) {
        while let Some(first) = self.records.front() {
            let surplus = retention.records.is_some_and(|max| self.records.len() > max);
            let age = now.saturating_duration_since(first.written);
            let old = retention.age.is_some_and(|max| age > max);
            if !surplus && !old {
                return;
            }
            self.records.pop_front();
            self.earliest += 1;
        }
    }

    fn frames(&self, from: u64, max_bytes: usize) -> Bytes {
        let mut buf = BytesMut::new();
        let skip = usize::try_from(from - self.earliest).unwrap_or(usize::MAX);
        for (offset, record) in (from..).zip(self.records.iter().skip(skip)) {
            let frame = FRAME_HEAD + record.bytes.len();
            if !buf.is_empty() && buf.len() + frame > max_bytes {
                break;
            }
            buf.put_u64(offset);
            buf.put_u32(record.bytes.len() as u32);
            buf.put_slice(&record.bytes);
        }
        buf.freeze()
    }
}
