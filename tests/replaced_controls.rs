//! Tests of the real programs while control hosts are lost for good, one after the other, and
//! replaced by hosts with empty disks at other addresses.

#[path = "replaced_controls/fleet.rs"]
mod fleet;
// Shared with the tests of the platform, which use more of it.
#[allow(dead_code)]
#[path = "platform/http.rs"]
mod http;
#[path = "replaced_controls/record.rs"]
mod record;

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{Fleet, Seeds};
use record::Record;
use tokio::task::JoinSet;

/// Time without faults after which routers count as in touch with control hosts.
const CONTACT: Duration = Duration::from_secs(3);
/// The same after a fault of most control hosts.
const CONTACT_AFTER_ALL: Duration = Duration::from_secs(6);
/// How long processes are down.
const DOWN: Duration = Duration::from_millis(700);
/// How long a condition may take that is no target by itself.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// What becomes of the hosts that were replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replaced {
    /// They accept connections and never answer.
    StaySilent,
    /// They start again, with their disks, when everything else does.
    ComeBack,
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_follow_control_hosts_that_replace_silent_ones() {
    play(Seeds::Current, Replaced::StaySilent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_with_outdated_seeds_obey_the_newest_configuration() {
    play(Seeds::Outdated, Replaced::StaySilent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_control_hosts_that_come_back_put_nothing_old_in_force() {
    play(Seeds::Outdated, Replaced::ComeBack).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_whose_seeds_are_all_lost_reads_them_again() {
    let fleet = Arc::new(Fleet::start());
    let record = Arc::new(Record::default());
    let changes =
        tokio::spawn(record::change_configuration(fleet.clone(), record.clone(), CHANGE_INTERVAL));
    assert!(eventually(|| record.acknowledged_since(Duration::ZERO)).await, "no leader");
    tokio::time::sleep(CONTACT).await;
    // The replacements do not know a router that is down meanwhile.
    let router = fleet.routers()[0];
    fleet.kill(router);
    for lost in fleet.first_controls().into_iter().rev() {
        fleet.replace(lost);
        assert!(eventually_all_vote(&fleet).await, "no replacement of host {lost} got a vote");
    }
    fleet.start_with_lost_seeds(router);
    while record::version_in_force(&fleet, router).await != Some(0) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    fleet.update_seeds(router);
    record.finish();
    changes.await.unwrap();
    let newest = record.newest_acknowledged();
    let restarted = Instant::now();
    while record::version_in_force(&fleet, router).await < newest {
        assert!(restarted.elapsed() < WAIT_TIMEOUT, "the router stays behind version {newest:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Replaces all control hosts while the configuration changes, then restarts everything, one
/// control host without its disk.
async fn play(seeds: Seeds, replaced: Replaced) {
    let fleet = Arc::new(Fleet::start());
    let record = Arc::new(Record::default());
    let mut actors = JoinSet::new();
    actors.spawn(record::change_configuration(fleet.clone(), record.clone(), CHANGE_INTERVAL));
    for router in fleet.routers() {
        actors.spawn(record::watch_router(fleet.clone(), record.clone(), router, POLL_INTERVAL));
    }
    assert!(eventually(|| record.acknowledged_since(Duration::ZERO)).await, "no leader");
    tokio::time::sleep(CONTACT).await;
    for lost in fleet.first_controls().into_iter().rev() {
        println!("{:6} ms host {lost} is lost", record.elapsed_ms());
        record.disturb(CONTACT);
        fleet.replace(lost);
        assert!(eventually_all_vote(&fleet).await, "no replacement of host {lost} got a vote");
    }
    tokio::time::sleep(2 * CONTACT).await;
    let leader = fleet.leader().await.expect("a leader");
    println!("{:6} ms host {leader} loses its disk, all restart", record.elapsed_ms());
    record.disturb(CONTACT_AFTER_ALL);
    fleet.kill_all();
    fleet.lose_disk(leader);
    tokio::time::sleep(DOWN).await;
    record.disturb(CONTACT_AFTER_ALL);
    fleet.start_all(seeds, replaced == Replaced::ComeBack);
    tokio::time::sleep(CONTACT_AFTER_ALL + 2 * CONTACT).await;
    record.finish();
    actors.join_all().await;
    let finished = Instant::now();
    let read = fleet.read_configuration().await;
    let mut violations = record.violations();
    for router in fleet.routers() {
        let mut version = record::version_in_force(&fleet, router).await;
        // The last version was acknowledged a moment ago.
        while version < record.newest_acknowledged() && finished.elapsed() < record::CONFIG {
            tokio::time::sleep(POLL_INTERVAL).await;
            version = record::version_in_force(&fleet, router).await;
        }
        if version < record.newest_acknowledged() {
            violations.push(format!("router {router} ends at version {version:?}"));
        }
    }
    if read < record.newest_acknowledged() {
        let newest = record.newest_acknowledged();
        violations.push(format!("version {newest:?} was acknowledged, {read:?} is read"));
    }
    println!("{}", record.summary());
    if !violations.is_empty() {
        let logs = Arc::into_inner(fleet).map(Fleet::keep_logs);
        panic!("{} violations, logs in {logs:?}:\n{}", violations.len(), violations.join("\n"));
    }
}

/// Polls until `condition` holds; returns whether it did within [`WAIT_TIMEOUT`].
async fn eventually(condition: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > WAIT_TIMEOUT {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    true
}

/// Waits until the voters are the control hosts that run.
async fn eventually_all_vote(fleet: &Fleet) -> bool {
    let start = Instant::now();
    while fleet.voters().await != Some(fleet.running_controls()) {
        if start.elapsed() > WAIT_TIMEOUT {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    true
}
