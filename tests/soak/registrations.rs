//! Registrations of replicas while faults are injected.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::actors::{Context, call_control};
use crate::eventually;
use crate::replica::Replica;

pub const REGISTER_INTERVAL: Duration = Duration::from_millis(400);
/// Number of registrations of a replica per start.
const CALLS_OF_A_START: std::ops::Range<u64> = 4..20;
/// Calls that each router must serve while a replica gets none. With random choice, one of four
/// replicas is left out that often by chance once in three hundred times.
const MIN_SERVED: usize = 20;
/// Time between two checks of the served calls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Contents of one registration call.
#[derive(Clone, Copy, Debug)]
pub struct Registration<'a> {
    pub version: &'a str,
    pub state: &'a str,
    pub born: u64,
    pub sequence: u64,
}

pub fn epoch_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap().as_millis() as u64
}

/// Registers a replica of `app` at a random control host; returns whether it acknowledged.
pub async fn register(
    context: &Context,
    rng: &mut SmallRng,
    replica: &Replica,
    registration: Registration<'_>,
) -> bool {
    register_for("app", context, rng, replica, registration).await
}

/// Like [`register`], for a replica of any service.
pub async fn register_for(
    service: &str,
    context: &Context,
    rng: &mut SmallRng,
    replica: &Replica,
    registration: Registration<'_>,
) -> bool {
    let Registration { version, state, born, sequence } = registration;
    let body = format!(
        r#"{{"service":"{service}","address":"{}","zone":"a","version":"{version}","slots":6,"state":"{state}","warmupLeftMs":0,"born":{born},"callSeq":{sequence}}}"#,
        replica.address
    );
    let path = format!("/replicas/{}", replica.id);
    let control = context.fleet.control(rng.random_range(0..context.fleet.size.controls));
    let answer = call_control(control, "PUT", &path, &body).await;
    answer.is_some_and(|answer| answer.status == 200)
}

/// Registers a replica periodically at random control hosts, as real replicas do. At random it
/// restarts under the same id, with sequence numbers from 1.
pub async fn run_registrations(context: Context, replica: Replica, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !context.is_finished() {
        let born = epoch_ms();
        for sequence in 1..=rng.random_range(CALLS_OF_A_START) {
            let registration = Registration { version: "v1", state: "ready", born, sequence };
            // A registration without an answer is repeated in the next round.
            register(&context, &mut rng, &replica, registration).await;
            tokio::time::sleep(REGISTER_INTERVAL).await;
            if context.is_finished() {
                return;
            }
        }
    }
}

/// Registers a replica as draining until a control host acknowledges it.
pub async fn register_draining(context: &Context, rng: &mut SmallRng, replica: &Replica) {
    let born = epoch_ms();
    for sequence in 1.. {
        let registration = Registration { version: "v1", state: "draining", born, sequence };
        if register(context, rng, replica, registration).await {
            return;
        }
        tokio::time::sleep(REGISTER_INTERVAL).await;
    }
}

/// Registers a replica as ready and then as draining, repeatedly. Each time it keeps
/// registering as draining until no router sends it requests any more.
pub async fn run_leaving_replica(context: Context, replica: Replica, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !context.is_finished() {
        let born = epoch_ms();
        let ready = rng.random_range(CALLS_OF_A_START);
        for sequence in 1..=ready {
            let registration = Registration { version: "v1", state: "ready", born, sequence };
            register(&context, &mut rng, &replica, registration).await;
            tokio::time::sleep(REGISTER_INTERVAL).await;
            if context.is_finished() {
                return;
            }
        }
        let leaving = async {
            for sequence in ready + 1.. {
                let registration =
                    Registration { version: "v1", state: "draining", born, sequence };
                register(&context, &mut rng, &replica, registration).await;
                tokio::time::sleep(REGISTER_INTERVAL).await;
            }
        };
        let is_unused = tokio::select! {
            () = leaving => false,
            // The callers have stopped, so nothing can be concluded.
            () = context.finished.cancelled() => return,
            is_unused = eventually(|| gets_no_requests(&context, &replica)) => is_unused,
        };
        context.record(|h| h.leave_outcomes.push(is_unused));
    }
}

/// Whether a replica gets no requests while every router serves [`MIN_SERVED`] calls.
async fn gets_no_requests(context: &Context, replica: &Replica) -> bool {
    let before = replica.seen().len();
    let first = context.history.lock().unwrap().calls.len();
    let routers = context.fleet.size.routers;
    while context.history.lock().unwrap().min_served(first, routers) < MIN_SERVED {
        if replica.seen().len() > before {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    replica.seen().len() == before
}
