//! Since when endpoints have their versions, for endpoints whose software changes in place.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use super::record::{Certainty, KnownStream};
use crate::dispatch::Millis;

/// Milliseconds by which the news of a changed version may be late: a heartbeat may arrive
/// seconds after it was sent.
const MAX_LAG_MS: Millis = 5_000;

/// The version of an endpoint, hashed, and since when it is known.
#[derive(Clone, Copy, Debug)]
struct KnownVersion {
    version: u64,
    since: Millis,
}

/// The current versions of all endpoints; 24 bytes each, and the ids of those that changed theirs.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    by_endpoint: HashMap<u64, KnownVersion>,
    /// Endpoints that changed their version under their id, and when that was known last.
    changed: HashMap<String, Millis>,
}

impl VersionHistory {
    /// Records the version that an endpoint is registered with.
    pub fn record(&mut self, now: Millis, endpoint: &str, version: &str) {
        let version = xxh3_64(version.as_bytes());
        let known = self.by_endpoint.entry(xxh3_64(endpoint.as_bytes()));
        let known = known.or_insert(KnownVersion { version, since: now });
        if known.version != version {
            *known = KnownVersion { version, since: now };
            self.changed.insert(endpoint.to_string(), now);
        }
    }

    /// Forgets an endpoint that has ended.
    pub fn forget(&mut self, endpoint: &str) {
        self.by_endpoint.remove(&xxh3_64(endpoint.as_bytes()));
        self.changed.remove(endpoint);
    }

    /// Whether the endpoint has changed its version before, under its id.
    pub fn changes_in_place(&self, endpoint: &str) -> bool {
        self.changed.contains_key(endpoint)
    }

    /// The endpoints that have changed their version under their id, and when that was known last.
    pub fn changed(&self) -> impl Iterator<Item = (&str, Millis)> {
        self.changed.iter().map(|(endpoint, since)| (endpoint.as_str(), *since))
    }

    /// Since when the endpoint's present version is known; `None` for an unknown endpoint.
    pub fn known_since(&self, endpoint: &str) -> Option<Millis> {
        self.by_endpoint.get(&xxh3_64(endpoint.as_bytes())).map(|known| known.since)
    }

    /// Whether the stream may have begun at another version than its record says: the endpoint's
    /// version changed at about the time at which the stream began.
    pub fn is_doubtful(&self, now: Millis, stream: &KnownStream) -> bool {
        let record = &stream.record;
        let Some(known) = self.by_endpoint.get(&xxh3_64(record.endpoint.as_bytes())) else {
            return false;
        };
        let began_at = now.saturating_sub(stream.age_ms);
        if known.version == xxh3_64(record.version.as_bytes()) {
            // It may have changed back and forth.
            return self.changes_in_place(&record.endpoint)
                && match record.certainty {
                    Certainty::Confirmed => false,
                    Certainty::Presumed => known.since > began_at,
                    Certainty::Doubtful => known.since + MAX_LAG_MS > began_at,
                };
        }
        // Registered with this version ever since it is known here, so the change may be far older.
        if record.certainty != Certainty::Confirmed && !self.changes_in_place(&record.endpoint) {
            return true;
        }
        // A change of software breaks the streams of the software before.
        let loss = stream.loss.as_ref().filter(|loss| loss.endpoint == record.endpoint);
        if record.certainty == Certainty::Confirmed && loss.is_some() {
            return false;
        }
        began_at + MAX_LAG_MS > known.since
    }
}
