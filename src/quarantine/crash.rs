//! One crash of an endpoint, as reported by routers.

use std::collections::BTreeMap;

use super::Fingerprint;
use super::attributes::{Attribute, AttributeSet};
use super::profile::RequestProfile;
use super::suspect::Suspect;
use crate::dispatch::Millis;
use crate::registry::EndpointStart;
use crate::wire::HostId;

/// Milliseconds within which losses at one start of an endpoint belong to one crash: routers
/// detect a crash within that time, and no endpoint restarts sooner.
const CRASH_WINDOW_MS: Millis = 1_000;
/// Milliseconds for which losses that only one router reported do not count as a crash: if the
/// endpoint is alive, most routers detect that within this time, and if many requests are lost at
/// once, several routers report losses.
const CONFIRMATION_MS: Millis = 500;
/// Lost requests that are kept per crash: more than the largest endpoint runs at once.
const MAX_LOST: usize = 256;

/// A request that was lost in a crash, and what of it may be to blame.
#[derive(Clone, Debug)]
pub(super) struct LostRequest {
    profile: RequestProfile,
    /// A hash of the request, if it may be to blame as a whole.
    request_hash: Option<u64>,
    /// Its attributes that may be to blame, each with a hash of it, the customer and the service.
    suspects: Vec<(Attribute, u64)>,
    /// The shortest time in milliseconds for which it had run.
    pub ran_ms: u32,
}

impl LostRequest {
    /// A lost request; of the suspects in it, those are left out for which `is_cleared` is true.
    pub fn new(
        profile: RequestProfile,
        ran_ms: u32,
        is_cleared: impl Fn(&Suspect) -> bool,
    ) -> LostRequest {
        let is_suspect = !is_cleared(&Suspect::Request(profile.fingerprint.clone()));
        let request_hash = is_suspect.then(|| profile.fingerprint.hash());
        let may_be_to_blame = |attribute: &Attribute| {
            let set = AttributeSet::new(profile.customer(), &profile.service, [*attribute]);
            !is_cleared(&Suspect::Attributes(set))
        };
        let suspects = profile.attributes().iter().filter(|a| may_be_to_blame(a));
        let suspects =
            suspects.map(|a| (*a, a.hash_of(profile.customer(), &profile.service))).collect();
        LostRequest { profile, request_hash, suspects, ran_ms }
    }

    /// The request and its hash, if it may be to blame as a whole.
    pub fn suspected_request(&self) -> Option<(&Fingerprint, u64)> {
        self.request_hash.map(|hash| (&self.profile.fingerprint, hash))
    }

    /// Its attributes that may be to blame, and their hashes.
    pub fn suspected_attributes(&self) -> impl Iterator<Item = (Attribute, u64)> {
        self.suspects.iter().copied()
    }

    /// Whether an attribute of it may be to blame.
    pub fn suspects_attribute(&self, attribute: Attribute) -> bool {
        self.suspects.iter().any(|(suspect, _)| *suspect == attribute)
    }

    /// Hashes of all that may be to blame.
    pub fn hashes(&self) -> impl Iterator<Item = u64> {
        self.request_hash.into_iter().chain(self.suspects.iter().map(|(_, hash)| *hash))
    }

    /// All that may be to blame, each attribute for itself.
    pub fn suspects(&self) -> Vec<Suspect> {
        let request = self.suspected_request().map(|(f, _)| Suspect::Request(f.clone()));
        let attributes = self.suspects.iter().map(|(attribute, _)| *attribute);
        let set = AttributeSet::new(self.customer(), self.service(), attributes);
        request.into_iter().chain(set.singles().map(Suspect::Attributes)).collect()
    }

    pub fn customer(&self) -> &str {
        self.profile.customer()
    }

    pub fn service(&self) -> &str {
        &self.profile.service
    }

    /// Whether a suspect is this request or something that it has, and may be to blame.
    pub fn may_be_due_to(&self, suspect: &Suspect) -> bool {
        match suspect {
            Suspect::Request(fingerprint) => {
                self.request_hash.is_some() && *fingerprint == self.profile.fingerprint
            }
            Suspect::Attributes(set) => {
                let mut attributes = set.attributes().iter();
                self.profile.has_all(set) && attributes.any(|a| self.suspects_attribute(*a))
            }
        }
    }

    /// Whether it has all attributes of a set, and each of these may be to blame.
    pub fn suspects_all(&self, set: &AttributeSet) -> bool {
        self.profile.has_all(set) && set.attributes().iter().all(|a| self.suspects_attribute(*a))
    }

    fn clear_request(&mut self) {
        self.request_hash = None;
    }

    fn clear_attributes(&mut self, set: &AttributeSet) {
        if set.customer == self.customer() && set.service == self.profile.service {
            self.suspects.retain(|(attribute, _)| !set.attributes().contains(attribute));
        }
    }

    /// Whether anything of it may be to blame.
    pub fn has_suspects(&self) -> bool {
        self.request_hash.is_some() || !self.suspects.is_empty()
    }
}

/// The crash of an endpoint that ended answers early.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub endpoint: EndpointStart,
    /// When the first answer was lost.
    pub at: Millis,
    /// When the last answer was lost.
    pub last_lost_at: Millis,
    /// The lost requests that may be to blame.
    lost: BTreeMap<Fingerprint, LostRequest>,
    /// The router that reported the crash first.
    router: HostId,
    has_other_reporters: bool,
}

impl Crash {
    pub fn new(endpoint: EndpointStart, at: Millis, router: HostId) -> Crash {
        let lost = BTreeMap::new();
        Crash { endpoint, at, last_lost_at: at, lost, router, has_other_reporters: false }
    }

    /// Whether a loss at this endpoint and time belongs to this crash.
    pub fn includes(&self, endpoint: &EndpointStart, at: Millis) -> bool {
        self.endpoint == *endpoint && self.at.abs_diff(at) < CRASH_WINDOW_MS
    }

    /// Records that a router lost an answer in this crash.
    pub fn record_report(&mut self, at: Millis, router: HostId) {
        self.has_other_reporters |= self.router != router;
        self.last_lost_at = self.last_lost_at.max(at);
    }

    /// Adds a lost request. Of one that is known already, what was cleared stays so.
    pub fn add_lost(&mut self, request: LostRequest) {
        if let Some(known) = self.lost.get_mut(&request.profile.fingerprint) {
            known.ran_ms = request.ran_ms.min(known.ran_ms);
        } else if self.lost.len() < MAX_LOST {
            self.lost.insert(request.profile.fingerprint.clone(), request);
        }
    }

    /// The lost requests that may be to blame.
    pub fn lost(&self) -> impl Iterator<Item = &LostRequest> {
        self.lost.values()
    }

    /// Whether a suspect may be to blame for the crash.
    pub fn may_be_due_to(&self, suspect: &Suspect) -> bool {
        match suspect {
            Suspect::Request(fingerprint) => {
                self.lost.get(fingerprint).is_some_and(|lost| lost.may_be_due_to(suspect))
            }
            Suspect::Attributes(_) => self.lost().any(|lost| lost.may_be_due_to(suspect)),
        }
    }

    /// Clears a suspect, or each attribute of a set.
    pub fn clear(&mut self, suspect: &Suspect) {
        match suspect {
            Suspect::Request(fingerprint) => {
                if let Some(lost) = self.lost.get_mut(fingerprint) {
                    lost.clear_request();
                }
            }
            Suspect::Attributes(set) => {
                self.lost.values_mut().for_each(|lost| lost.clear_attributes(set));
            }
        }
        self.lost.retain(|_, lost| lost.has_suspects());
    }

    /// Whether nothing is left that may be to blame.
    pub fn is_cleared(&self) -> bool {
        self.lost.is_empty()
    }

    pub fn is_confirmed(&self, now: Millis) -> bool {
        self.has_other_reporters || self.at + CONFIRMATION_MS <= now
    }
}
