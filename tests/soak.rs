//! A soak of the real programs: faults by seed while an operator, callers and replicas
//! use the fleet, and checks of what they saw. `docs/SOAK.md` says how to run it long.

#[path = "soak/actors.rs"]
mod actors;
#[path = "soak/checks.rs"]
mod checks;
#[path = "soak/crashers.rs"]
mod crashers;
#[path = "soak/faults.rs"]
mod faults;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/history.rs"]
mod history;
#[path = "soak/notices.rs"]
mod notices;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/registrations.rs"]
mod registrations;
#[path = "soak/silence.rs"]
mod silence;
// Shared with the tests of the platform, which use more of them.
#[allow(dead_code)]
#[path = "platform/http.rs"]
mod http;
#[allow(dead_code)]
#[path = "platform/replica.rs"]
mod replica;

use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use actors::Stage;
use crashers::Crashers;
use fleet::{Fleet, Size};
use history::{History, Says};
use replica::{Behaviour, Replica};

/// Processes in CI; `SOAK_CONTROLS` and `SOAK_ROUTERS` for others.
const SIZE: Size = Size { controls: 3, routers: 2 };
/// Callers of each router.
const CALLERS: usize = 3;
/// How long faults go on in CI; `SOAK_SECONDS` for longer.
const SECONDS: u64 = 12;
/// The seeds of CI; `SOAK_SEEDS` for others, as `FIRST..LAST`.
const SEEDS: std::ops::Range<u64> = 1..4;
/// What has not come about by then does not come about.
const NEVER: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(50);

fn setting<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

fn size() -> Size {
    Size {
        controls: setting("SOAK_CONTROLS").unwrap_or(SIZE.controls),
        routers: setting("SOAK_ROUTERS").unwrap_or(SIZE.routers),
    }
}

fn seeds() -> std::ops::Range<u64> {
    let given: Option<String> = setting("SOAK_SEEDS");
    let range = given.and_then(|text| {
        let (first, last) = text.split_once("..")?;
        Some(first.parse().ok()?..last.parse().ok()?)
    });
    range.unwrap_or(SEEDS)
}

/// Waits until something holds, but not for ever; whether it came about.
async fn comes_about<F: Future<Output = bool>>(holds: impl Fn() -> F) -> bool {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(NEVER, wait).await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_faults() {
    for seed in seeds() {
        soak(seed).await;
    }
}

async fn soak(seed: u64) {
    let time = Duration::from_secs(setting("SOAK_SECONDS").unwrap_or(SECONDS));
    let size = size();
    println!("seed {seed}, {size:?}");
    let fleet = Arc::new(Fleet::start(size));
    let history = Arc::new(Mutex::new(History::default()));
    let stage = Stage { fleet: fleet.clone(), history, over: CancellationToken::new() };
    let replicas = [
        Replica::start("i-1", Behaviour::Answer).await,
        Replica::start("i-2", Behaviour::Slow(Duration::from_millis(20))).await,
    ];
    let mut actors = JoinSet::new();
    actors.spawn(actors::operate(stage.clone(), seed));
    for (number, replica) in replicas.iter().enumerate() {
        actors.spawn(registrations::register_on(
            stage.clone(),
            replica.clone(),
            seed + number as u64,
        ));
    }
    let bad = Replica::start("i-new", Behaviour::Fail).await;
    assert!(comes_about(|| serves(&stage)).await, "the fleet does not begin to serve");
    actors.spawn(actors::roll_out_on(stage.clone(), bad.clone(), seed));
    let leaver = Replica::start("i-leaves", Behaviour::Answer).await;
    actors.spawn(registrations::come_and_leave_on(stage.clone(), leaver.clone(), seed));
    let speaker = Replica::start("i-speaks", Behaviour::Answer).await;
    actors.spawn(notices::speak_on(stage.clone(), speaker.clone(), seed));
    (0..CALLERS * size.routers)
        .for_each(|caller| drop(actors.spawn(actors::call_on(stage.clone(), caller))));
    (0..size.routers)
        .for_each(|number| drop(actors.spawn(actors::sight_on(stage.clone(), number))));
    actors.spawn(actors::read_on(stage.clone(), seed));
    let crashers = tokio::spawn(Crashers::new(stage.clone(), seed).ask_on());
    faults::happen(&fleet, seed, time).await;
    let recovered = comes_about(|| serves(&stage)).await;
    stage.over.cancel();
    actors.join_all().await;
    let used = notices::is_used_again(&stage, &speaker, seed).await;
    let refused = crashers.await.unwrap().refused_everywhere().await;
    let kept = comes_about(|| is_kept(&stage)).await;
    let mut history = stage.history.lock().unwrap().clone();
    history.arrivals = speaker.arrivals();
    let all = replicas.iter().chain([&bad, &leaver, &speaker]);
    history.runs = all.flat_map(|r| r.seen()).map(|seen| seen.id()).collect();
    drop(stage);
    report(&history);
    let mut broken = history.broken();
    if !recovered {
        broken.push("not served after the last fault".into());
    }
    if !refused {
        broken.push("what crashes replicas is not refused everywhere".into());
    }
    if !used {
        broken.push("a replica that takes work again is not used".into());
    }
    if !kept {
        broken.push("the newest acknowledged version is not in force everywhere".into());
    }
    if !broken.is_empty() {
        let logs = Arc::into_inner(fleet).map(|mut fleet| fleet.keep_logs());
        panic!("seed {seed}, logs in {logs:?}:\n{}", broken.join("\n"));
    }
}

/// Whether every router knows the newest acknowledged route and replicas are known.
async fn serves(stage: &Stage) -> bool {
    is_in_force(stage).await && {
        let mut answered = true;
        for number in 0..stage.fleet.size.routers {
            answered &= actors::is_served(stage, number).await;
        }
        answered
    }
}

async fn is_in_force(stage: &Stage) -> bool {
    let newest = stage.history.lock().unwrap().acknowledged.last().map(|a| a.version);
    let Some(version) = newest else { return false };
    for number in 0..stage.fleet.size.routers {
        if actors::sight(stage, number, version).await != Some(Says::Knows) {
            return false;
        }
    }
    true
}

/// Whether every router and every control host has what was acknowledged last.
async fn is_kept(stage: &Stage) -> bool {
    let newest = stage.history.lock().unwrap().acknowledged.last().map(|a| a.version);
    for control in 0..stage.fleet.size.controls {
        if actors::read(stage, control).await < newest {
            return false;
        }
    }
    is_in_force(stage).await
}

fn report(history: &History) {
    let status = |wanted: u16| {
        let answers = history.calls.iter().filter_map(|c| c.answer.as_ref());
        answers.filter(|(status, ..)| *status == wanted).count()
    };
    let (behind, denying) = history.behind_ms();
    let rolled_back = history.rollout_reads.iter().filter_map(|read| read.said.as_ref());
    let rolled_back = rolled_back.filter(|(_, state)| state == "rolled_back");
    println!(
        "{} answers said that their replica leaves, {} asked for rest; {} roll-outs ordered, {} seen rolled back; {} leaves; {} changes, {} reads, {} calls: {} answered, {} refused, {} unknown, {} without an \
         answer; a router was behind for {behind} ms at most, and denied routes for {denying} ms",
        history.arrivals.iter().filter(|arrival| arrival.leaving).count(),
        history.arrivals.iter().filter(|arrival| arrival.turned_away).count(),
        history.orders.len(),
        rolled_back.map(|(number, _)| number).collect::<std::collections::BTreeSet<_>>().len(),
        history.leaves.len(),
        history.acknowledged.len(),
        history.reads.len(),
        history.calls.len(),
        status(200),
        status(503),
        status(502) + status(504),
        history.calls.iter().filter(|c| c.answer.is_none()).count(),
    );
}
