//! The claim table, a deterministic state machine.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::config::CustomerId;
use crate::wire::HostId;

/// Milliseconds for which a claim is kept.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3_600_000;
/// Milliseconds for which a recorded answer is kept with its claim, counted from the claim.
pub const ANSWER_RETENTION_MS: u64 = 3_600_000;
/// The largest answer body that is recorded, in bytes.
pub const MAX_RECORDED_ANSWER_BYTES: usize = 16 << 10;

/// One router's attempt to run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The router.
    pub router: HostId,
    /// The router's incarnation. No attempt of an incarnation that has ended is still running.
    pub incarnation: u64,
    /// The router's number for the request.
    pub seq: u64,
}

/// A router's claim on a customer's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The customer.
    pub customer: CustomerId,
    /// The idempotency key.
    pub key: String,
    /// Hash of the call ([`fingerprint`]), to detect a key that is reused for another call.
    pub fingerprint: u64,
    /// The attempt that claims the key.
    pub attempt: Attempt,
}

/// A recorded answer, replayed when the caller resends the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// It was answered; the answer, if it is small enough to record.
    Answered(Option<RecordedAnswer>),
    /// It certainly did not run: the key is released.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The decision on a claim, or the state of a key that was looked up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimDecision {
    /// The router may run the call.
    Granted,
    /// Another attempt holds the key.
    Running(Attempt),
    /// The call was answered; the answer, if it is still recorded.
    Answered(Option<RecordedAnswer>),
    /// An earlier attempt may have run the call.
    Unknown,
    /// The key belongs to another call.
    OtherCall,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimState {
    Running(Attempt),
    Answered(Option<RecordedAnswer>),
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimEntry {
    fingerprint: u64,
    state: ClaimState,
}

impl ClaimEntry {
    fn outcome_for(&self, claim: &Claim) -> ClaimDecision {
        if self.fingerprint != claim.fingerprint {
            return ClaimDecision::OtherCall;
        }
        match &self.state {
            ClaimState::Running(attempt) if *attempt == claim.attempt => ClaimDecision::Granted,
            ClaimState::Running(attempt) => ClaimDecision::Running(*attempt),
            ClaimState::Answered(answer) => ClaimDecision::Answered(answer.clone()),
            ClaimState::Unknown => ClaimDecision::Unknown,
        }
    }
}

/// All claims of the last [`CLAIM_RETENTION_MS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    entries: HashMap<u128, ClaimEntry>,
    /// When each claim was made and its key, oldest first: to expire answers, then claims.
    answers_by_age: VecDeque<(u64, u128)>,
    keys_by_age: VecDeque<(u64, u128)>,
    newest_ms: u64,
}

impl ClaimTable {
    /// The number of claims.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Claims a key at `at_ms`, the leader's wall clock in milliseconds since the epoch.
    pub fn claim(&mut self, at_ms: u64, claim: &Claim) -> ClaimDecision {
        self.expire(at_ms);
        let id = key_id(claim.customer, &claim.key);
        let Some(entry) = self.entries.get(&id) else {
            let state = ClaimState::Running(claim.attempt);
            let fingerprint = claim.fingerprint;
            self.entries.insert(id, ClaimEntry { fingerprint, state });
            self.answers_by_age.push_back((self.newest_ms, id));
            self.keys_by_age.push_back((self.newest_ms, id));
            return ClaimDecision::Granted;
        };
        entry.outcome_for(claim)
    }

    /// The state of a key, without claiming it; none if it is not claimed.
    pub fn lookup(&self, claim: &Claim) -> Option<ClaimDecision> {
        let entry = self.entries.get(&key_id(claim.customer, &claim.key))?;
        Some(entry.outcome_for(claim))
    }

    /// Settles a claim if `claim.attempt` holds it and it is still running.
    pub fn settle(&mut self, at_ms: u64, claim: &Claim, settlement: Settlement) {
        self.expire(at_ms);
        let id = key_id(claim.customer, &claim.key);
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.state != ClaimState::Running(claim.attempt) {
            return;
        }
        match settlement {
            Settlement::NotRun => {
                self.entries.remove(&id);
                self.answers_by_age.retain(|(_, other)| *other != id);
                self.keys_by_age.retain(|(_, other)| *other != id);
            }
            Settlement::Answered(answer) => entry.state = ClaimState::Answered(answer),
            Settlement::Unknown => entry.state = ClaimState::Unknown,
        }
    }

    /// Removes expired answers and claims. The clock never runs backwards, even if a new
    /// leader's wall clock is behind that of the previous one.
    fn expire(&mut self, at_ms: u64) {
        self.newest_ms = self.newest_ms.max(at_ms);
        let is_expired = |queue: &VecDeque<(u64, u128)>, retention: u64| {
            queue.front().is_some_and(|(at, _)| at + retention <= self.newest_ms)
        };
        while is_expired(&self.answers_by_age, ANSWER_RETENTION_MS) {
            let Some((_, id)) = self.answers_by_age.pop_front() else { break };
            if let Some(ClaimEntry { state: ClaimState::Answered(answer), .. }) =
                self.entries.get_mut(&id)
            {
                *answer = None;
            }
        }
        while is_expired(&self.keys_by_age, CLAIM_RETENTION_MS) {
            let Some((_, id)) = self.keys_by_age.pop_front() else { break };
            self.entries.remove(&id);
        }
    }
}

fn key_id(customer: CustomerId, key: &str) -> u128 {
    let mut bytes = customer.0.to_be_bytes().to_vec();
    bytes.extend_from_slice(key.as_bytes());
    xxh3_128(&bytes)
}

/// The hash of a call by which its claims are compared.
pub fn fingerprint(service: &str, method: &str, path: &str, body: &[u8]) -> u64 {
    let mut bytes = Vec::with_capacity(service.len() + method.len() + path.len() + body.len() + 3);
    for part in [service, method, path] {
        bytes.extend_from_slice(part.as_bytes());
        bytes.push(0);
    }
    bytes.extend_from_slice(body);
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
