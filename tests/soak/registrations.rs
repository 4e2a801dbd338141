//! What replicas say of themselves while faults come.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::actors::{Stage, ask_control};
use crate::comes_about;
use crate::replica::Replica;

pub const REGISTER_PAUSE: Duration = Duration::from_millis(400);
/// Calls of a replica between two of its starts.
const CALLS_OF_A_START: std::ops::Range<u64> = 4..20;
/// Calls that each router must serve while a replica gets none: chosen by chance, one of four
/// replicas is left out so often once in three hundred times.
const SERVED: usize = 20;
/// Time between two looks at what was served.
const LOOK: Duration = Duration::from_millis(100);

/// One call of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Said<'a> {
    pub version: &'a str,
    pub state: &'a str,
    pub born: u64,
    pub sequence: u64,
}

pub fn epoch_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap().as_millis() as u64
}

/// Calls any control host; whether the call was acknowledged.
pub async fn register(
    stage: &Stage,
    rng: &mut SmallRng,
    replica: &Replica,
    said: Said<'_>,
) -> bool {
    register_for("app", stage, rng, replica, said).await
}

/// The same for a replica of any service.
pub async fn register_for(
    service: &str,
    stage: &Stage,
    rng: &mut SmallRng,
    replica: &Replica,
    said: Said<'_>,
) -> bool {
    let Said { version, state, born, sequence } = said;
    let body = format!(
        r#"{{"service":"{service}","address":"{}","zone":"a","version":"{version}","slots":6,"state":"{state}","warmupLeftMs":0,"born":{born},"callSeq":{sequence}}}"#,
        replica.address
    );
    let path = format!("/replicas/{}", replica.id);
    let control = stage.fleet.control(rng.random_range(0..stage.fleet.size.controls));
    let answer = ask_control(control, "PUT", &path, &body).await;
    answer.is_some_and(|answer| answer.status == 200)
}

/// Registers a replica again and again, as replicas do, at any control host. Now and then
/// it starts again under its id, and counts from one.
pub async fn register_on(stage: Stage, replica: Replica, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !stage.is_over() {
        let born = epoch_ms();
        for sequence in 1..=rng.random_range(CALLS_OF_A_START) {
            let said = Said { version: "v1", state: "ready", born, sequence };
            // Unanswered, it is sent again at the next turn.
            register(&stage, &mut rng, &replica, said).await;
            tokio::time::sleep(REGISTER_PAUSE).await;
            if stage.is_over() {
                return;
            }
        }
    }
}

/// Says that a replica leaves, until a control host acknowledges it.
pub async fn say_draining(stage: &Stage, rng: &mut SmallRng, replica: &Replica) {
    let born = epoch_ms();
    for sequence in 1.. {
        let said = Said { version: "v1", state: "draining", born, sequence };
        if register(stage, rng, replica, said).await {
            return;
        }
        tokio::time::sleep(REGISTER_PAUSE).await;
    }
}

/// A replica comes, leaves, and comes again: each time it says that it leaves, and goes on
/// saying so until no router sends it anything more.
pub async fn come_and_leave_on(stage: Stage, replica: Replica, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !stage.is_over() {
        let born = epoch_ms();
        let ready = rng.random_range(CALLS_OF_A_START);
        for sequence in 1..=ready {
            let said = Said { version: "v1", state: "ready", born, sequence };
            register(&stage, &mut rng, &replica, said).await;
            tokio::time::sleep(REGISTER_PAUSE).await;
            if stage.is_over() {
                return;
            }
        }
        let leaving = async {
            for sequence in ready + 1.. {
                let said = Said { version: "v1", state: "draining", born, sequence };
                register(&stage, &mut rng, &replica, said).await;
                tokio::time::sleep(REGISTER_PAUSE).await;
            }
        };
        let passed_by = tokio::select! {
            () = leaving => false,
            // Nobody calls any more.
            () = stage.over.cancelled() => return,
            passed_by = comes_about(|| is_passed_by(&stage, &replica)) => passed_by,
        };
        stage.note(|h| h.leaves.push(passed_by));
    }
}

/// Whether a replica gets nothing while every router serves.
async fn is_passed_by(stage: &Stage, replica: &Replica) -> bool {
    let before = replica.seen().len();
    let first = stage.history.lock().unwrap().calls.len();
    let routers = stage.fleet.size.routers;
    while stage.history.lock().unwrap().served_by_each(first, routers) < SERVED {
        if replica.seen().len() > before {
            return false;
        }
        tokio::time::sleep(LOOK).await;
    }
    replica.seen().len() == before
}
