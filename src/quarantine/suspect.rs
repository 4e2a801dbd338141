//! What can be blamed for crashes: a request, or what requests share.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::Fingerprint;
use super::attributes::{Attribute, AttributeSet};

/// What precedes the attributes in the text form of a set of them.
const PREFIX: &str = "with-";
/// What separates two attributes in that form.
const SEPARATOR: char = '+';

/// What can be blamed for crashes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Suspect {
    /// A request.
    Request(Fingerprint),
    /// All requests that have these attributes: one of them crashes endpoints, and nothing has
    /// told them apart yet.
    Attributes(AttributeSet),
}

impl Suspect {
    /// Whether it is another suspect to which all requests belong that belong to `before`.
    pub fn replaces(&self, before: &Suspect) -> bool {
        match (self, before) {
            (Suspect::Attributes(set), Suspect::Attributes(before)) => {
                set != before && set.is_subset_of(before)
            }
            _ => false,
        }
    }

    /// The customer whose requests are meant.
    pub fn customer(&self) -> &str {
        match self {
            Suspect::Request(fingerprint) => &fingerprint.customer,
            Suspect::Attributes(set) => &set.customer,
        }
    }
}

impl From<Fingerprint> for Suspect {
    fn from(fingerprint: Fingerprint) -> Suspect {
        Suspect::Request(fingerprint)
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Suspect::Request(fingerprint) => fingerprint.fmt(f),
            Suspect::Attributes(set) => {
                write!(f, "{}/{}/{PREFIX}", set.customer, set.service)?;
                for (number, attribute) in set.attributes().iter().enumerate() {
                    if number > 0 {
                        write!(f, "{SEPARATOR}")?;
                    }
                    attribute.fmt(f)?;
                }
                Ok(())
            }
        }
    }
}

/// The error for a text that names no suspect.
#[derive(Debug, Snafu)]
#[snafu(display(
    "neither a customer, a slash and 32 hexadecimal digits, nor CUSTOMER/SERVICE/with-part:ID"
))]
pub struct InvalidSuspect;

impl FromStr for Suspect {
    type Err = InvalidSuspect;

    fn from_str(text: &str) -> Result<Suspect, InvalidSuspect> {
        let (owner, name) = text.rsplit_once('/').ok_or(InvalidSuspect)?;
        let Some(attributes) = name.strip_prefix(PREFIX) else {
            return text.parse().map(Suspect::Request).map_err(|_| InvalidSuspect);
        };
        let (customer, service) = owner.rsplit_once('/').ok_or(InvalidSuspect)?;
        let attributes: Result<Vec<Attribute>, _> =
            attributes.split(SEPARATOR).map(str::parse).collect();
        Ok(Suspect::Attributes(AttributeSet::new(customer, service, attributes?)))
    }
}
