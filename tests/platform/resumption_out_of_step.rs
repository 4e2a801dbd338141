//! Streams that callers resume at a router that stood still while replicas changed their software.

use std::time::Duration;

use crate::http::call_for;
use crate::replica::Behaviour;
use crate::resumption::{EVENT_PAUSE, EVENTS, STREAMS, Stream, Versions, stream_request};

/// How long the router stands still: its feeds are ended meanwhile or right after it.
const STANDSTILL: Duration = Duration::from_millis(3_500);
/// Time for a request that was sent to a router that stands still to reach its socket.
const ARRIVAL: Duration = Duration::from_millis(100);
/// Time after which a caller gives a stream up midway.
const GIVE_UP_AFTER: Duration = Duration::from_millis(500);
/// How long callers wait for the rest of a stream.
const PATIENCE: Duration = Duration::from_secs(5);
const VERSIONED_STREAM: Behaviour =
    Behaviour::VersionedStream { events: EVENTS, pause: EVENT_PAUSE };

/// The result of resuming a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Taken {
    WentOn,
    /// Answered 502 or 503, or not at all.
    Refused,
}

impl Versions {
    /// Starts a fleet with four replicas of each of two versions.
    async fn start_eight() -> Versions {
        let ids = ["i-11", "i-12", "i-13", "i-14", "i-21", "i-22", "i-23", "i-24"];
        let versions = ["v1", "v1", "v1", "v1", "v2", "v2", "v2", "v2"];
        let replicas: Vec<_> = versions.into_iter().zip(ids).collect();
        Versions::start_with_versions(VERSIONED_STREAM, &replicas).await
    }

    /// Three replicas get the other version in place. What began at these before the router that
    /// stands still hears of it may be refused there.
    fn swap_three(&self) {
        for (version, replica) in self.replicas.iter().step_by(3) {
            replica.set_version(if *version == "v1" { "v2" } else { "v1" });
        }
    }

    /// All replicas register what they run.
    async fn register_all(&self, sequence: u64) {
        for (_, replica) in &self.replicas {
            let version = replica.version();
            self.fleet.register_release(&version, "a", replica, "ready", sequence).await;
        }
    }
}

/// Begins [`STREAMS`] streams at the other router and gives them up midway.
async fn begin_all(versions: &Versions) -> Vec<Stream> {
    let neighbour = versions.fleet.neighbour;
    let begun = (0..STREAMS).map(async |number| {
        let attempt = format!("s{number}");
        let answer = call_for(neighbour, &stream_request(&attempt, None), GIVE_UP_AFTER).await;
        Stream::new(&attempt, &answer.unwrap())
    });
    futures_util::future::join_all(begun).await
}

/// Resumes a stream and checks that it holds each event once, of one version.
async fn resume(router: std::net::SocketAddr, stream: &Stream) -> Taken {
    let attempt = format!("resumes-{}-{}", stream.first_attempt, stream.last_event);
    let text = stream_request(&attempt, Some(stream));
    let Some(answer) = call_for(router, &text, PATIENCE).await else { return Taken::Refused };
    if answer.status != 200 {
        assert!(matches!(answer.status, 502 | 503), "{} {}", answer.status, answer.body);
        return Taken::Refused;
    }
    let complete = answer.body.rsplit_once("\n\n").map_or("", |(complete, _)| complete);
    let lines = |prefix| complete.lines().filter_map(move |line| line.strip_prefix(prefix));
    let ids: Vec<u64> = lines("id: ").map(|id| id.parse().unwrap()).collect();
    let expected: Vec<u64> = (stream.last_event + 1..).take(ids.len()).collect();
    assert_eq!(ids, expected, "after {}", stream.last_event);
    let is_whole = ids.last() == Some(&u64::from(EVENTS));
    assert!(!answer.complete || is_whole, "it looks whole and ends at {ids:?}");
    let mut versions = stream.versions.clone();
    versions.extend(lines("data: v").map(str::to_string));
    assert_eq!(versions.len(), 1, "{stream:?} went on at another version");
    Taken::WentOn
}

/// Resumes streams at a router that stands still, which goes on once all requests have reached it.
/// At least half of them must go on.
async fn resume_all_at_thaw(versions: &Versions, streams: &[Stream]) {
    let front = versions.fleet.front;
    let thaw = async {
        tokio::time::sleep(ARRIVAL).await;
        versions.fleet.thaw_router();
    };
    let resuming = streams.iter().map(|stream| resume(front, stream));
    let (taken, ()) = tokio::join!(futures_util::future::join_all(resuming), thaw);
    let went_on = taken.iter().filter(|taken| **taken == Taken::WentOn).count();
    assert!(2 * went_on >= STREAMS, "{went_on} of {STREAMS} streams went on");
}

/// The router stands still for this time and about a second more.
async fn assert_not_mixed_after(standstill: Duration) {
    let versions = Versions::start_eight().await;
    versions.fleet.freeze_router();
    versions.swap_three();
    versions.register_all(2).await;
    versions.fleet.settle_neighbour().await;
    tokio::time::sleep(standstill).await;
    let streams = begin_all(&versions).await;
    resume_all_at_thaw(&versions, &streams).await;
}

#[tokio::test]
async fn no_stream_goes_on_at_another_version_at_a_router_that_stood_still() {
    assert_not_mixed_after(STANDSTILL).await;
}

#[tokio::test]
async fn no_stream_goes_on_at_another_version_however_long_a_router_stood_still() {
    for milliseconds in [0, 400, 900, 1_500, 6_500] {
        assert_not_mixed_after(Duration::from_millis(milliseconds)).await;
    }
}

#[tokio::test]
async fn no_stream_goes_on_at_another_version_at_a_router_that_lost_its_feeds_standing_still() {
    let mut versions = Versions::start_eight().await;
    versions.fleet.freeze_router();
    versions.swap_three();
    versions.fleet.kill_control();
    versions.fleet.start_control();
    versions.register_all(2).await;
    versions.fleet.settle_neighbour().await;
    tokio::time::sleep(STANDSTILL).await;
    let streams = begin_all(&versions).await;
    resume_all_at_thaw(&versions, &streams).await;
}

#[tokio::test]
async fn no_first_event_is_passed_on_because_time_passed_while_a_router_stood_still() {
    let mut versions = Versions::start_eight().await;
    let streams = begin_all(&versions).await;
    versions.swap_three();
    let front = versions.fleet.front;
    let stand_still = async {
        tokio::time::sleep(ARRIVAL).await;
        versions.fleet.freeze_router();
        versions.fleet.kill_control();
        versions.fleet.start_control();
        versions.register_all(2).await;
        tokio::time::sleep(STANDSTILL).await;
        versions.fleet.thaw_router();
    };
    let resuming = streams.iter().map(|stream| resume(front, stream));
    // Their time is up when the router goes on, so they may be refused.
    tokio::join!(futures_util::future::join_all(resuming), stand_still);
}
