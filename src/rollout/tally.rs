//! A router's counts of requests and answers by release, without I/O.

use std::collections::{BTreeMap, HashMap};

use super::model::{Rollout, Rollouts};
use super::report::{AnswerCounts, Release, Report, RouteTally, ServiceReport};

/// The tally that a request counts towards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TallyKey {
    /// The service.
    pub service: String,
    /// The number of the rollout.
    pub number: u64,
    /// The route's name.
    pub route: String,
    /// The side that the request was sent to.
    pub release: Release,
}

/// The side of a rollout that a version belongs to.
pub fn release_of(rollout: &Rollout, version: &str) -> Release {
    match rollout.order.version == version {
        true => Release::New,
        false => Release::Old,
    }
}

#[derive(Clone, Debug, Default)]
struct ServiceTally {
    number: u64,
    routes: BTreeMap<(String, Release), AnswerCounts>,
}

/// Counts that this router has not reported yet, and its open requests.
#[derive(Clone, Debug, Default)]
pub struct RouterTally {
    services: BTreeMap<String, ServiceTally>,
    /// Open requests by service and version, also without a rollout: requests that began
    /// before an order must end too before its rollout is done.
    open: HashMap<String, BTreeMap<String, u32>>,
}

impl RouterTally {
    /// Records that a request runs at an endpoint of a version.
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

    /// Records that a request at an endpoint of a version has ended.
    pub fn record_closed(&mut self, service: &str, version: &str) {
        let Some(releases) = self.open.get_mut(service) else { return };
        let Some(open) = releases.get_mut(version) else { return };
        *open = open.saturating_sub(1);
        if *open == 0 {
            releases.remove(version);
        }
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, key: &TallyKey) {
        self.count(key, |counts| counts.sent += 1);
    }

    /// Records that a request could not be sent after all. If it was reported as sent in the
    /// meantime, it stays counted: the release then receives less than its fraction, not more.
    pub fn record_unsent(&mut self, key: &TallyKey) {
        self.count(key, |counts| counts.sent = counts.sent.saturating_sub(1));
    }

    /// Records an answer that was an error or never arrived.
    pub fn record_failed(&mut self, key: &TallyKey) {
        self.count(key, |counts| counts.failed += 1);
    }

    /// Records that an answer that began successfully ended early.
    pub fn record_truncated(&mut self, key: &TallyKey) {
        self.count(key, |counts| {
            counts.failed += 1;
            counts.answered -= 1;
        });
    }

    /// Records an answer that began successfully after `ms` milliseconds.
    pub fn record_answered(&mut self, key: &TallyKey, ms: f64) {
        self.count(key, |counts| counts.add_answer(ms));
    }

    /// Records an answer that began successfully at a cold endpoint, without its time, which
    /// would be no evidence about the release.
    pub fn record_answered_cold(&mut self, key: &TallyKey) {
        self.count(key, |counts| counts.answered += 1);
    }

    /// Updates the counts, unless a later rollout of the service has begun.
    fn count(&mut self, key: &TallyKey, add: impl FnOnce(&mut AnswerCounts)) {
        let tally = self.services.entry(key.service.clone()).or_default();
        if tally.number < key.number {
            *tally = ServiceTally { number: key.number, ..ServiceTally::default() };
        }
        if tally.number == key.number {
            add(tally.routes.entry((key.route.clone(), key.release)).or_default());
        }
    }

    /// Takes the counts of the rollouts in progress as a report; counts of other rollouts
    /// are dropped.
    pub fn take_report(&mut self, rollouts: &Rollouts) -> Report {
        let mut unreported = std::mem::take(&mut self.services);
        let in_progress = rollouts.all().filter(|rollout| !rollout.stage.is_final());
        let services = in_progress.map(|rollout| {
            let service = rollout.order.service.clone();
            let service_tally = unreported.remove(&service).filter(|c| c.number == rollout.number);
            let routes = service_tally.unwrap_or_default().routes.into_iter();
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

    /// Returns the counts of a report that could not be sent. Memory stays bounded, as only
    /// sums by route and release are kept.
    pub fn put_back(&mut self, report: Report) {
        for ServiceReport { service, number, tallies, .. } in report.services {
            for RouteTally { route, release, answers } in tallies {
                let key = TallyKey { service: service.clone(), number, route, release };
                self.count(&key, |counts| counts.merge(&answers));
            }
        }
    }

    fn open_on_old(&self, rollout: &Rollout) -> u32 {
        let releases = self.open.get(&rollout.order.service).into_iter().flatten();
        let old = releases.filter(|(version, _)| release_of(rollout, version) == Release::Old);
        old.map(|(_, open)| open).sum()
    }
}
