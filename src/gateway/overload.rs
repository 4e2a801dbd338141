//! When a router has more to do than its processor and descriptors bear.
//!
//! Requests wait at every step for the event loop, and answers of other hosts
//! seem late to it. So it sheds load in three steps: it hands new connections over to
//! other routers; it is not ready for more, which the platform then gives to others;
//! and if that is not enough, it refuses new requests at once, so that callers come
//! back through another router.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits of a router's own load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OverloadRules {
    /// Milliseconds of lag of the event loop from which on new connections are handed
    /// over to other routers; at half of it no more.
    pub hand_over_lag_ms: u64,
    /// The same by requests that this router serves itself: a burst of one customer
    /// is there before the lag shows it.
    pub hand_over_requests: usize,
    /// Milliseconds that another router may take to say whether it takes a connection:
    /// several round trips within a data hall.
    pub hand_over_answer_ms: u64,
    /// Milliseconds of lag of the event loop from which on new connections
    /// should go elsewhere.
    pub unready_lag_ms: u64,
    /// Milliseconds of lag below which they may come again.
    pub ready_lag_ms: u64,
    /// Milliseconds of lag from which on new requests are refused.
    pub refuse_lag_ms: u64,
    /// Descriptors that the process may hold open.
    pub descriptors: usize,
}

impl Default for OverloadRules {
    fn default() -> Self {
        OverloadRules {
            hand_over_lag_ms: 4,
            // Streams of some 40 events that last a second: 0.12 cores bear 50 to 60
            // (docs/CAPACITY.md), 0.25 cores twice as many.
            hand_over_requests: 100,
            hand_over_answer_ms: 60,
            unready_lag_ms: 8,
            ready_lag_ms: 3,
            refuse_lag_ms: 40,
            descriptors: 8_192,
        }
    }
}

/// Descriptors kept back for files, feeds and sessions, in hundredths.
const RESERVED_PERCENT: usize = 10;
/// Of the connections that callers may hold, the part from which on new ones
/// should go elsewhere, in hundredths.
const CROWDED_PERCENT: usize = 80;

impl OverloadRules {
    /// Connections that callers may hold: each may need one to an endpoint.
    pub fn max_caller_connections(&self) -> usize {
        (self.descriptors - self.descriptors * RESERVED_PERCENT / 100) / 2
    }
}

/// What a router takes on, given its load.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    rules: OverloadRules,
    lag: Duration,
    connections: usize,
    is_unready: bool,
    handing_over: bool,
}

impl Overload {
    /// An idle router.
    pub fn new(rules: OverloadRules) -> Overload {
        let handing_over = rules.hand_over_lag_ms == 0;
        Overload { rules, lag: Duration::ZERO, connections: 0, is_unready: false, handing_over }
    }

    /// Takes in the lag of the event loop; returns whether readiness changed.
    pub fn set_lag(&mut self, lag: Duration) -> bool {
        self.lag = lag;
        let hand_over = Duration::from_millis(self.rules.hand_over_lag_ms);
        let from = if self.handing_over { hand_over / 2 } else { hand_over };
        self.handing_over = lag >= from;
        let limit =
            if self.is_unready { self.rules.ready_lag_ms } else { self.rules.unready_lag_ms };
        let is_unready = lag >= Duration::from_millis(limit) || self.is_crowded();
        std::mem::replace(&mut self.is_unready, is_unready) != is_unready
    }

    /// A caller connects; false where no more connections can be held.
    pub fn try_add_connection(&mut self) -> bool {
        if self.connections >= self.rules.max_caller_connections() {
            return false;
        }
        self.connections += 1;
        true
    }

    /// A caller's connection has closed.
    pub fn remove_connection(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    fn is_crowded(&self) -> bool {
        self.connections * 100 >= self.rules.max_caller_connections() * CROWDED_PERCENT
    }

    /// Whether new connections should come here.
    pub fn is_ready(&self) -> bool {
        !self.is_unready
    }

    /// Whether new connections are handed over to other routers, while this one serves
    /// so many requests itself.
    pub fn should_hand_over(&self, serving: usize) -> bool {
        self.handing_over || serving >= self.rules.hand_over_requests
    }

    /// Whether connections that other routers hand over are taken, while this one serves
    /// so many requests itself.
    pub fn accepts_handover(&self, serving: usize) -> bool {
        !self.should_hand_over(serving) && !self.is_unready
    }

    /// Whether new requests are refused.
    pub fn refuses(&self) -> bool {
        self.lag >= Duration::from_millis(self.rules.refuse_lag_ms)
    }

    /// Connections that callers hold.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// The lag last taken in.
    pub fn lag(&self) -> Duration {
        self.lag
    }
}
