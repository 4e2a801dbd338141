//! What a router counts while a release is rolled out, without I/O.

use std::collections::{BTreeMap, HashMap};

use super::model::{Rollout, Rollouts};
use super::report::{AnswerCounts, Release, Report, RouteTally, ServiceReport};

/// What a request that was sent counts for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TallyKey {
    /// Its service.
    pub service: String,
    /// The roll-out.
    pub number: u64,
    /// Its route.
    pub route: String,
    /// The side that it was sent to.
    pub release: Release,
}

/// The side of a roll-out that a release is on.
pub fn release_of(rollout: &Rollout, version: &str) -> Release {
    match rollout.order.version == version {
        true => Release::New,
        false => Release::Old,
    }
}

#[derive(Clone, Debug, Default)]
struct Counted {
    number: u64,
    routes: BTreeMap<(String, Release), AnswerCounts>,
}

/// What this router has not yet reported, and what it has under way.
#[derive(Clone, Debug, Default)]
pub struct RouterTally {
    services: BTreeMap<String, Counted>,
    /// Open requests by service and release, whether or not one is rolled out: what began
    /// before an order has to end too.
    open: HashMap<String, BTreeMap<String, u32>>,
}

impl RouterTally {
    /// A request runs at an endpoint of a release.
    pub fn record_opened(&mut self, service: &str, version: &str) {
        let releases = match self.open.get_mut(service) {
            Some(releases) => releases,
            None => self.open.entry(service.to_string()).or_default(),
        };
        match releases.get_mut(version) {
            Some(open) => *open += 1,
            None => {
                releases.insert(version.to_string(), 1);
            }
        }
    }

    /// It has ended there.
    pub fn record_closed(&mut self, service: &str, version: &str) {
        let Some(releases) = self.open.get_mut(service) else { return };
        let Some(open) = releases.get_mut(version) else { return };
        *open = open.saturating_sub(1);
        if *open == 0 {
            releases.remove(version);
        }
    }

    /// A request is sent.
    pub fn record_sent(&mut self, sample: &TallyKey) {
        self.count(sample, |counts| counts.sent += 1);
    }

    /// It could not be sent. Where that was reported meanwhile, it stays counted: the
    /// part of a release is kept to on the safe side.
    pub fn record_unsent(&mut self, sample: &TallyKey) {
        self.count(sample, |counts| counts.sent = counts.sent.saturating_sub(1));
    }

    /// Its answer was a failure or never came.
    pub fn record_failed(&mut self, sample: &TallyKey) {
        self.count(sample, |counts| counts.failed += 1);
    }

    /// Its answer began well and broke off later.
    pub fn record_truncated(&mut self, sample: &TallyKey) {
        self.count(sample, |counts| {
            counts.failed += 1;
            counts.answered -= 1;
        });
    }

    /// Its answer began well after so many milliseconds.
    pub fn record_answered(&mut self, sample: &TallyKey, ms: f64) {
        self.count(sample, |counts| counts.add(ms));
    }

    /// Its answer began well, at an endpoint that is still cold: how long it took says
    /// nothing of the release.
    pub fn record_answered_cold(&mut self, sample: &TallyKey) {
        self.count(sample, |counts| counts.answered += 1);
    }

    /// Counts, unless a later roll-out of the service has begun.
    fn count(&mut self, sample: &TallyKey, add: impl FnOnce(&mut AnswerCounts)) {
        let counted = self.services.entry(sample.service.clone()).or_default();
        if counted.number < sample.number {
            *counted = Counted { number: sample.number, ..Counted::default() };
        }
        if counted.number == sample.number {
            add(counted.routes.entry((sample.route.clone(), sample.release)).or_default());
        }
    }

    /// What there is to report of the roll-outs under way; what belongs to others is
    /// forgotten.
    pub fn take_report(&mut self, rollouts: &Rollouts) -> Report {
        let mut counted = std::mem::take(&mut self.services);
        let under_way = rollouts.all().filter(|rollout| !rollout.stage.is_final());
        let services = under_way.map(|rollout| {
            let service = rollout.order.service.clone();
            let counted = counted.remove(&service).filter(|c| c.number == rollout.number);
            let routes = counted.unwrap_or_default().routes.into_iter();
            let tallies = routes.filter(|(_, answers)| !answers.is_empty());
            let tally = |((route, release), answers)| RouteTally { route, release, answers };
            ServiceReport {
                number: rollout.number,
                open_on_old: self.open_on_old(rollout),
                tallies: tallies.map(tally).collect(),
                service,
            }
        });
        Report { services: services.collect() }
    }

    /// Takes back a report that could not be sent. What is kept is bounded: sums by route
    /// and release.
    pub fn put_back(&mut self, report: Report) {
        for ServiceReport { service, number, tallies, .. } in report.services {
            for RouteTally { route, release, answers } in tallies {
                let sample = TallyKey { service: service.clone(), number, route, release };
                self.count(&sample, |counts| counts.merge(&answers));
            }
        }
    }

    fn open_on_old(&self, rollout: &Rollout) -> u32 {
        let releases = self.open.get(&rollout.order.service).into_iter().flatten();
        let old = releases.filter(|(version, _)| release_of(rollout, version) == Release::Old);
        old.map(|(_, open)| open).sum()
    }
}
