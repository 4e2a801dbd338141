//! Streams that callers resume while two software versions of a service run side by side.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::{Fleet, configuration};
use crate::http::{Answer, call, call_for};
use crate::replica::{Behaviour, Replica};
use crate::request;

/// Streams resumed in one test; a choice at random keeps to one version for all of them with a
/// chance of less than one in a million.
pub const STREAMS: usize = 24;

/// Events of a stream that names the version of its replica's software, and the pause before each.
pub const EVENTS: u32 = 60;
pub const EVENT_PAUSE: Duration = Duration::from_millis(20);
const VERSIONED_STREAM: Behaviour =
    Behaviour::VersionedStream { events: EVENTS, pause: EVENT_PAUSE };
/// Time after which a caller gives a stream up midway.
const GIVE_UP_AFTER: Duration = Duration::from_millis(150);
/// How long callers of the platform wait for the next event at least.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time from a change of a replica's software to its registration.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(700);

/// A fleet with two replicas of each of two versions.
pub struct Versions {
    pub fleet: Fleet,
    pub replicas: Vec<(&'static str, Replica)>,
}

/// A stream as its caller knows it.
#[derive(Debug)]
pub struct Stream {
    /// The attempt that brought its first event.
    pub first_attempt: String,
    /// The id of the last event received.
    pub last_event: u64,
    /// The versions that its events name, if they name any.
    pub versions: BTreeSet<String>,
}

impl Versions {
    /// Starts a fleet whose replicas truncate every stream after two events.
    async fn start() -> Versions {
        Versions::start_with(Behaviour::BreakStream).await
    }

    async fn start_with(behaviour: Behaviour) -> Versions {
        let replicas = [("v1", "i-11"), ("v1", "i-12"), ("v2", "i-21"), ("v2", "i-22")];
        Versions::start_with_versions(behaviour, &replicas).await
    }

    /// Starts a fleet with a replica for each of these versions and ids.
    pub async fn start_with_versions(
        behaviour: Behaviour,
        ids: &[(&'static str, &str)],
    ) -> Versions {
        let mut fleet = Fleet::start().await;
        let mut replicas = Vec::new();
        for (version, id) in ids.iter().copied() {
            let replica = Replica::start(id, behaviour.clone()).await;
            replica.set_version(version);
            fleet.register_release(version, "a", &replica, "ready", 1).await;
            replicas.push((version, replica));
        }
        fleet.configure(&long_configuration()).await;
        fleet.wait_ready().await;
        fleet.start_neighbour().await;
        fleet.settle_neighbour().await;
        fleet.wait_known_routers(2).await;
        Versions { fleet, replicas }
    }

    /// The versions that ran any of these attempts.
    fn versions_of(&self, attempts: &[String]) -> BTreeSet<&'static str> {
        let ran = |replica: &Replica| replica.seen().iter().any(|s| attempts.contains(&s.id()));
        let ran = self.replicas.iter().filter(|(_, replica)| ran(replica));
        ran.map(|(version, _)| *version).collect()
    }

    /// Begins a stream at a router.
    async fn begin(&self, router: SocketAddr, attempt: &str) -> Stream {
        let answer = call(router, &stream_request(attempt, None)).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        Stream::new(attempt, &answer)
    }

    /// Resumes a stream at a router; returns whether it went on, and whether at another version than
    /// the one that began it.
    async fn resume(&self, router: SocketAddr, stream: &mut Stream) -> (bool, bool) {
        let attempt = format!("resumes-{}-{}", stream.first_attempt, stream.last_event);
        let answer = call(router, &stream_request(&attempt, Some(stream))).await;
        let ran = self.versions_of(std::slice::from_ref(&attempt));
        if answer.status != 200 {
            println!("{attempt} was answered {} {}", answer.status, answer.body);
            assert_eq!(answer.status, 503, "{}", answer.body);
            assert!(ran.is_empty(), "{attempt} was refused as not run, and ran");
            return (false, false);
        }
        assert!(stream.receive(&answer), "{}", answer.body);
        (true, self.versions_of(&[stream.first_attempt.clone(), attempt]).len() > 1)
    }

    /// Resumes streams at a router at the same time; returns how many went on, and those that went
    /// on at another version than the one that began them.
    async fn resume_all(&self, router: SocketAddr, streams: &mut [Stream]) -> (usize, Vec<String>) {
        let resuming = streams.iter_mut().map(async |stream| {
            let (went_on, is_mixed) = self.resume(router, stream).await;
            (went_on, is_mixed.then(|| stream.first_attempt.clone()))
        });
        let results = futures_util::future::join_all(resuming).await;
        let went_on = results.iter().filter(|(went_on, _)| *went_on).count();
        (went_on, results.into_iter().filter_map(|(_, mixed)| mixed).collect())
    }

    /// Begins [`STREAMS`] streams at the first router.
    async fn begin_all(&self) -> Vec<Stream> {
        let begun = (0..STREAMS).map(async |number| {
            let attempt = format!("s{number}");
            self.begin(self.fleet.front, &attempt).await
        });
        futures_util::future::join_all(begun).await
    }

    /// Resumes streams at a router; all must go on, each at the version that began it.
    async fn assert_resumed(&self, router: SocketAddr, streams: &mut [Stream], when: &str) {
        let (resumed, mixed) = self.resume_all(router, streams).await;
        assert!(mixed.is_empty(), "{when}, {} of {resumed}: {mixed:?}", mixed.len());
        assert_eq!(resumed, streams.len(), "{when}");
    }

    /// Resumes a stream that must be refused, and must not have run.
    async fn assert_refused(&self, attempt: &str, headers: &str, reason: &str) {
        let headers = format!("Api-Key: key-one\r\n{headers}");
        let text = request("GET", "/resumable/x", attempt, &headers, "");
        let answer = call(self.fleet.neighbour, &text).await;
        assert_eq!((answer.status, answer.body.as_str()), (503, reason));
        assert!(answer.header("retry-after").is_some());
        assert!(self.versions_of(&[attempt.to_string()]).is_empty());
    }
}

impl Stream {
    pub fn new(attempt: &str, answer: &Answer) -> Stream {
        let first_attempt = attempt.to_string();
        let mut stream = Stream { first_attempt, last_event: 0, versions: BTreeSet::new() };
        assert!(stream.receive(answer), "{}", answer.body);
        stream
    }

    /// Adds the complete events of an answer; returns whether there are any.
    fn receive(&mut self, answer: &Answer) -> bool {
        let complete = answer.body.rsplit_once("\n\n").map_or("", |(complete, _)| complete);
        let lines = |prefix| complete.lines().filter_map(move |line| line.strip_prefix(prefix));
        self.versions.extend(lines("data: v").map(str::to_string));
        let last_event = lines("id: ").next_back().map(|id| id.parse().unwrap());
        self.last_event = last_event.unwrap_or(self.last_event);
        last_event.is_some()
    }

    /// Begins a stream at a router and gives it up after some time.
    pub async fn begin_partly(router: SocketAddr, attempt: String, time: Duration) -> Stream {
        let answer = call_for(router, &stream_request(&attempt, None), time).await;
        Stream::new(&attempt, &answer.unwrap())
    }

    /// Begins [`STREAMS`] streams at a router and gives them up midway.
    async fn begin_all_partly(router: SocketAddr) -> Vec<Stream> {
        let begun = (0..STREAMS)
            .map(|number| Stream::begin_partly(router, format!("s{number}"), GIVE_UP_AFTER));
        futures_util::future::join_all(begun).await
    }

    /// Resumes the stream at a router and gives it up after some time; returns whether it went on.
    async fn resume_partly(&mut self, router: SocketAddr, time: Duration) -> bool {
        let attempt = format!("resumes-{}-{}", self.first_attempt, self.last_event);
        let answer = call_for(router, &stream_request(&attempt, Some(self)), time).await;
        answer.is_some_and(|answer| self.receive(&answer))
    }

    /// Resumes streams at a router at the same time; returns how many went on.
    pub async fn resume_all_partly(
        streams: &mut [Stream],
        router: SocketAddr,
        time: Duration,
    ) -> usize {
        let resuming = streams.iter_mut().map(|stream| stream.resume_partly(router, time));
        let went_on = futures_util::future::join_all(resuming).await;
        let mixed: Vec<_> = streams.iter().filter(|stream| stream.versions.len() > 1).collect();
        assert!(mixed.is_empty(), "streams of two versions: {mixed:?}");
        went_on.into_iter().filter(|went_on| *went_on).count()
    }
}

/// A configuration whose routes have time for streams that are resumed.
fn long_configuration() -> String {
    configuration(1).replace("\"timeoutMs\":2000", "\"timeoutMs\":6000")
}

pub fn stream_request(attempt: &str, resumed: Option<&Stream>) -> String {
    let resumes = resumed.map(|stream| {
        let Stream { first_attempt, last_event, .. } = stream;
        format!("Resumes: {first_attempt}\r\nLast-Event-Id: {last_event}\r\n")
    });
    let headers = format!("Api-Key: key-one\r\n{}", resumes.unwrap_or_default());
    // Requests that differ are not taken for one that crashes replicas.
    let path = resumed.map_or(attempt, |stream| &stream.first_attempt);
    request("GET", &format!("/resumable/{path}"), attempt, &headers, "")
}

#[tokio::test]
async fn a_stream_that_its_caller_resumes_goes_on_at_the_version_that_began_it() {
    let mut versions = Versions::start().await;
    let (front, neighbour) = (versions.fleet.front, versions.fleet.neighbour);
    let mut streams = versions.begin_all().await;
    versions.assert_resumed(front, &mut streams, "at the same router").await;
    versions.assert_resumed(neighbour, &mut streams, "at another router").await;
    versions.fleet.kill_router();
    versions.assert_resumed(neighbour, &mut streams, "after a kill").await;
}

#[tokio::test]
async fn a_stream_goes_on_while_its_router_is_frozen_and_without_a_control_host() {
    let mut versions = Versions::start_with(VERSIONED_STREAM).await;
    let (front, neighbour) = (versions.fleet.front, versions.fleet.neighbour);
    let mut streams = Stream::begin_all_partly(front).await;
    versions.fleet.freeze_router();
    versions.fleet.kill_control();
    for when in ["once", "a second time", "a third time"] {
        let went_on = Stream::resume_all_partly(&mut streams, neighbour, GIVE_UP_AFTER).await;
        assert_eq!(went_on, STREAMS, "{when}");
    }
}

#[tokio::test]
async fn a_stream_that_begins_without_a_control_host_goes_on() {
    let mut versions = Versions::start_with(VERSIONED_STREAM).await;
    let (front, neighbour) = (versions.fleet.front, versions.fleet.neighbour);
    versions.fleet.kill_control();
    versions.fleet.wait_feeds_lost().await;
    let mut streams = Stream::begin_all_partly(front).await;
    for when in ["once", "a second time"] {
        let went_on = Stream::resume_all_partly(&mut streams, neighbour, GIVE_UP_AFTER).await;
        assert_eq!(went_on, STREAMS, "{when}");
    }
}

#[tokio::test]
async fn a_stream_goes_on_after_each_router_was_restarted_as_planned() {
    let mut versions = Versions::start().await;
    let (front, neighbour) = (versions.fleet.front, versions.fleet.neighbour);
    let mut streams = versions.begin_all().await;
    // The only other copy is lost, and the router hands its records over when it stops.
    versions.fleet.kill_neighbour();
    versions.fleet.start_neighbour().await;
    versions.fleet.settle_neighbour().await;
    versions.fleet.wait_known_routers(2).await;
    versions.fleet.terminate_router();
    versions.fleet.wait_router_end().await;
    versions.assert_resumed(neighbour, &mut streams, "at the other router").await;
    versions.fleet.start_router();
    versions.fleet.wait_ready().await;
    versions.assert_resumed(front, &mut streams, "at the restarted router").await;
}

#[tokio::test]
async fn a_stream_that_cannot_be_resolved_is_refused_as_not_run() {
    let versions = Versions::start().await;
    let stream = versions.begin(versions.fleet.front, "s1").await;
    let after = format!("Last-Event-Id: {}\r\n", stream.last_event);
    versions.assert_refused("r1", &format!("Resumes: another\r\n{after}"), "unknown_stream").await;
    versions.assert_refused("r2", &after, "unknown_stream").await;
    // The attempt of another customer.
    let headers = format!("Api-Key: key-two\r\nResumes: s1\r\n{after}");
    let text = request("GET", "/resumable/x", "r3", &headers, "");
    assert_eq!(call(versions.fleet.neighbour, &text).await.body, "unknown_stream");
    assert!(versions.versions_of(&["r3".to_string()]).is_empty());
}

#[tokio::test]
async fn a_resumed_stream_is_not_taken_for_a_new_one_if_its_last_event_is_not_ascii() {
    let versions = Versions::start().await;
    versions.assert_refused("r1", "Last-Event-Id: 2é\r\n", "unknown_stream").await;
}

#[tokio::test]
async fn a_stream_whose_version_serves_no_more_is_refused_as_not_run() {
    let versions = Versions::start().await;
    let mut streams = versions.begin_all().await;
    for (version, replica) in &versions.replicas {
        if *version == "v1" {
            versions.fleet.deregister(replica).await;
        }
    }
    versions.fleet.settle().await;
    versions.fleet.settle_neighbour().await;
    let (resumed, mixed) = versions.resume_all(versions.fleet.neighbour, &mut streams).await;
    assert!(mixed.is_empty(), "{mixed:?}");
    let begun_at = |stream: &Stream, version| {
        versions.versions_of(std::slice::from_ref(&stream.first_attempt)).contains(version)
    };
    assert_eq!(resumed, streams.iter().filter(|stream| begun_at(stream, "v2")).count());
}

#[tokio::test]
async fn no_stream_goes_on_at_an_endpoint_whose_version_changes_in_place() {
    let mut versions = Versions::start().await;
    let (front, neighbour) = (versions.fleet.front, versions.fleet.neighbour);
    let mut streams = versions.begin_all().await;
    // The first replica turns to v2 under its id and address; it has truncated its streams, and
    // its heartbeat has yet to come.
    let changed = versions.replicas[0].1.clone();
    let ran_before = changed.seen().len();
    versions.replicas[0].0 = "v1, then v2";
    versions.fleet.register_release("v2", "a", &changed, "ready", 2).await;
    versions.fleet.settle().await;
    versions.fleet.settle_neighbour().await;
    for router in [front, neighbour] {
        versions.resume_all(router, &mut streams).await;
    }
    let resumed = changed.seen().split_off(ran_before);
    for request in resumed {
        let first_attempt = request.header("resumes").unwrap().to_string();
        let ran_by = |(version, replica): &(&str, Replica)| {
            *version == "v2" && replica.seen().iter().any(|seen| seen.id() == first_attempt)
        };
        assert!(versions.replicas.iter().any(ran_by), "{first_attempt} began at v1");
    }
}

#[tokio::test]
async fn no_stream_goes_on_at_an_endpoint_that_changed_before_its_heartbeat() {
    let versions = Versions::start_with(VERSIONED_STREAM).await;
    let (front, neighbour) = (versions.fleet.front, versions.fleet.neighbour);
    let mut streams = Stream::begin_all_partly(front).await;
    let changed = &versions.replicas[0].1;
    changed.set_version("v2");
    let register = async {
        tokio::time::sleep(HEARTBEAT_DELAY).await;
        versions.fleet.register_release("v2", "a", changed, "ready", 2).await;
    };
    let resuming = Stream::resume_all_partly(&mut streams, neighbour, PATIENCE);
    let (went_on, ()) = tokio::join!(resuming, register);
    assert!(2 * went_on >= STREAMS, "{went_on} of {STREAMS} streams went on");
}

#[tokio::test]
async fn a_stream_that_began_after_a_broken_connection_goes_on_at_a_router_that_just_started() {
    let mut versions = Versions::start().await;
    versions.begin_all().await;
    // The replicas have just truncated the streams before these.
    let begun = (0..STREAMS).map(async |number| {
        let attempt = format!("later-{number}");
        versions.begin(versions.fleet.front, &attempt).await
    });
    let mut streams = futures_util::future::join_all(begun).await;
    versions.fleet.kill_neighbour();
    versions.fleet.start_neighbour().await;
    versions.fleet.settle_neighbour().await;
    let neighbour = versions.fleet.neighbour;
    versions.assert_resumed(neighbour, &mut streams, "at a router that just started").await;
}

#[tokio::test]
async fn a_router_resumes_no_stream_at_an_endpoint_that_changed_before_its_heartbeat() {
    let fleet = Fleet::start().await;
    let crashing = Replica::start("i-11", VERSIONED_STREAM).await;
    let changed = Replica::start("i-12", VERSIONED_STREAM).await;
    for replica in [&crashing, &changed] {
        replica.set_version("v1");
    }
    fleet.register_release("v1", "a", &crashing, "ready", 1).await;
    fleet.configure(&long_configuration()).await;
    fleet.wait_ready().await;
    let begin = async |number: usize| {
        let attempt = format!("s{number}");
        let answer = call(fleet.front, &stream_request(&attempt, None)).await;
        Stream::new(&attempt, &answer).versions
    };
    let replace = async {
        while crashing.seen().len() < STREAMS {
            tokio::time::sleep(EVENT_PAUSE).await;
        }
        fleet.register_release("v1", "a", &changed, "ready", 1).await;
        fleet.settle().await;
        changed.set_version("v2");
        crashing.crash();
        tokio::time::sleep(HEARTBEAT_DELAY).await;
        fleet.register_release("v2", "a", &changed, "ready", 2).await;
    };
    let streams = futures_util::future::join_all((0..STREAMS).map(begin));
    let (versions, ()) = tokio::join!(streams, replace);
    assert!(!changed.seen().is_empty(), "no stream was resumed there");
    let mixed = versions.iter().filter(|versions| versions.len() > 1).count();
    assert_eq!(mixed, 0, "of {STREAMS} streams");
}
