//! Load shedding of a router that lacks processor time or descriptors.
//!
//! On a busy router, requests wait at every step for the event loop, and answers of other
//! hosts appear late. It sheds load in three steps: it hands new connections over to other
//! routers; it reports that it is not ready, so that the platform sends new connections to
//! others; and if that is not enough, it refuses new requests at once, so that callers retry
//! through another router.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits of a router's own load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OverloadRules {
    /// Milliseconds of event loop lag from which new connections are handed over to other
    /// routers, until the lag falls below half of it.
    pub hand_over_lag_ms: u64,
    /// The same in requests that this router serves itself: a burst of one customer arrives
    /// before the lag shows it.
    pub hand_over_requests: usize,
    /// Milliseconds to wait for another router's answer to a handover: several round trips
    /// within a data hall.
    pub hand_over_answer_ms: u64,
    /// Milliseconds of event loop lag from which the router is not ready for new
    /// connections.
    pub unready_lag_ms: u64,
    /// Milliseconds of lag below which it is ready again.
    pub ready_lag_ms: u64,
    /// Milliseconds of lag from which new requests are refused.
    pub refuse_lag_ms: u64,
    /// Descriptors that the process may hold open.
    pub descriptors: usize,
}

impl Default for OverloadRules {
    fn default() -> Self {
        OverloadRules {
            hand_over_lag_ms: 4,
            // For streams of some 40 events that last a second: 0.12 cores serve 50 to 60 of
            // them (docs/CAPACITY.md), 0.25 cores twice as many.
            hand_over_requests: 100,
            hand_over_answer_ms: 60,
            unready_lag_ms: 8,
            ready_lag_ms: 3,
            refuse_lag_ms: 40,
            descriptors: 8_192,
        }
    }
}

/// Descriptors reserved for files, feeds and sessions, in percent.
const RESERVED_PERCENT: usize = 10;
/// Percentage of the connections that callers may hold, from which the router is not ready
/// for new ones.
const UNREADY_CONNECTIONS_PERCENT: usize = 80;

impl OverloadRules {
    /// Connections that callers may hold: each may need one to an endpoint.
    pub fn max_caller_connections(&self) -> usize {
        (self.descriptors - self.descriptors * RESERVED_PERCENT / 100) / 2
    }
}

/// A router's own load, and which connections and requests it accepts under it.
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

    /// Records the lag of the event loop; returns whether readiness changed.
    pub fn set_lag(&mut self, lag: Duration) -> bool {
        self.lag = lag;
        let hand_over = Duration::from_millis(self.rules.hand_over_lag_ms);
        let from = if self.handing_over { hand_over / 2 } else { hand_over };
        self.handing_over = lag >= from;
        let limit =
            if self.is_unready { self.rules.ready_lag_ms } else { self.rules.unready_lag_ms };
        let is_unready = lag >= Duration::from_millis(limit) || self.is_near_connection_limit();
        std::mem::replace(&mut self.is_unready, is_unready) != is_unready
    }

    /// Counts a new connection of a caller; false where no more can be held.
    pub fn try_add_connection(&mut self) -> bool {
        if self.connections >= self.rules.max_caller_connections() {
            return false;
        }
        self.add_connection();
        true
    }

    /// Counts a new connection of a caller for which another one is being closed.
    pub fn add_connection(&mut self) {
        self.connections += 1;
    }

    /// Counts a closed connection of a caller.
    pub fn remove_connection(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    fn is_near_connection_limit(&self) -> bool {
        self.connections * 100 >= self.rules.max_caller_connections() * UNREADY_CONNECTIONS_PERCENT
    }

    /// Whether the router is ready for new connections.
    pub fn is_ready(&self) -> bool {
        !self.is_unready
    }

    /// Whether new connections are handed over to other routers, given the number of requests
    /// that this one serves itself.
    pub fn should_hand_over(&self, serving: usize) -> bool {
        self.handing_over || serving >= self.rules.hand_over_requests
    }

    /// Whether connections that other routers hand over are accepted, given the number of
    /// requests that this one serves itself.
    pub fn accepts_handover(&self, serving: usize) -> bool {
        !self.should_hand_over(serving) && !self.is_unready
    }

    /// Whether new requests are refused.
    pub fn refuses(&self) -> bool {
        self.lag >= Duration::from_millis(self.rules.refuse_lag_ms)
    }

    /// Number of connections that callers hold.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// The lag last recorded.
    pub fn lag(&self) -> Duration {
        self.lag
    }
}
