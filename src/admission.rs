//! Admission control of a router: a limit on each customer's requests and bytes.

use std::collections::HashMap;

use crate::config::{Customer, CustomerId};

#[cfg(test)]
mod tests;

/// Reason why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The customer already has its maximum number of requests open at this router.
    TooManyRequests,
    /// The customer would have too many body bytes open at this router.
    TooManyBytes,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    requests: u32,
    bytes: u64,
}

/// Open requests and body bytes of each customer at one router.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    usage: HashMap<CustomerId, Usage>,
}

impl Admission {
    /// Admits a request with a body of `bytes`, or returns why not. A customer's first open
    /// request is admitted whatever its size.
    pub fn admit(&mut self, id: CustomerId, customer: &Customer, bytes: u64) -> Result<(), Denied> {
        let usage = self.usage.entry(id).or_default();
        if usage.requests >= customer.max_waiting {
            return Err(Denied::TooManyRequests);
        }
        if usage.requests > 0 && usage.bytes + bytes > customer.max_bytes {
            return Err(Denied::TooManyBytes);
        }
        usage.requests += 1;
        usage.bytes += bytes;
        Ok(())
    }

    /// Releases a request with a body of `bytes` that no longer waits at this router.
    pub fn release(&mut self, id: CustomerId, bytes: u64) {
        let Some(usage) = self.usage.get_mut(&id) else {
            return;
        };
        usage.requests = usage.requests.saturating_sub(1);
        usage.bytes = usage.bytes.saturating_sub(bytes);
        if usage.requests == 0 {
            self.usage.remove(&id);
        }
    }

    /// Number of requests waiting at this router.
    pub fn waiting(&self) -> u64 {
        self.usage.values().map(|u| u64::from(u.requests)).sum()
    }
}
