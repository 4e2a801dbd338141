//! Deciding which requests may hold how many bytes.
//!
//! A customer's bodies may hold as many bytes as are left free. One customer holds half of all at
//! most, and there is room for the next one whatever the others do. A request that finds no room
//! displaces those whose senders have stalled; where there are none, it is refused.

use std::collections::{BTreeMap, HashMap};

use crate::dispatch::Millis;

/// Bytes that count for a request beside its body: for its head, and for what its connection
/// receives behind it.
pub const OVERHEAD_BYTES: usize = 64 << 10;
/// Time in which a sender must bring [`PROGRESS_BYTES`] in order not to count as stalled.
pub(super) const STALL_MS: Millis = 250;
/// See [`STALL_MS`].
pub(super) const PROGRESS_BYTES: usize = 16 << 10;

/// Identifies a request in a ledger.
pub type RequestId = u64;

/// Whether a request finds room, and which others have to be given up for that.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Room {
    /// Whether there is room.
    pub is_found: bool,
    /// Requests that hold nothing from now on.
    pub given_up: Vec<RequestId>,
}

/// The bytes that requests hold.
#[derive(Clone, Debug)]
pub struct Ledger {
    max_bytes: usize,
    /// Bytes of all requests, each with its overhead.
    held: usize,
    next: RequestId,
    requests: BTreeMap<RequestId, Entry>,
    /// Bytes of bodies by customer.
    customers: HashMap<String, usize>,
}

#[derive(Clone, Debug)]
struct Entry {
    customer: String,
    /// Bytes of its body.
    bytes: usize,
    /// When its body last made progress; `None` once it is whole.
    progress_at: Option<Millis>,
}

impl Ledger {
    /// A ledger of requests that hold up to `max_bytes` together.
    pub fn new(max_bytes: usize) -> Ledger {
        Ledger { max_bytes, held: 0, next: 0, requests: BTreeMap::new(), customers: HashMap::new() }
    }

    /// Bytes that all requests hold.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Whether more than half of the bytes are held.
    pub fn is_scarce(&self) -> bool {
        self.held > self.max_bytes / 2
    }

    /// Adds a request whose body is still to come. It holds nothing unless room is found.
    pub fn begin(&mut self, now: Millis, customer: &str) -> (RequestId, Room) {
        let id = self.next;
        self.next += 1;
        let room = self.find_room(now, id, |ledger| {
            ledger.requests.is_empty() || ledger.held + OVERHEAD_BYTES <= ledger.max_bytes
        });
        if room.is_found {
            let customer = customer.to_string();
            self.requests.insert(id, Entry { customer, bytes: 0, progress_at: Some(now) });
            self.held += OVERHEAD_BYTES;
        }
        (id, room)
    }

    /// Finds room for a body of this length, without holding it yet.
    pub fn make_room(&mut self, now: Millis, id: RequestId, bytes: usize) -> Room {
        self.find_room(now, id, |ledger| ledger.has_room(id, bytes))
    }

    /// Lets a body that makes progress hold this number of bytes.
    pub fn grow(&mut self, now: Millis, id: RequestId, bytes: usize) -> Room {
        let room = self.make_room(now, id, bytes);
        if room.is_found {
            self.resize(id, bytes);
            self.record_progress(now, id);
        }
        room
    }

    /// Records that a body has made progress.
    pub fn record_progress(&mut self, now: Millis, id: RequestId) {
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.progress_at = Some(now);
        }
    }

    /// Records that a body is whole and holds this number of bytes. It is not given up any more.
    pub fn complete(&mut self, id: RequestId, bytes: usize) {
        self.resize(id, bytes);
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.progress_at = None;
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, id: RequestId) {
        self.resize(id, 0);
        if self.requests.remove(&id).is_some() {
            self.held -= OVERHEAD_BYTES;
        }
    }

    fn resize(&mut self, id: RequestId, bytes: usize) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        self.held = self.held - entry.bytes + bytes;
        let of_customer = self.customers.entry(entry.customer.clone()).or_default();
        *of_customer = *of_customer - entry.bytes + bytes;
        entry.bytes = bytes;
        if *of_customer == 0 {
            self.customers.remove(&entry.customer);
        }
    }

    fn of_customer(&self, entry: &Entry) -> usize {
        self.customers.get(&entry.customer).copied().unwrap_or(0)
    }

    /// Whether a request may hold a body of this length.
    fn has_room(&self, id: RequestId, bytes: usize) -> bool {
        let Some(entry) = self.requests.get(&id) else { return false };
        if bytes <= entry.bytes || self.requests.len() == 1 {
            return true;
        }
        let added = bytes - entry.bytes;
        let Some(free) = self.max_bytes.checked_sub(self.held + added) else { return false };
        let of_customer = self.of_customer(entry) + added;
        let is_only_body = of_customer == bytes;
        is_only_body || of_customer <= free
    }

    /// Gives stalled requests up until there is room or none of them is left.
    fn find_room(
        &mut self,
        now: Millis,
        id: RequestId,
        has_room: impl Fn(&Ledger) -> bool,
    ) -> Room {
        let mut given_up = Vec::new();
        while !has_room(self) {
            let Some(stalled) = self.find_stalled(now, id) else {
                return Room { is_found: false, given_up };
            };
            self.remove(stalled);
            given_up.push(stalled);
        }
        Room { is_found: true, given_up }
    }

    /// The request to give up first: that of the customer with the most bytes which has stalled for
    /// the longest time.
    fn find_stalled(&self, now: Millis, other_than: RequestId) -> Option<RequestId> {
        let stalled = self.requests.iter().filter_map(|(id, entry)| {
            let stalled_ms = now.saturating_sub(entry.progress_at?);
            let is_stalled = stalled_ms >= STALL_MS && *id != other_than;
            is_stalled.then(|| (self.of_customer(entry), stalled_ms, *id))
        });
        stalled.max().map(|(_, _, id)| id)
    }
}
