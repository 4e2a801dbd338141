//! The table of claims, a deterministic state machine.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::config::CustomerId;
use crate::wire::HostId;

/// Milliseconds for which a claim is remembered.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3_600_000;
/// Milliseconds for which a recorded answer is kept with it.
pub const ANSWER_RETENTION_MS: u64 = 3_600_000;
/// The largest answer that is recorded, in bytes.
pub const MAX_RECORDED_ANSWER_BYTES: usize = 16 << 10;

/// One router's attempt to run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The router.
    pub router: HostId,
    /// Its incarnation; a claim of an ended one is nobody's.
    pub incarnation: u64,
    /// Its number for the request.
    pub seq: u64,
}

/// A router claims a customer's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The customer.
    pub customer: CustomerId,
    /// The idempotency key.
    pub key: String,
    /// Hash of the call, so that a key is not used for two.
    pub fingerprint: u64,
    /// Who claims it.
    pub attempt: Attempt,
}

/// An answer kept for resends.
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
    /// It was answered; the answer is kept if it is small enough.
    Answered(Option<RecordedAnswer>),
    /// It certainly did not run: the key is free again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What a claim gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The router may run the call.
    Granted,
    /// Another attempt holds it.
    Running(Attempt),
    /// It was answered; the answer, if it is still kept.
    Answered(Option<RecordedAnswer>),
    /// An earlier attempt may have run it.
    Unknown,
    /// The key was used for another call.
    OtherCall,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Running(Attempt),
    Answered(Option<RecordedAnswer>),
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Held {
    fingerprint: u64,
    state: State,
}

impl Held {
    fn answer(&self, claim: &Claim) -> ClaimOutcome {
        if self.fingerprint != claim.fingerprint {
            return ClaimOutcome::OtherCall;
        }
        match &self.state {
            State::Running(attempt) if *attempt == claim.attempt => ClaimOutcome::Granted,
            State::Running(attempt) => ClaimOutcome::Running(*attempt),
            State::Answered(answer) => ClaimOutcome::Answered(answer.clone()),
            State::Unknown => ClaimOutcome::Unknown,
        }
    }
}

/// All claims of the last [`CLAIM_RETENTION_MS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    held: HashMap<u128, Held>,
    /// Claims by age, for forgetting answers and then keys.
    answers_by_age: VecDeque<(u64, u128)>,
    keys_by_age: VecDeque<(u64, u128)>,
    newest_ms: u64,
}

impl ClaimTable {
    /// Claims held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Claims a key at `at_ms`, the leader's wall clock.
    pub fn claim(&mut self, at_ms: u64, claim: &Claim) -> ClaimOutcome {
        self.forget(at_ms);
        let id = id_of(claim.customer, &claim.key);
        let Some(held) = self.held.get(&id) else {
            let state = State::Running(claim.attempt);
            let fingerprint = claim.fingerprint;
            self.held.insert(id, Held { fingerprint, state });
            self.answers_by_age.push_back((self.newest_ms, id));
            self.keys_by_age.push_back((self.newest_ms, id));
            return ClaimOutcome::Granted;
        };
        held.answer(claim)
    }

    /// How a key stands, without claiming it; none when nobody holds it.
    pub fn lookup(&self, claim: &Claim) -> Option<ClaimOutcome> {
        let held = self.held.get(&id_of(claim.customer, &claim.key))?;
        Some(held.answer(claim))
    }

    /// Settles a claim that `claim.attempt` holds; others are left alone.
    pub fn settle(&mut self, at_ms: u64, claim: &Claim, settlement: Settlement) {
        self.forget(at_ms);
        let id = id_of(claim.customer, &claim.key);
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        if held.state != State::Running(claim.attempt) {
            return;
        }
        match settlement {
            Settlement::NotRun => {
                self.held.remove(&id);
                self.answers_by_age.retain(|(_, other)| *other != id);
                self.keys_by_age.retain(|(_, other)| *other != id);
            }
            Settlement::Answered(answer) => held.state = State::Answered(answer),
            Settlement::Unknown => held.state = State::Unknown,
        }
    }

    /// Time never runs backwards here, whatever leaders' clocks say.
    fn forget(&mut self, at_ms: u64) {
        self.newest_ms = self.newest_ms.max(at_ms);
        let expired = |age: &VecDeque<(u64, u128)>, kept: u64| {
            age.front().is_some_and(|(at, _)| at + kept <= self.newest_ms)
        };
        while expired(&self.answers_by_age, ANSWER_RETENTION_MS) {
            let Some((_, id)) = self.answers_by_age.pop_front() else { break };
            if let Some(Held { state: State::Answered(answer), .. }) = self.held.get_mut(&id) {
                *answer = None;
            }
        }
        while expired(&self.keys_by_age, CLAIM_RETENTION_MS) {
            let Some((_, id)) = self.keys_by_age.pop_front() else { break };
            self.held.remove(&id);
        }
    }
}

fn id_of(customer: CustomerId, key: &str) -> u128 {
    let mut bytes = customer.0.to_be_bytes().to_vec();
    bytes.extend_from_slice(key.as_bytes());
    xxh3_128(&bytes)
}

/// The fingerprint of a call.
pub fn fingerprint(service: &str, method: &str, path: &str, body: &[u8]) -> u64 {
    let mut bytes = Vec::with_capacity(service.len() + method.len() + path.len() + body.len() + 3);
    for part in [service, method, path] {
        bytes.extend_from_slice(part.as_bytes());
        bytes.push(0);
    }
    bytes.extend_from_slice(body);
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
