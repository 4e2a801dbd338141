//! What several requests may share and be blamed for.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::suspect::InvalidSuspect;

/// Something that several requests may have, and that may be what crashes endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Attribute {
    /// A part of the prompt, by the id of its content.
    Part(u64),
    /// The model, by a hash of its name.
    Model(u64),
}

impl Attribute {
    /// Whether it may be blamed without others. All requests to a service may have the same model,
    /// so that to refuse it would be to refuse the service.
    pub(super) fn may_be_blamed_alone(self) -> bool {
        match self {
            Attribute::Part(_) => true,
            Attribute::Model(_) => false,
        }
    }

    /// A short hash of it as an attribute of a customer's requests to a service, for tables.
    pub(super) fn hash_of(self, customer: &str, service: &str) -> u64 {
        let (kind, id) = match self {
            Attribute::Part(id) => (1_u64, id),
            Attribute::Model(hash) => (2, hash),
        };
        let owner = xxh3_64_with_seed(service.as_bytes(), kind);
        xxh3_64_with_seed(customer.as_bytes(), owner ^ id)
    }
}

impl fmt::Display for Attribute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Attribute::Part(id) => write!(f, "part:{id:x}"),
            Attribute::Model(hash) => write!(f, "model:{hash:x}"),
        }
    }
}

impl FromStr for Attribute {
    type Err = InvalidSuspect;

    fn from_str(text: &str) -> Result<Attribute, InvalidSuspect> {
        let (kind, id) = text.split_once(':').ok_or(InvalidSuspect)?;
        let id = u64::from_str_radix(id, 16).map_err(|_| InvalidSuspect)?;
        match kind {
            "part" => Ok(Attribute::Part(id)),
            "model" => Ok(Attribute::Model(id)),
            _ => Err(InvalidSuspect),
        }
    }
}

/// Attributes of requests of one customer to one service. Requests of another customer that have
/// the same attributes are not meant, so that no customer can have those of others refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttributeSet {
    /// The customer's name; empty if the route requires none.
    pub customer: String,
    /// The service whose endpoints run the requests.
    pub service: String,
    /// The attributes, sorted and without duplicates.
    attributes: Vec<Attribute>,
}

impl AttributeSet {
    /// The set of these attributes, in any order.
    pub fn new(
        customer: &str,
        service: &str,
        attributes: impl IntoIterator<Item = Attribute>,
    ) -> AttributeSet {
        let mut attributes: Vec<_> = attributes.into_iter().collect();
        attributes.sort_unstable();
        attributes.dedup();
        AttributeSet { customer: customer.to_string(), service: service.to_string(), attributes }
    }

    /// The attributes, sorted.
    pub fn attributes(&self) -> &[Attribute] {
        &self.attributes
    }

    /// Whether a set of these attributes alone may be blamed.
    pub(super) fn may_be_blamed(&self) -> bool {
        self.attributes.iter().any(|attribute| attribute.may_be_blamed_alone())
    }

    /// Whether both are about the same customer and service, and have an attribute in common.
    pub fn overlaps(&self, other: &AttributeSet) -> bool {
        self.customer == other.customer
            && self.service == other.service
            && self.attributes.iter().any(|attribute| other.attributes.contains(attribute))
    }

    /// Whether `other` is about the same customer and service and has all of the attributes.
    pub fn is_subset_of(&self, other: &AttributeSet) -> bool {
        self.customer == other.customer
            && self.service == other.service
            && self.attributes.iter().all(|attribute| other.attributes.contains(attribute))
    }

    /// Each attribute as a set of its own.
    pub fn singles(&self) -> impl Iterator<Item = AttributeSet> {
        self.attributes.iter().map(|attribute| AttributeSet {
            customer: self.customer.clone(),
            service: self.service.clone(),
            attributes: vec![*attribute],
        })
    }

    /// The same without the attributes for which `is_dropped` is true; `None` if none is left.
    pub fn without(&self, is_dropped: impl Fn(Attribute) -> bool) -> Option<AttributeSet> {
        let left = self.attributes.iter().copied().filter(|attribute| !is_dropped(*attribute));
        let left = AttributeSet::new(&self.customer, &self.service, left);
        (!left.attributes.is_empty()).then_some(left)
    }
}
