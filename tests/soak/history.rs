//! What callers, operators and replicas observed, and checks of the guarantees that it must
//! meet. No check depends on durations, so a busy machine does not change the result.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::replica::Arrival;
use crate::shapes::Told;
use crate::streams::EVENTS;

/// An acknowledged change of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledged {
    pub version: u64,
    pub at: Instant,
}

/// An answered read of the configuration.
#[derive(Clone, Debug)]
pub struct Read {
    pub asked: Instant,
    pub version: u64,
    pub text: String,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    /// Index of the router that received it.
    pub router: usize,
    /// When it was sent and answered; `None` if the router's process was restarted meanwhile, or
    /// no answer came.
    pub times: Option<CallTimes>,
    /// Whether it is not idempotent and so may run at most once.
    pub once: bool,
    /// Status, body, and whether the body is complete; `None` if no answer came.
    pub answer: Option<(u16, String, bool)>,
}

/// When a call was sent to a router and answered, and which start of its process served it.
#[derive(Clone, Copy, Debug)]
pub struct CallTimes {
    pub start_number: u32,
    pub asked: Instant,
    pub answered: Instant,
}

/// What a router's answer shows about a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteAnswer {
    Known,
    /// The router may be behind, or accepts no requests at present.
    Uncertain,
    NotFound,
}

/// An answer of a router to a request for the route that a version added.
#[derive(Clone, Copy, Debug)]
pub struct RouteCheck {
    pub router: usize,
    /// Counts the starts of the router's process.
    pub start_number: u32,
    pub asked: Instant,
    pub answered: Instant,
    pub version: u64,
    pub answer: RouteAnswer,
}

/// An acknowledged order of a roll-out. Releases are numbered in the order in which they are
/// rolled out, and each of them fails every request.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    pub number: u64,
    pub at: Instant,
}

/// An answered read of the newest roll-out.
#[derive(Clone, Debug)]
pub struct RolloutRead {
    pub asked: Instant,
    /// Number of its release, and its state; `None` if there is no roll-out.
    pub rollout: Option<(u64, String)>,
}

/// A caller's try to begin or resume a stream.
#[derive(Clone, Debug)]
pub struct StreamTry {
    /// The stream that it belongs to.
    pub stream: String,
    pub attempt: String,
    /// Status of the answer; `None` if no answer came.
    pub status: Option<u16>,
    /// The last event that its caller had before.
    pub after: u32,
    /// The complete events of the answer: their ids, and the version that wrote each.
    pub events: Vec<(u32, String)>,
    /// What its caller was told of the answer; `None` if none came.
    pub told: Option<Told>,
    /// Whether the answer ended inside an event.
    pub is_inside: bool,
    /// Whether the replica frames an answer as whole that is short.
    pub is_short_by_replica: bool,
}

/// Everything that was observed in one soak.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub sent: BTreeMap<u64, String>,
    pub acknowledged: Vec<Acknowledged>,
    pub refused_changes: Vec<String>,
    pub reads: Vec<Read>,
    pub calls: Vec<Call>,
    pub route_checks: Vec<RouteCheck>,
    pub orders: Vec<Order>,
    pub rollout_reads: Vec<RolloutRead>,
    /// For each time that a replica registered as leaving, whether it eventually got no more
    /// requests.
    pub leave_outcomes: Vec<bool>,
    /// Ids of harmless requests that were refused as crashing replicas.
    pub wrongly_refused: Vec<String>,
    /// Requests that reached the replica that announces leaving and rests only in its answers.
    pub arrivals: Vec<Arrival>,
    /// Ids of requests that replicas ran, once for each run.
    pub runs: Vec<String>,
    /// Tries of streams, those of one stream in their order.
    pub stream_tries: Vec<StreamTry>,
    /// Ids of tries that replicas ran, once for each run.
    pub stream_runs: Vec<String>,
}

impl History {
    /// Number of calls served since the call at index `first` by the router that served fewest.
    pub fn min_served(&self, first: usize, routers: usize) -> usize {
        let mut served = vec![0; routers];
        for call in &self.calls[first..] {
            if matches!(call.answer, Some((200, ..))) {
                served[call.router] += 1;
            }
        }
        served.into_iter().min().unwrap_or(0)
    }

    /// Descriptions of all violated guarantees.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.refused_changes.clone();
        violations.extend(self.stale_reads());
        violations.extend(self.altered_configurations());
        violations.extend(self.wrong_answers());
        violations.extend(self.false_not_run());
        violations.extend(self.repeated_runs());
        violations.extend(self.unrequested_runs());
        violations.extend(self.router_regressions());
        violations.extend(self.ignored_leaving_registrations());
        violations.extend(self.ignored_notices());
        violations.extend(self.lost_orders());
        violations.extend(self.wrong_rollouts());
        violations.extend(self.mixed_streams());
        violations.extend(self.gaps_in_streams());
        violations.extend(self.falsely_refused_streams());
        violations.extend(self.broken_streams_told_as_whole());
        violations.extend(
            self.wrongly_refused
                .iter()
                .map(|id| format!("{id} is harmless and was refused as crashing")),
        );
        violations
    }

    /// A replica that registered as leaving eventually gets no more requests.
    fn ignored_leaving_registrations(&self) -> impl Iterator<Item = String> {
        let ignored = self.leave_outcomes.iter().filter(|is_unused| !**is_unused);
        ignored.map(|_| "a leaving replica still gets requests".into())
    }

    /// The events of each stream that has any, over all its tries.
    fn streams(&self) -> BTreeMap<&str, Vec<&(u32, String)>> {
        let mut streams: BTreeMap<&str, Vec<_>> = BTreeMap::new();
        for stream_try in &self.stream_tries {
            streams.entry(&stream_try.stream).or_default().extend(&stream_try.events);
        }
        streams
    }

    /// A stream holds events of one software version, over all tries of its caller.
    fn mixed_streams(&self) -> impl Iterator<Item = String> {
        self.streams().into_iter().filter_map(|(stream, events)| {
            let versions: BTreeSet<_> = events.iter().map(|(_, version)| version).collect();
            (versions.len() > 1).then(|| format!("stream {stream} holds events of {versions:?}"))
        })
    }

    /// A stream has each event once and in order, over all tries of its caller.
    fn gaps_in_streams(&self) -> impl Iterator<Item = String> {
        self.streams().into_iter().filter_map(|(stream, events)| {
            let ids: Vec<_> = events.iter().map(|(id, _)| *id).collect();
            let in_order = ids.iter().copied().eq(1..=ids.len() as u32);
            (!in_order).then(|| format!("stream {stream} holds the events {ids:?}"))
        })
    }

    /// A stream that is refused as not run has not run.
    fn falsely_refused_streams(&self) -> impl Iterator<Item = String> {
        let ran: BTreeSet<_> = self.stream_runs.iter().collect();
        let refused = self.stream_tries.iter().filter(|t| matches!(t.status, Some(429 | 503)));
        let false_refusals = refused.filter(move |t| ran.contains(&t.attempt));
        false_refusals.map(|t| format!("{} was reported as not run, but ran", t.attempt))
    }

    /// A stream that is framed as whole has all its events, unless its replica framed it as whole
    /// without them; one that ends with its connection does not end inside an event.
    fn broken_streams_told_as_whole(&self) -> impl Iterator<Item = String> {
        self.stream_tries.iter().filter(|t| t.status == Some(200)).filter_map(|t| {
            let last_event = t.events.last().map_or(t.after, |(id, _)| *id);
            let is_short = last_event < EVENTS && !t.is_short_by_replica;
            let is_wrong = match t.told? {
                Told::Whole => is_short || t.is_inside,
                Told::Nothing => t.is_inside,
                Told::Broken => false,
            };
            let text = format!("{} was told {:?} after event {last_event}", t.attempt, t.told);
            is_wrong.then_some(text)
        })
    }

    /// An acknowledged order is never lost.
    fn lost_orders(&self) -> impl Iterator<Item = String> {
        self.rollout_reads.iter().filter_map(|read| {
            let before = self.orders.iter().filter(|order| order.at < read.asked);
            let newest = before.map(|order| order.number).max()?;
            let known = read.rollout.as_ref().map_or(0, |(number, _)| *number);
            let text = format!("roll-out {known} is the newest after {newest} was acknowledged");
            (known < newest).then_some(text)
        })
    }

    /// A release that fails every request is never rolled out completely, and one that was
    /// rolled back stays rolled back.
    fn wrong_rollouts(&self) -> impl Iterator<Item = String> {
        let mut ended = BTreeSet::new();
        self.rollout_reads.iter().filter_map(move |read| {
            let (number, state) = read.rollout.as_ref()?;
            if state == "rolled_back" {
                ended.insert(*number);
                return None;
            }
            let is_wrong = state == "done" || ended.contains(number);
            is_wrong.then(|| format!("failing release {number} is {state}"))
        })
    }

    /// The newest version acknowledged before a moment.
    fn newest_before(&self, moment: Instant) -> u64 {
        let before = self.acknowledged.iter().filter(|a| a.at < moment);
        before.map(|a| a.version).max().unwrap_or(0)
    }

    fn stale_reads(&self) -> impl Iterator<Item = String> {
        self.reads.iter().filter_map(|read| {
            let newest = self.newest_before(read.asked);
            let text = format!("read version {} after {newest} was acknowledged", read.version);
            (read.version < newest).then_some(text)
        })
    }

    fn altered_configurations(&self) -> impl Iterator<Item = String> {
        let changed = |read: &&Read| self.sent.get(&read.version) != Some(&read.text);
        self.reads
            .iter()
            .filter(changed)
            .map(|r| format!("version {} was read with an altered text", r.version))
    }

    fn wrong_answers(&self) -> impl Iterator<Item = String> {
        self.calls.iter().filter_map(|call| {
            let (status, body, complete) = call.answer.as_ref()?;
            let right = *complete && *body == format!("answer to {}", call.id);
            (*status == 200 && !right)
                .then(|| format!("{} was answered with {body:?}, complete: {complete}", call.id))
        })
    }

    fn false_not_run(&self) -> impl Iterator<Item = String> {
        let run: BTreeSet<_> = self.runs.iter().collect();
        self.calls.iter().filter_map(move |call| {
            let (status, ..) = call.answer.as_ref()?;
            let promised = call.once && matches!(status, 408 | 421 | 429 | 503);
            (promised && run.contains(&call.id))
                .then(|| format!("{} was reported as not run, but ran", call.id))
        })
    }

    fn repeated_runs(&self) -> impl Iterator<Item = String> {
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        self.runs.iter().for_each(|id| *runs.entry(id).or_default() += 1);
        self.calls.iter().filter(|call| call.once).filter_map(move |call| {
            let count = *runs.get(call.id.as_str())?;
            (count > 1).then(|| format!("{} ran {count} times", call.id))
        })
    }

    fn unrequested_runs(&self) -> impl Iterator<Item = String> {
        let asked: BTreeSet<_> = self.calls.iter().map(|call| &call.id).collect();
        let unasked = self.runs.iter().filter(move |id| !asked.contains(id));
        unasked.map(|id| format!("{id} ran without a request"))
    }

    fn router_regressions(&self) -> impl Iterator<Item = String> {
        self.route_checks.iter().filter(|s| s.answer == RouteAnswer::NotFound).filter_map(|later| {
            let same =
                |s: &&RouteCheck| s.router == later.router && s.start_number == later.start_number;
            let before =
                |s: &&RouteCheck| s.answer == RouteAnswer::Known && s.answered < later.asked;
            let known =
                self.route_checks.iter().filter(same).filter(before).map(|s| s.version).max()?;
            let text = format!(
                "router {} had version {known}, but later not {}",
                later.router, later.version
            );
            (known >= later.version).then_some(text)
        })
    }

    /// Longest lag of a router behind the acknowledged versions, in milliseconds, over all
    /// answers and over those with status 404 alone; for the report only.
    pub fn max_lag_ms(&self) -> (u128, u128) {
        let behind = |later: &RouteCheck| {
            let same =
                |s: &&RouteCheck| s.router == later.router && s.start_number == later.start_number;
            let before = self.route_checks.iter().filter(same).filter(|s| s.answered < later.asked);
            let known =
                before.filter(|s| s.answer == RouteAnswer::Known).map(|s| s.version).max()?;
            let mut missed = self.acknowledged.iter().filter(|a| a.version > known);
            let since = later.asked.checked_duration_since(missed.next()?.at)?;
            Some(since.as_millis())
        };
        let longest = |unsure: bool| {
            let lagging = self.route_checks.iter().filter(|s| match s.answer {
                RouteAnswer::Known => false,
                RouteAnswer::Uncertain => unsure,
                RouteAnswer::NotFound => true,
            });
            lagging.filter_map(behind).max().unwrap_or(0)
        };
        (longest(true), longest(false))
    }
}
