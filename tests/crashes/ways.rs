//! Ways to decide which requests crash endpoints.

use std::collections::{BTreeMap, BTreeSet};

use bramblecrank::quarantine::{
    CrashAnalysis, Fingerprint, ObservationLog, QuarantineState, Review,
};
use bramblecrank::registry::EndpointStart;

use bramblecrank::wire::HostId;

use crate::day::ROUTERS;

/// How often it is decided without news.
const LOOK_EVERY_MS: u64 = 250;

/// A way to decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Nothing is remembered.
    Never,
    /// Each router counts what it lost itself, and refuses after three.
    EachRouterThree,
    /// All together count, and refuse after two.
    AllTwo,
    /// All together count, and refuse after three.
    AllThree,
    /// The requests are blamed that explain most crashes.
    FewestThatExplain,
}

/// What is decided so far by one way.
pub struct Judge {
    way: Way,
    counts: BTreeMap<(usize, Fingerprint), BTreeSet<EndpointStart>>,
    observation_logs: Vec<ObservationLog>,
    analysis: CrashAnalysis,
    refused: BTreeSet<Fingerprint>,
}

impl Judge {
    pub fn new(way: Way) -> Judge {
        let observation_logs = vec![ObservationLog::default(); ROUTERS];
        let (counts, analysis, refused) = Default::default();
        Judge { way, counts, observation_logs, analysis, refused }
    }

    pub fn lost(
        &mut self,
        now: u64,
        router: usize,
        endpoint: &EndpointStart,
        fingerprint: &Fingerprint,
        ran_ms: u32,
    ) {
        let (endpoint, fingerprint) = (endpoint.clone(), fingerprint.clone());
        if self.way == Way::FewestThatExplain {
            self.observation_logs[router].record_loss(now, endpoint, fingerprint, ran_ms);
        } else {
            let counter = if self.way == Way::EachRouterThree { router } else { 0 };
            self.counts.entry((counter, fingerprint)).or_default().insert(endpoint);
        }
    }

    pub fn answered(&mut self, now: u64, router: usize, endpoint: &EndpointStart) {
        self.observation_logs[router].record_answer(now, endpoint, now);
    }

    pub fn served(&mut self, now: u64, router: usize, fingerprint: &Fingerprint) {
        let is_suspect = self.refused.contains(fingerprint);
        self.observation_logs[router].record_served(now, fingerprint, is_suspect);
    }

    /// What the leader does with what routers tell it, without the way there and back.
    pub fn decide(&mut self, now: u64) {
        if self.way != Way::FewestThatExplain {
            return;
        }
        let mut has_news = now.is_multiple_of(LOOK_EVERY_MS);
        for (router, observation_log) in (0..).zip(&mut self.observation_logs) {
            if observation_log.due().is_none_or(|due| due > now) {
                continue;
            }
            has_news = true;
            for observation in observation_log.report(now).observations {
                self.analysis.record(now, HostId(router), observation);
            }
        }
        if !has_news {
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
        match self.way {
            Way::Never => false,
            Way::EachRouterThree => count(router) >= 3,
            Way::AllTwo => count(0) >= 2,
            Way::AllThree => count(0) >= 3,
            Way::FewestThatExplain => self.refused.contains(fingerprint),
        }
    }
}
