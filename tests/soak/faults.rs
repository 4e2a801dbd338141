//! Injects faults drawn from a seed, one after another; some hit several processes at once.

use std::ops::Range;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fleet::Fleet;

/// Milliseconds from one fault to the next.
const INTERVAL_MS: Range<u64> = 200..1_500;
/// Milliseconds for which a process is down.
const DOWN_MS: Range<u64> = 50..900;
/// Milliseconds for which a process or its connections are paused. The longest exceed the
/// time after which hosts suspect a silent peer.
const PAUSED_MS: Range<u64> = 200..2_500;

#[derive(Clone, Copy, Debug)]
enum Fault {
    AllControls,
    OneControl,
    ControlStandsStill,
    ControlStops,
    OneRouter,
    RouterStandsStill,
    RouterStops,
    AllControlsAndARouter,
    Everything,
    ConnectionsReset,
    ConnectionsHeldUp,
    ConnectionsSilent,
}

const FAULTS: [Fault; 12] = [
    Fault::AllControls,
    Fault::OneControl,
    Fault::ControlStandsStill,
    Fault::ControlStops,
    Fault::OneRouter,
    Fault::RouterStandsStill,
    Fault::RouterStops,
    Fault::AllControlsAndARouter,
    Fault::Everything,
    Fault::ConnectionsReset,
    Fault::ConnectionsHeldUp,
    Fault::ConnectionsSilent,
];

/// Injects faults for `time`; all processes run afterwards.
pub async fn inject_faults(fleet: &Fleet, seed: u64, time: Duration) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    while start.elapsed() < time {
        let fault = FAULTS[rng.random_range(0..FAULTS.len())];
        println!("{:6} ms {fault:?}", start.elapsed().as_millis());
        inject(fleet, &mut rng, fault).await;
        sleep_random(&mut rng, INTERVAL_MS).await;
    }
}

async fn sleep_random(rng: &mut SmallRng, ms: Range<u64>) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(ms))).await;
}

async fn inject(fleet: &Fleet, rng: &mut SmallRng, fault: Fault) {
    let size = fleet.size;
    let a_control = rng.random_range(0..size.controls);
    let a_router = size.router(rng.random_range(0..size.routers));
    let controls: Vec<_> = (0..size.controls).collect();
    match fault {
        Fault::AllControls => restart(fleet, rng, &controls).await,
        Fault::OneControl => restart(fleet, rng, &[a_control]).await,
        Fault::OneRouter => restart(fleet, rng, &[a_router]).await,
        Fault::AllControlsAndARouter => {
            restart(fleet, rng, &[&controls[..], &[a_router]].concat()).await;
        }
        Fault::Everything => {
            restart(fleet, rng, &(0..size.hosts()).collect::<Vec<_>>()).await;
        }
        Fault::ControlStandsStill => pause_process(fleet, rng, a_control).await,
        Fault::RouterStandsStill => pause_process(fleet, rng, a_router).await,
        Fault::ControlStops => stop(fleet, a_control).await,
        Fault::RouterStops => stop(fleet, a_router).await,
        Fault::ConnectionsReset => drop(fleet.reset(|_| true)),
        Fault::ConnectionsSilent => drop(fleet.silence(|_| true)),
        Fault::ConnectionsHeldUp => hold_connections(fleet, rng, a_control).await,
    }
}

async fn restart(fleet: &Fleet, rng: &mut SmallRng, hosts: &[usize]) {
    hosts.iter().for_each(|host| fleet.kill(*host));
    sleep_random(rng, DOWN_MS).await;
    hosts.iter().for_each(|host| fleet.spawn(*host));
}

async fn pause_process(fleet: &Fleet, rng: &mut SmallRng, host: usize) {
    fleet.pause(host);
    sleep_random(rng, PAUSED_MS).await;
    fleet.resume(host);
}

async fn stop(fleet: &Fleet, host: usize) {
    fleet.stop(host).await;
    fleet.spawn(host);
}

async fn hold_connections(fleet: &Fleet, rng: &mut SmallRng, control: usize) {
    fleet.hold(control, true);
    sleep_random(rng, PAUSED_MS).await;
    fleet.hold(control, false);
}
