//! Fingerprints, by which a request is recognised when it is sent again.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64_with_seed};

/// Identifies a request across attempts: its customer, and a digest of its path and body. The
/// customer is kept beside the digest, so that no customer can forge a request with the
/// fingerprint of another customer's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    /// The customer's name; empty if the route requires none.
    pub customer: String,
    digest: u128,
}

impl Fingerprint {
    /// The fingerprint of a customer's request: `path` holds all parts that name its target,
    /// including the query.
    pub fn of(customer: &str, path: &[&str], body: &[u8]) -> Fingerprint {
        let mut hasher = Xxh3Default::new();
        for part in path {
            // The length in front keeps different lists of parts from hashing alike.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        Fingerprint { customer: customer.to_string(), digest: hasher.digest128() }
    }

    /// A short hash of the customer and the digest, for tables.
    pub(super) fn hash(&self) -> u64 {
        xxh3_64_with_seed(self.customer.as_bytes(), self.digest as u64)
    }
}

/// The error for a text that is not a fingerprint.
#[derive(Debug, Snafu)]
#[snafu(display("not a customer, a slash and 32 hexadecimal digits"))]
pub struct InvalidFingerprint;

impl FromStr for Fingerprint {
    type Err = InvalidFingerprint;

    fn from_str(text: &str) -> Result<Fingerprint, InvalidFingerprint> {
        let (customer, digest) = text.rsplit_once('/').ok_or(InvalidFingerprint)?;
        let digest = u128::from_str_radix(digest, 16).map_err(|_| InvalidFingerprint)?;
        Ok(Fingerprint { customer: customer.to_string(), digest })
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:032x}", self.customer, self.digest)
    }
}
