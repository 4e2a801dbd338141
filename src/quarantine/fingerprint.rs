//! How a request is told apart from others, so that it is known when it comes again.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64_with_seed};

/// A request as it comes again and again: whose it is, and a digest of its path and body.
/// The customer stands beside the digest, so that nobody can make up a request that is
/// taken for another customer's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    /// The customer's name; empty where a route asks for none.
    pub customer: String,
    digest: u128,
}

impl Fingerprint {
    /// The fingerprint of a customer's request: `path` is all that names its target, query
    /// included.
    pub fn of(customer: &str, path: &[&str], body: &[u8]) -> Fingerprint {
        let mut hasher = Xxh3Default::new();
        for part in path {
            // With the length in front no two lists of parts are alike.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        Fingerprint { customer: customer.to_string(), digest: hasher.digest128() }
    }

    /// A short hash of the whole, for tables.
    pub(super) fn hash(&self) -> u64 {
        xxh3_64_with_seed(self.customer.as_bytes(), self.digest as u64)
    }
}

/// A text that names no request.
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
