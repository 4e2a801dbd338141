//! What callers, operators and replicas saw, and the promises that it must keep. No
//! check asks how long anything took, so a busy machine does not change a verdict.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::replica::Arrival;

/// A change of the configuration that was acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledged {
    pub version: u64,
    pub at: Instant,
}

/// A read of the configuration that was answered.
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
    /// The router that it went to.
    pub router: usize,
    /// Which life of the router's process it was, and when it was asked and answered; none
    /// where that process ended meanwhile, or no answer came.
    pub told: Option<Told>,
    /// Whether it may run once only.
    pub once: bool,
    /// Status, body, and whether the body came to its end; none where the connection
    /// ended first.
    pub answer: Option<(u16, String, bool)>,
}

/// When one life of a router's process was asked, and when its answer had come.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub life: u32,
    pub asked: Instant,
    pub answered: Instant,
}

/// What a router says of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Says {
    Knows,
    /// It may be behind, or takes nothing now.
    Unsure,
    Denies,
}

/// What a router said of the route that a version had added.
#[derive(Clone, Copy, Debug)]
pub struct Sighting {
    pub router: usize,
    /// Counts the starts of its process.
    pub life: u32,
    pub asked: Instant,
    pub answered: Instant,
    pub version: u64,
    pub says: Says,
}

/// An order of a roll-out that was acknowledged. Releases are numbered in the order of
/// their orders, and each of them fails every request.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    pub number: u64,
    pub at: Instant,
}

/// A question for the newest roll-out that was answered.
#[derive(Clone, Debug)]
pub struct RolloutRead {
    pub asked: Instant,
    /// The number of its release, and its state; none where there was none.
    pub said: Option<(u64, String)>,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub sent: BTreeMap<u64, String>,
    pub acknowledged: Vec<Acknowledged>,
    pub refused_changes: Vec<String>,
    pub reads: Vec<Read>,
    pub calls: Vec<Call>,
    pub sightings: Vec<Sighting>,
    pub orders: Vec<Order>,
    pub rollout_reads: Vec<RolloutRead>,
    /// For each time that a replica said that it leaves, whether it got no more in the end.
    pub leaves: Vec<bool>,
    /// Ids of requests that were refused as crashing replicas, and crash none.
    pub mistaken: Vec<String>,
    /// What reached the replica that leaves and rests by the word of its answers alone.
    pub arrivals: Vec<Arrival>,
    /// Ids of requests that replicas ran, once for each run.
    pub runs: Vec<String>,
}

impl History {
    /// Calls that each of so many routers has served since the call at place `first`, of the
    /// router that served fewest.
    pub fn served_by_each(&self, first: usize, routers: usize) -> usize {
        let mut served = vec![0; routers];
        for call in &self.calls[first..] {
            if matches!(call.answer, Some((200, ..))) {
                served[call.router] += 1;
            }
        }
        served.into_iter().min().unwrap_or(0)
    }

    /// Every promise that was broken, in words.
    pub fn broken(&self) -> Vec<String> {
        let mut broken = self.refused_changes.clone();
        broken.extend(self.older_reads());
        broken.extend(self.changed_texts());
        broken.extend(self.wrong_answers());
        broken.extend(self.false_promises());
        broken.extend(self.doubled_runs());
        broken.extend(self.unasked_runs());
        broken.extend(self.routers_gone_back());
        broken.extend(self.leaves_passed_over());
        broken.extend(self.notices_passed_over());
        broken.extend(self.lost_orders());
        broken.extend(self.rollouts_gone_wrong());
        broken.extend(self.mistaken.iter().map(|id| format!("{id} was taken for what crashes")));
        broken
    }

    /// A replica that leaves gets no more requests in the end.
    fn leaves_passed_over(&self) -> impl Iterator<Item = String> {
        let kept = self.leaves.iter().filter(|passed_by| !**passed_by);
        kept.map(|_| "a replica that leaves still gets requests".into())
    }

    /// An acknowledged order is never unknown again.
    fn lost_orders(&self) -> impl Iterator<Item = String> {
        self.rollout_reads.iter().filter_map(|read| {
            let before = self.orders.iter().filter(|order| order.at < read.asked);
            let newest = before.map(|order| order.number).max()?;
            let known = read.said.as_ref().map_or(0, |(number, _)| *number);
            let text = format!("roll-out {known} is the newest after {newest} was acknowledged");
            (known < newest).then_some(text)
        })
    }

    /// A release that fails every request is never rolled out, and what was rolled back
    /// stays so.
    fn rollouts_gone_wrong(&self) -> impl Iterator<Item = String> {
        let mut ended = BTreeSet::new();
        self.rollout_reads.iter().filter_map(move |read| {
            let (number, state) = read.said.as_ref()?;
            if state == "rolled_back" {
                ended.insert(*number);
                return None;
            }
            let is_wrong = state == "done" || ended.contains(number);
            is_wrong.then(|| format!("bad release {number} is {state}"))
        })
    }

    /// The newest version acknowledged before a moment.
    fn newest_before(&self, moment: Instant) -> u64 {
        let before = self.acknowledged.iter().filter(|a| a.at < moment);
        before.map(|a| a.version).max().unwrap_or(0)
    }

    fn older_reads(&self) -> impl Iterator<Item = String> {
        self.reads.iter().filter_map(|read| {
            let newest = self.newest_before(read.asked);
            let text = format!("read version {} after {newest} was acknowledged", read.version);
            (read.version < newest).then_some(text)
        })
    }

    fn changed_texts(&self) -> impl Iterator<Item = String> {
        let changed = |read: &&Read| self.sent.get(&read.version) != Some(&read.text);
        self.reads.iter().filter(changed).map(|r| format!("version {} reads otherwise", r.version))
    }

    fn wrong_answers(&self) -> impl Iterator<Item = String> {
        self.calls.iter().filter_map(|call| {
            let (status, body, whole) = call.answer.as_ref()?;
            let right = *whole && *body == format!("answer to {}", call.id);
            (*status == 200 && !right).then(|| format!("{} got {body:?}, whole {whole}", call.id))
        })
    }

    fn false_promises(&self) -> impl Iterator<Item = String> {
        let run: BTreeSet<_> = self.runs.iter().collect();
        self.calls.iter().filter_map(move |call| {
            let (status, ..) = call.answer.as_ref()?;
            let promised = call.once && matches!(status, 408 | 421 | 429 | 503);
            (promised && run.contains(&call.id)).then(|| format!("{} ran after all", call.id))
        })
    }

    fn doubled_runs(&self) -> impl Iterator<Item = String> {
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        self.runs.iter().for_each(|id| *runs.entry(id).or_default() += 1);
        self.calls.iter().filter(|call| call.once).filter_map(move |call| {
            let count = *runs.get(call.id.as_str())?;
            (count > 1).then(|| format!("{} ran {count} times", call.id))
        })
    }

    fn unasked_runs(&self) -> impl Iterator<Item = String> {
        let asked: BTreeSet<_> = self.calls.iter().map(|call| &call.id).collect();
        let unasked = self.runs.iter().filter(move |id| !asked.contains(id));
        unasked.map(|id| format!("{id} ran and nobody had asked"))
    }

    fn routers_gone_back(&self) -> impl Iterator<Item = String> {
        self.sightings.iter().filter(|s| s.says == Says::Denies).filter_map(|later| {
            let same = |s: &&Sighting| s.router == later.router && s.life == later.life;
            let before = |s: &&Sighting| s.says == Says::Knows && s.answered < later.asked;
            let known =
                self.sightings.iter().filter(same).filter(before).map(|s| s.version).max()?;
            let text = format!("router {} knew {known}, then not {}", later.router, later.version);
            (known >= later.version).then_some(text)
        })
    }

    /// For how long a router was behind at most, in milliseconds, and that while it
    /// denied routes instead of saying that it may be behind; for the report only.
    pub fn behind_ms(&self) -> (u128, u128) {
        let behind = |later: &Sighting| {
            let same = |s: &&Sighting| s.router == later.router && s.life == later.life;
            let before = self.sightings.iter().filter(same).filter(|s| s.answered < later.asked);
            let known = before.filter(|s| s.says == Says::Knows).map(|s| s.version).max()?;
            let mut missed = self.acknowledged.iter().filter(|a| a.version > known);
            let since = later.asked.checked_duration_since(missed.next()?.at)?;
            Some(since.as_millis())
        };
        let longest = |unsure: bool| {
            let not_known = self.sightings.iter().filter(|s| match s.says {
                Says::Knows => false,
                Says::Unsure => unsure,
                Says::Denies => true,
            });
            not_known.filter_map(behind).max().unwrap_or(0)
        };
        (longest(true), longest(false))
    }
}
