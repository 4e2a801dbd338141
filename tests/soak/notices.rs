//! A replica that says only in its answers that it leaves, and that asks for rest: its
//! registrations go on saying that it is ready, as where the control host that it told is
//! cut off.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::actors::{self, Stage};
use crate::comes_about;
use crate::history::{History, Told};
use crate::registrations::{REGISTER_PAUSE, Said, epoch_ms, register};
use crate::replica::{Arrival, Replica};

/// Milliseconds of a rest.
const REST_MS: Range<u64> = 300..4_000;
/// Registrations of one start before it leaves, and from then to the next start.
const READY_CALLS: Range<u64> = 2..6;
const LEAVING_CALLS: Range<u64> = 2..6;

/// Registers a replica again and again; now and then it rests, leaves, and starts again.
pub async fn speak_on(stage: Stage, replica: Replica, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !stage.is_over() {
        let born = epoch_ms();
        let ready = rng.random_range(READY_CALLS);
        let calls = ready + rng.random_range(LEAVING_CALLS);
        for sequence in 1..=calls {
            if sequence == ready {
                replica.set_leaving(true);
            } else if rng.random_bool(0.5) {
                replica.rest(Duration::from_millis(rng.random_range(REST_MS)));
            }
            let said = Said { version: "v1", state: "ready", born, sequence };
            // Unanswered, it is sent again at the next turn.
            register(&stage, &mut rng, &replica, said).await;
            tokio::time::sleep(REGISTER_PAUSE).await;
            if stage.is_over() {
                return;
            }
        }
        replica.restart();
    }
}

/// Whether the replica gets requests from every router after its last start.
pub async fn is_used_again(stage: &Stage, replica: &Replica, seed: u64) -> bool {
    replica.restart();
    let said = Said { version: "v1", state: "ready", born: epoch_ms(), sequence: 1 };
    let mut rng = SmallRng::seed_from_u64(seed);
    while !register(stage, &mut rng, replica, said).await {
        tokio::time::sleep(REGISTER_PAUSE).await;
    }
    for router in 0..stage.fleet.size.routers {
        let is_reached = async || {
            let before = replica.arrivals().len();
            actors::is_served(stage, router).await;
            replica.arrivals().len() > before
        };
        if !comes_about(is_reached).await {
            return false;
        }
    }
    true
}

impl History {
    /// Once a router has passed on the answer by which it learnt that a replica leaves, or
    /// has answered the request that was turned away with a request for rest, no request that
    /// is asked of that life of its process later reaches that start of the replica, or does
    /// so during that rest.
    pub fn notices_passed_over(&self) -> Vec<String> {
        let calls =
            self.calls.iter().filter_map(|call| Some((&call.id, (call.router, call.told?))));
        let calls: BTreeMap<&String, (usize, Told)> = calls.collect();
        let told = |arrival: &Arrival| calls.get(&arrival.id).copied();
        let said = self.arrivals.iter().filter(|arrival| arrival.leaving || arrival.turned_away);
        let mut broken = Vec::new();
        for first in said {
            let Some((router, told_first)) = told(first) else { continue };
            let later = self.arrivals.iter().filter(|later| later.start == first.start);
            let later = later.filter(|later| {
                told(later).is_some_and(|(asked, told_later)| {
                    asked == router
                        && told_later.life == told_first.life
                        && told_later.asked > told_first.answered
                })
            });
            let is_barred = |later: &&Arrival| {
                first.leaving || first.rests_until.is_some_and(|until| later.at < until)
            };
            broken.extend(later.filter(is_barred).map(|later| {
                let what = if first.leaving { "leaves" } else { "rests" };
                format!(
                    "router {router} sent {} to a replica that {what} by {}",
                    later.id, first.id
                )
            }));
        }
        broken
    }
}
