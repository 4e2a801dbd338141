//! Streams that callers resume after routers were killed, and the records of streams with them,
//! while two software versions serve.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::http::{Answer, call_for};
use crate::replica::{Behaviour, Replica};
use crate::request;
use crate::resumption::{STREAMS, Stream, Versions};

/// Callers at the same time.
const CALLERS: usize = 24;
/// Events of a stream, and the pause before each.
const EVENTS: u64 = 100;
const EVENT_PAUSE: Duration = Duration::from_millis(20);
const VERSIONED_STREAM: Behaviour =
    Behaviour::VersionedStream { events: EVENTS as u32, pause: EVENT_PAUSE };
/// How long streams run before routers are killed.
const BEFORE_KILL: Duration = Duration::from_millis(400);
/// Pause of a caller after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// How long callers wait for an attempt: too short for a first event that is held back, and long
/// enough for it.
const PATIENCE: [Duration; 3] =
    [Duration::from_millis(150), Duration::from_millis(400), Duration::from_secs(2)];
/// How long callers go on after the last disruption.
const AFTER_DISRUPTION: Duration = Duration::from_secs(5);

/// How an attempt names the stream that it resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Naming {
    /// By the attempt that began it.
    First,
    /// By that attempt, under the same id.
    FirstAgain,
    /// Not at all.
    Nothing,
    /// Not at all, under the id of the attempt that began it.
    NothingAgain,
    /// By the latest attempt that brought events.
    Latest,
    /// By the id of the latest attempt that was refused. It may have begun an earlier stream, and
    /// was refused when it was used again.
    Refused,
}

const NAMINGS: [Naming; 8] = [
    Naming::First,
    Naming::Nothing,
    Naming::First,
    Naming::Latest,
    Naming::FirstAgain,
    Naming::Refused,
    Naming::First,
    Naming::NothingAgain,
];

/// A caller that resumes its stream until it has all events, and begins another one from time to
/// time.
struct Caller {
    number: usize,
    /// Attempts so far.
    attempts: usize,
    /// The id of each event and the version that it names.
    events: Vec<(u64, String)>,
    first_attempt: String,
    latest_attempt: String,
    /// The version of each stream so far, by the attempt that began it.
    versions: BTreeMap<String, String>,
    refused: Vec<String>,
    /// Attempts that brought further events, and the way in which they named the stream.
    went_on: Vec<(String, Naming)>,
    /// Streams received to their ends.
    whole: usize,
    faults: Vec<String>,
}

impl Caller {
    fn new(number: usize) -> Caller {
        Caller {
            number,
            attempts: 0,
            events: Vec::new(),
            first_attempt: String::new(),
            latest_attempt: String::new(),
            versions: BTreeMap::new(),
            refused: Vec::new(),
            went_on: Vec::new(),
            whole: 0,
            faults: Vec::new(),
        }
    }

    fn next_id(&mut self) -> String {
        self.attempts += 1;
        format!("c{}-{}", self.number, self.attempts)
    }

    fn text(&self, attempt: &str, headers: &str) -> String {
        let headers = format!("Api-Key: key-one\r\n{headers}");
        request("GET", &format!("/resumable/c{}", self.number), attempt, &headers, "")
    }

    /// Begins a stream.
    async fn begin(&mut self, router: SocketAddr, time: Duration) {
        let attempt = self.next_id();
        let answer = call_for(router, &self.text(&attempt, ""), time).await;
        let Some(answer) = self.served(&attempt, answer) else { return };
        let events = complete_events(&answer);
        if let Some((_, version)) = events.first() {
            (self.first_attempt, self.latest_attempt) = (attempt.clone(), attempt.clone());
            self.versions.insert(attempt.clone(), version.clone());
            self.events.clear();
            self.receive(&attempt, events, answer.complete);
        }
    }

    /// Resumes the stream.
    async fn resume(&mut self, router: SocketAddr, naming: Naming, time: Duration) {
        let first = self.first_attempt.clone();
        let own = self.next_id();
        let (attempt, named) = match naming {
            Naming::First => (own, Some(first)),
            Naming::FirstAgain => (first.clone(), Some(first)),
            Naming::Nothing => (own, None),
            Naming::NothingAgain => (first, None),
            Naming::Latest => (own, Some(self.latest_attempt.clone())),
            Naming::Refused => match self.refused.last() {
                Some(refused) => (own, Some(refused.clone())),
                None => return,
            },
        };
        let header =
            named.as_ref().map(|named| format!("Resumes: {named}\r\n")).unwrap_or_default();
        let last = self.last_event_id();
        let text = self.text(&attempt, &format!("{header}Last-Event-Id: {last}\r\n"));
        let answer = call_for(router, &text, time).await;
        let Some(answer) = self.served(&attempt, answer) else { return };
        let events = complete_events(&answer);
        if !events.is_empty() {
            self.went_on.push((attempt.clone(), naming));
        }
        match named.filter(|named| self.is_earlier_stream(named)) {
            Some(earlier) => self.check(&attempt, &earlier, &events, answer.complete),
            None => {
                if !events.is_empty() {
                    self.latest_attempt = attempt.clone();
                }
                self.receive(&attempt, events, answer.complete);
            }
        }
    }

    fn last_event_id(&self) -> u64 {
        self.events.last().map_or(0, |(id, _)| *id)
    }

    fn is_earlier_stream(&self, attempt: &str) -> bool {
        attempt != self.first_attempt && self.versions.contains_key(attempt)
    }

    /// A successful answer, if it is one.
    fn served(&mut self, attempt: &str, answer: Option<Answer>) -> Option<Answer> {
        let answer = answer?;
        match answer.status {
            200 => return Some(answer),
            503 if answer.header("retry-after").is_some() => self.refused.push(attempt.into()),
            502 | 504 => {}
            status => self.faults.push(format!("{attempt} got {status} {}", answer.body)),
        }
        None
    }

    /// Adds events of an answer to the stream.
    fn receive(&mut self, attempt: &str, events: Vec<(u64, String)>, complete: bool) {
        self.check(attempt, &self.first_attempt.clone(), &events, complete);
        self.events.extend(events);
        if self.last_event_id() == EVENTS {
            self.whole += 1;
            self.events.clear();
        }
    }

    /// Checks events of an answer: they follow the caller's last one without a gap, at the version
    /// of the stream that the request named.
    fn check(&mut self, attempt: &str, stream: &str, events: &[(u64, String)], complete: bool) {
        let began_at = &self.versions[stream];
        let mut last = self.last_event_id();
        for (id, version) in events {
            if *id != last + 1 || version != began_at {
                self.faults.push(format!(
                    "{attempt}: event {id} of {version} instead of {} of {began_at}, \
                     stream of {stream}, {:?}",
                    last + 1,
                    self.went_on.last()
                ));
            }
            last = *id;
        }
        if complete && last != EVENTS {
            self.faults.push(format!("{attempt} ended as whole after event {last}"));
        }
    }

    /// Resumes its stream at any router until some time, and begins another one after an end or
    /// after some vain attempts.
    async fn run(&mut self, routers: [SocketAddr; 2], until: Instant) {
        let mut vain = 0;
        while Instant::now() < until {
            let router = *routers.choose(&mut rand::rng()).unwrap();
            let time = *PATIENCE.choose(&mut rand::rng()).unwrap();
            let before = (self.events.len(), self.whole);
            if self.events.is_empty() || vain > 2 * NAMINGS.len() {
                self.begin(router, time).await;
            } else {
                let naming = NAMINGS[self.attempts % NAMINGS.len()];
                self.resume(router, naming, time).await;
            }
            if before == (self.events.len(), self.whole) {
                vain += 1;
                let pause = RETRY_PAUSE.mul_f64(rand::rng().random());
                tokio::time::sleep(pause).await;
            } else {
                vain = 0;
            }
        }
    }
}

/// The events of an answer that have arrived completely: their ids and the versions they name.
fn complete_events(answer: &Answer) -> Vec<(u64, String)> {
    let complete = answer.body.rsplit_once("\n\n").map_or("", |(complete, _)| complete);
    let event = |text: &str| {
        let (id, version) = text.strip_prefix("id: ")?.split_once("\ndata: ")?;
        Some((id.parse().ok()?, version.to_string()))
    };
    complete.split("\n\n").filter_map(event).collect()
}

/// A fleet of two versions and its callers.
struct Scene {
    versions: Versions,
    callers: Vec<Caller>,
}

impl Scene {
    async fn start() -> Scene {
        let ids = [("v1", "i-11"), ("v1", "i-12"), ("v2", "i-21"), ("v2", "i-22")];
        let versions = Versions::start_with_versions(VERSIONED_STREAM, &ids).await;
        Scene { versions, callers: (0..CALLERS).map(Caller::new).collect() }
    }

    /// Runs the callers during a disruption and some time longer. Half of them begin at each router,
    /// and their streams are open when it begins.
    async fn play(&mut self, disruption: impl AsyncFnOnce(&mut Fleet, &[(&'static str, Replica)])) {
        let Scene { versions, callers } = self;
        let routers = [versions.fleet.front, versions.fleet.neighbour];
        let stop = tokio::sync::watch::Sender::new(None);
        let calling = callers.iter_mut().map(async |caller| {
            let mut until = stop.subscribe();
            caller.begin(routers[caller.number % 2], EVENTS as u32 * EVENT_PAUSE).await;
            let known = until.wait_for(Option::is_some).await.unwrap();
            let until = known.unwrap();
            drop(known);
            caller.run(routers, until).await;
        });
        let disrupting = async {
            tokio::time::sleep(BEFORE_KILL).await;
            // Callers whose streams have broken come back at once.
            let fleet = &mut versions.fleet;
            let until = Instant::now() + AFTER_DISRUPTION;
            stop.send_replace(Some(until));
            disruption(fleet, &versions.replicas).await;
        };
        tokio::join!(futures_util::future::join_all(calling), disrupting);
    }

    /// No stream has a fault, refused attempts have not run, and streams were served to their ends.
    fn assert_in_order(&self) {
        let faults: Vec<_> = self.callers.iter().flat_map(|caller| &caller.faults).collect();
        assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
        let replicas = self.versions.replicas.iter();
        let ran: BTreeSet<_> =
            replicas.flat_map(|(_, replica)| replica.seen()).map(|seen| seen.id()).collect();
        for caller in &self.callers {
            for refused in &caller.refused {
                // Some attempts use the id of another one, which has run.
                let is_reused = caller.refused.iter().filter(|id| *id == refused).count() > 1
                    || caller.went_on.iter().any(|(id, _)| id == refused)
                    || self.began(refused);
                assert!(is_reused || !ran.contains(refused), "{refused} was refused, and ran");
            }
        }
        let whole: usize = self.callers.iter().map(|caller| caller.whole).sum();
        let refused: usize = self.callers.iter().map(|caller| caller.refused.len()).sum();
        println!("{whole} whole, {refused} refused, went on: {:?}", self.went_on_by_naming());
        assert!(whole > 0, "no stream was served");
    }

    /// Whether a run without `Last-Event-Id` had this id.
    fn began(&self, attempt: &str) -> bool {
        self.versions
            .replicas
            .iter()
            .flat_map(|(_, replica)| replica.seen())
            .any(|seen| seen.id() == attempt && seen.header("last-event-id").is_none())
    }

    fn went_on_by_naming(&self) -> Vec<(Naming, usize)> {
        let all = self.callers.iter().flat_map(|caller| &caller.went_on);
        let count = |naming| all.clone().filter(|(_, n)| *n == naming).count();
        let kinds = [
            Naming::First,
            Naming::FirstAgain,
            Naming::Nothing,
            Naming::NothingAgain,
            Naming::Latest,
            Naming::Refused,
        ];
        kinds.map(|naming| (naming, count(naming))).into()
    }
}

async fn restart_routers(fleet: &mut Fleet) {
    fleet.kill_router();
    fleet.kill_neighbour();
    fleet.start_router();
    fleet.start_neighbour().await;
}

async fn deregister_all(fleet: &Fleet, replicas: &[(&'static str, Replica)], version: &str) {
    for (_, replica) in replicas.iter().filter(|(v, _)| *v == version) {
        fleet.deregister(replica).await;
    }
}

#[tokio::test]
async fn no_stream_of_two_versions_after_all_routers_were_killed() {
    let mut scene = Scene::start().await;
    scene.play(async |fleet, _| restart_routers(fleet).await).await;
    scene.assert_in_order();
}

#[tokio::test]
async fn no_stream_of_two_versions_after_all_routers_were_killed_again_and_again() {
    let mut scene = Scene::start().await;
    let again = async |fleet: &mut Fleet, _: &[(&'static str, Replica)]| {
        for _ in 0..4 {
            restart_routers(fleet).await;
            tokio::time::sleep(BEFORE_KILL).await;
        }
    };
    scene.play(again).await;
    scene.assert_in_order();
}

#[tokio::test]
async fn no_stream_goes_on_at_a_new_version_after_the_old_one_left_and_all_routers_were_killed() {
    let mut scene = Scene::start().await;
    let leave = async |fleet: &mut Fleet, replicas: &[(&'static str, Replica)]| {
        deregister_all(fleet, replicas, "v1").await;
        restart_routers(fleet).await;
    };
    scene.play(leave).await;
    scene.assert_in_order();
}

#[tokio::test]
async fn no_stream_goes_on_at_the_only_version_that_a_restarted_router_knows() {
    let mut scene = Scene::start().await;
    let leave = async |fleet: &mut Fleet, replicas: &[(&'static str, Replica)]| {
        deregister_all(fleet, replicas, "v2").await;
        restart_routers(fleet).await;
        tokio::time::sleep(BEFORE_KILL).await;
        for (version, replica) in replicas.iter().filter(|(version, _)| *version == "v2") {
            fleet.register_release(version, "a", replica, "ready", 2).await;
        }
    };
    scene.play(leave).await;
    scene.assert_in_order();
}

#[tokio::test]
async fn no_stream_of_two_versions_after_all_routers_and_control_hosts_were_killed() {
    let mut scene = Scene::start().await;
    let kill_all = async |fleet: &mut Fleet, replicas: &[(&'static str, Replica)]| {
        fleet.kill_control();
        restart_routers(fleet).await;
        tokio::time::sleep(BEFORE_KILL).await;
        fleet.start_control();
        for (version, replica) in replicas {
            fleet.register_release(version, "a", replica, "ready", 2).await;
        }
    };
    scene.play(kill_all).await;
    scene.assert_in_order();
}

#[tokio::test]
async fn streams_go_on_at_their_version_after_one_router_was_killed() {
    let mut scene = Scene::start().await;
    let kill_one = async |fleet: &mut Fleet, _: &[(&'static str, Replica)]| {
        fleet.kill_router();
        fleet.start_router();
    };
    scene.play(kill_one).await;
    scene.assert_in_order();
    let went_on = scene.went_on_by_naming();
    assert!(went_on.iter().any(|(naming, count)| *naming == Naming::First && *count > 0));
}

/// How long a router waits for what a frozen one knows of a stream, and some time more.
const VAIN_SEARCH: Duration = Duration::from_millis(300);
/// How long a restarted router has to find the frozen one in the directory, which drops it soon.
const DIRECTORY_WAIT: Duration = Duration::from_millis(600);
/// How long callers of the platform wait for the next event at least.
const EVENT_PATIENCE: Duration = Duration::from_secs(2);
/// Scenes played until the frozen one answered in time.
const MAX_SCENES: usize = 5;

/// Freezes the router that has the records while the other one asks it for streams of v1, restarts
/// that one, and lets the frozen one answer once it is asked for streams of v2. Returns whether
/// streams of v2 went on.
async fn late_answers_follow_a_restart(versions: &mut Versions) -> bool {
    let (front, neighbour) = (versions.fleet.front, versions.fleet.neighbour);
    let begun = (0..STREAMS)
        .map(|number| Stream::begin_partly(neighbour, format!("late-{number}"), BEFORE_KILL));
    let streams = futures_util::future::join_all(begun).await;
    let (mut first, mut second): (Vec<_>, Vec<_>) =
        streams.into_iter().partition(|stream| stream.versions.contains("1"));
    versions.fleet.kill_router();
    versions.fleet.start_router();
    versions.fleet.wait_ready().await;
    versions.fleet.wait_known_routers(2).await;
    versions.fleet.freeze_neighbour();
    let went_on = Stream::resume_all_partly(&mut first, front, VAIN_SEARCH).await;
    assert_eq!(went_on, 0, "nobody else has the records");
    versions.fleet.kill_router();
    versions.fleet.start_router();
    versions.fleet.wait_ready().await;
    let knows_both = versions.fleet.wait_known_routers(2);
    if tokio::time::timeout(DIRECTORY_WAIT, knows_both).await.is_err() {
        versions.fleet.thaw_neighbour();
        return false;
    }
    let resuming = Stream::resume_all_partly(&mut second, front, EVENT_PATIENCE);
    let thawing = async {
        tokio::time::sleep(VAIN_SEARCH / 3).await;
        versions.fleet.thaw_neighbour();
    };
    let (went_on, ()) = tokio::join!(resuming, thawing);
    went_on > 0
}

#[tokio::test]
async fn an_answer_to_a_router_before_its_restart_resolves_no_stream_after_it() {
    let ids = [("v1", "i-11"), ("v2", "i-21")];
    for _ in 0..MAX_SCENES {
        let mut versions = Versions::start_with_versions(VERSIONED_STREAM, &ids).await;
        if late_answers_follow_a_restart(&mut versions).await {
            return;
        }
    }
    panic!("the frozen router never answered in time");
}
