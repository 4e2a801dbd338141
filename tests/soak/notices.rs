//! A replica that announces leaving, and requests rests, only in its answers: its
//! registrations keep reporting that it is ready, as when the control host that was notified
//! is cut off.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::actors::{self, Context};
use crate::eventually;
use crate::history::{CallTimes, History};
use crate::registrations::{REGISTER_INTERVAL, Registration, epoch_ms, register};
use crate::replica::{Arrival, Replica};

/// Length of a rest, in milliseconds.
const REST_MS: Range<u64> = 300..4_000;
/// Number of registrations of one start before the replica leaves.
const READY_CALLS: Range<u64> = 2..6;
/// Number of registrations from then to the next start.
const LEAVING_CALLS: Range<u64> = 2..6;

/// Registers a replica repeatedly; at random it requests rests, leaves, and is restarted.
pub async fn run_notices(context: Context, replica: Replica, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !context.is_finished() {
        let born = epoch_ms();
        let ready = rng.random_range(READY_CALLS);
        let calls = ready + rng.random_range(LEAVING_CALLS);
        for sequence in 1..=calls {
            if sequence == ready {
                replica.set_leaving(true);
            } else if rng.random_bool(0.5) {
                replica.rest(Duration::from_millis(rng.random_range(REST_MS)));
            }
            let registration = Registration { version: "v1", state: "ready", born, sequence };
            // A registration without an answer is repeated in the next round.
            register(&context, &mut rng, &replica, registration).await;
            tokio::time::sleep(REGISTER_INTERVAL).await;
            if context.is_finished() {
                return;
            }
        }
        replica.restart();
    }
}

/// Restarts the replica, and returns whether it then gets requests from every router.
pub async fn is_used_again(context: &Context, replica: &Replica, seed: u64) -> bool {
    replica.restart();
    let registration =
        Registration { version: "v1", state: "ready", born: epoch_ms(), sequence: 1 };
    let mut rng = SmallRng::seed_from_u64(seed);
    while !register(context, &mut rng, replica, registration).await {
        tokio::time::sleep(REGISTER_INTERVAL).await;
    }
    for router in 0..context.fleet.size.routers {
        let is_reached = async || {
            let before = replica.arrivals().len();
            actors::is_served(context, router).await;
            replica.arrivals().len() > before
        };
        if !eventually(is_reached).await {
            return false;
        }
    }
    true
}

impl History {
    /// Requests that a router sent to a replica in spite of a notice. Once a router has
    /// answered a call whose answer from the replica announced leaving or requested a rest, no
    /// later call to the same start of the router may reach the same start of the replica: ever
    /// if it leaves, until the end of the rest otherwise.
    pub fn ignored_notices(&self) -> Vec<String> {
        let calls =
            self.calls.iter().filter_map(|call| Some((&call.id, (call.router, call.times?))));
        let calls: BTreeMap<&String, (usize, CallTimes)> = calls.collect();
        let times = |arrival: &Arrival| calls.get(&arrival.id).copied();
        let notices = self.arrivals.iter().filter(|arrival| arrival.leaving || arrival.turned_away);
        let mut violations = Vec::new();
        for first in notices {
            let Some((router, first_times)) = times(first) else { continue };
            let later = self.arrivals.iter().filter(|later| later.start == first.start);
            let later = later.filter(|later| {
                times(later).is_some_and(|(asked, later_times)| {
                    asked == router
                        && later_times.start_number == first_times.start_number
                        && later_times.asked > first_times.answered
                })
            });
            let is_excluded = |later: &&Arrival| {
                first.leaving || first.rests_until.is_some_and(|until| later.at < until)
            };
            violations.extend(later.filter(is_excluded).map(|later| {
                let what = if first.leaving { "leaves" } else { "rests" };
                format!(
                    "router {router} sent {} to a replica that {what} by {}",
                    later.id, first.id
                )
            }));
        }
        violations
    }
}
