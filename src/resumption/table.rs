//! The records of streams that one router keeps.

use std::collections::{HashMap, VecDeque};

use super::record::{KnownStream, StreamKey, StreamLoss, StreamRecord};
use crate::dispatch::Millis;

/// Milliseconds for which a record is kept after it was last stored.
pub const RETENTION_MS: Millis = 600_000;
/// Maximum number of records; the ones stored earliest are dropped first. A record takes some
/// 250 bytes.
pub const MAX_RECORDS: usize = 100_000;

#[derive(Clone, Debug)]
struct Entry {
    record: StreamRecord,
    began_at: Millis,
    loss: Option<(Box<str>, Millis)>,
    stored_at: Millis,
    /// Whether two attempts with this key began at different versions: callers should not
    /// reuse the id of an attempt.
    is_ambiguous: bool,
}

/// Records of streams, by key.
#[derive(Clone, Debug, Default)]
pub struct RecordTable {
    entries: HashMap<StreamKey, Entry>,
    /// When records were stored, the earliest first; a record that was stored again later is
    /// listed again.
    by_time: VecDeque<(Millis, StreamKey)>,
}

impl RecordTable {
    /// Stores what is known of a stream, or adds it to what is stored already.
    pub fn store(&mut self, now: Millis, key: StreamKey, stream: KnownStream) {
        self.evict(now);
        let KnownStream { record, age_ms, loss } = stream;
        let began_at = now.saturating_sub(age_ms);
        let loss = loss.map(|loss| (loss.endpoint, now.saturating_sub(loss.age_ms)));
        let entry = self.entries.entry(key).or_insert_with(|| Entry {
            record: record.clone(),
            began_at,
            loss: None,
            stored_at: now,
            is_ambiguous: false,
        });
        entry.stored_at = now;
        entry.is_ambiguous |= !entry.record.fits(&record);
        if began_at < entry.began_at {
            entry.began_at = began_at;
            entry.record = record;
        }
        if loss.as_ref().map(|(_, at)| *at) > entry.loss.as_ref().map(|(_, at)| *at) {
            entry.loss = loss;
        }
        self.by_time.push_back((now, key));
    }

    /// What is known of a stream; `None` also if attempts of this key began at different
    /// versions.
    pub fn find(&self, now: Millis, key: StreamKey) -> Option<KnownStream> {
        let entry = self.entries.get(&key).filter(|entry| !entry.is_ambiguous)?;
        let age_ms = |at: Millis| now.saturating_sub(at);
        if age_ms(entry.stored_at) >= RETENTION_MS {
            return None;
        }
        let loss = entry.loss.as_ref();
        Some(KnownStream {
            record: entry.record.clone(),
            age_ms: age_ms(entry.began_at),
            loss: loss.map(|(endpoint, at)| StreamLoss {
                endpoint: endpoint.clone(),
                age_ms: age_ms(*at),
            }),
        })
    }

    /// The keys stored last, the latest first, each at least once.
    pub fn latest_keys(&self) -> impl Iterator<Item = StreamKey> {
        self.by_time.iter().rev().map(|(_, key)| *key)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops records that have expired, and the earliest beyond the maximum.
    fn evict(&mut self, now: Millis) {
        while let Some((stored_at, key)) = self.by_time.front().copied() {
            let is_expired = now.saturating_sub(stored_at) >= RETENTION_MS;
            if !is_expired && self.by_time.len() < MAX_RECORDS {
                return;
            }
            self.by_time.pop_front();
            if self.entries.get(&key).is_some_and(|entry| entry.stored_at == stored_at) {
                self.entries.remove(&key);
            }
        }
    }
}
