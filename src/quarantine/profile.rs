//! What of one request can be blamed.

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use super::attributes::{Attribute, AttributeSet};
use super::suspect::Suspect;

/// Maximum number of attributes of one request that can be blamed. It bounds what a router
/// reports of a lost request, and what the leader keeps of it.
pub const MAX_ATTRIBUTES: usize = 32;

/// All that can be blamed of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestProfile {
    /// Identifies the request when it is sent again.
    pub fingerprint: Fingerprint,
    /// The service whose endpoints run it.
    pub service: String,
    /// What it may share with other requests, [`MAX_ATTRIBUTES`] at most.
    attributes: Vec<Attribute>,
}

impl RequestProfile {
    /// The profile of a request. Attributes beyond [`MAX_ATTRIBUTES`] are left out.
    pub fn new(
        fingerprint: Fingerprint,
        service: &str,
        attributes: impl IntoIterator<Item = Attribute>,
    ) -> RequestProfile {
        let attributes = attributes.into_iter().take(MAX_ATTRIBUTES).collect();
        RequestProfile { fingerprint, service: service.to_string(), attributes }
    }

    /// The customer's name; empty if the route requires none.
    pub fn customer(&self) -> &str {
        &self.fingerprint.customer
    }

    /// What it may share with other requests.
    pub fn attributes(&self) -> &[Attribute] {
        &self.attributes
    }

    /// Whether a suspect is this request, or something that it has.
    pub fn matches(&self, suspect: &Suspect) -> bool {
        match suspect {
            Suspect::Request(fingerprint) => *fingerprint == self.fingerprint,
            Suspect::Attributes(set) => self.has_all(set),
        }
    }

    /// Whether it is a request of the set's customer to the set's service and has all of its
    /// attributes.
    pub(super) fn has_all(&self, set: &AttributeSet) -> bool {
        set.customer == self.customer()
            && set.service == self.service
            && set.attributes().iter().all(|attribute| self.attributes.contains(attribute))
    }

    /// The set of those of its attributes for which `is_kept` is true; `None` if there are none.
    pub fn attributes_where(&self, is_kept: impl Fn(Attribute) -> bool) -> Option<AttributeSet> {
        AttributeSet::new(self.customer(), &self.service, self.attributes.iter().copied())
            .without(|attribute| !is_kept(attribute))
    }

    /// Removes those of the attributes that a set has, if it is about the same customer and
    /// service. Returns whether it had any of them.
    pub(super) fn remove_attributes(&mut self, set: &AttributeSet) -> bool {
        let before = self.attributes.len();
        if set.customer == self.customer() && set.service == self.service {
            self.attributes.retain(|attribute| !set.attributes().contains(attribute));
        }
        self.attributes.len() < before
    }
}
