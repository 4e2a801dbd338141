//! Strategies to detect which requests crash endpoints.

use std::collections::{BTreeMap, BTreeSet};

use bramblecrank::quarantine::{
    CrashAnalysis, Fingerprint, ObservationLog, QuarantineState, Review,
};
use bramblecrank::registry::EndpointStart;

use bramblecrank::wire::HostId;

use crate::day::ROUTERS;

/// Time between two reviews without new observations.
const REVIEW_INTERVAL_MS: u64 = 250;

/// A detection strategy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Refuses nothing.
    Never,
    /// Each router counts its own losses, and refuses a request after three.
    EachRouterThree,
    /// Losses of all routers are counted together; a request is refused after two.
    AllTwo,
    /// The same, after three.
    AllThree,
    /// Refuses the fewest requests that explain the crashes: the strategy of the product.
    FewestThatExplain,
}

/// Observations and decisions of one strategy.
pub struct Detector {
    strategy: Strategy,
    counts: BTreeMap<(usize, Fingerprint), BTreeSet<EndpointStart>>,
    observation_logs: Vec<ObservationLog>,
    analysis: CrashAnalysis,
    refused: BTreeSet<Fingerprint>,
}

impl Detector {
    pub fn new(strategy: Strategy) -> Detector {
        let observation_logs = vec![ObservationLog::default(); ROUTERS];
        let (counts, analysis, refused) = Default::default();
        Detector { strategy, counts, observation_logs, analysis, refused }
    }

    pub fn record_loss(
        &mut self,
        now: u64,
        router: usize,
        endpoint: &EndpointStart,
        fingerprint: &Fingerprint,
        ran_ms: u32,
    ) {
        let (endpoint, fingerprint) = (endpoint.clone(), fingerprint.clone());
        if self.strategy == Strategy::FewestThatExplain {
            self.observation_logs[router].record_loss(now, endpoint, fingerprint, ran_ms);
        } else {
            let counter = if self.strategy == Strategy::EachRouterThree { router } else { 0 };
            self.counts.entry((counter, fingerprint)).or_default().insert(endpoint);
        }
    }

    pub fn record_answer(&mut self, now: u64, router: usize, endpoint: &EndpointStart) {
        self.observation_logs[router].record_answer(now, endpoint, now);
    }

    pub fn record_served(&mut self, now: u64, router: usize, fingerprint: &Fingerprint) {
        let is_suspect = self.refused.contains(fingerprint);
        self.observation_logs[router].record_served(now, fingerprint, is_suspect);
    }

    /// Reviews the reports of routers as the leader does, without network delays.
    pub fn review(&mut self, now: u64) {
        if self.strategy != Strategy::FewestThatExplain {
            return;
        }
        let mut has_changes = now.is_multiple_of(REVIEW_INTERVAL_MS);
        for (router, observation_log) in (0..).zip(&mut self.observation_logs) {
            if observation_log.due().is_none_or(|due| due > now) {
                continue;
            }
            has_changes = true;
            for observation in observation_log.report(now).observations {
                self.analysis.record(now, HostId(router), observation);
            }
        }
        if !has_changes {
            return;
        }
        let refused = &self.refused;
        let quarantine_state = |f: &Fingerprint| match refused.contains(f) {
            true => QuarantineState::Refused,
            false => QuarantineState::None,
        };
        let Review { blamed, cleared } = self.analysis.review(now, quarantine_state);
        let served = self.analysis.take_served();
        self.refused.retain(|f| !cleared.contains(f) && !served.contains(f));
        for blame in blamed {
            for observation_log in &mut self.observation_logs {
                observation_log.record_refusal(now, &blame.fingerprint);
            }
            self.refused.insert(blame.fingerprint);
        }
    }

    pub fn refuses(&self, router: usize, fingerprint: &Fingerprint) -> bool {
        let count =
            |router| self.counts.get(&(router, fingerprint.clone())).map_or(0, BTreeSet::len);
        match self.strategy {
            Strategy::Never => false,
            Strategy::EachRouterThree => count(router) >= 3,
            Strategy::AllTwo => count(0) >= 2,
            Strategy::AllThree => count(0) >= 3,
            Strategy::FewestThatExplain => self.refused.contains(fingerprint),
        }
    }
}
