//! What a router lets in: a bound on each customer's requests and bytes.

use std::collections::HashMap;

use crate::config::{Customer, CustomerId};

#[cfg(test)]
mod tests;

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The customer has as many requests open here as it may have waiting.
    TooManyRequests,
    /// The customer has too many body bytes open here.
    TooManyBytes,
}

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    requests: u32,
    bytes: u64,
}

/// What each customer has waiting at one router.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    held: HashMap<CustomerId, Held>,
}

impl Admission {
    /// Lets a request of `bytes` in, or says why not.
    pub fn admit(&mut self, id: CustomerId, customer: &Customer, bytes: u64) -> Result<(), Denied> {
        let held = self.held.entry(id).or_default();
        if held.requests >= customer.max_waiting {
            return Err(Denied::TooManyRequests);
        }
        if held.requests > 0 && held.bytes + bytes > customer.max_bytes {
            return Err(Denied::TooManyBytes);
        }
        held.requests += 1;
        held.bytes += bytes;
        Ok(())
    }

    /// A request no longer waits here.
    pub fn release(&mut self, id: CustomerId, bytes: u64) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        held.requests = held.requests.saturating_sub(1);
        held.bytes = held.bytes.saturating_sub(bytes);
        if held.requests == 0 {
            self.held.remove(&id);
        }
    }

    /// Requests waiting here.
    pub fn waiting(&self) -> u64 {
        self.held.values().map(|h| u64::from(h.requests)).sum()
    }
}
