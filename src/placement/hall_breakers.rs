//! Circuit breakers between data halls.
//!
//! An engine that fails twice is excluded. When the path to a data hall fails, each of its engines
//! would have to fail twice, which with thousands of engines takes longer than the failure lasts.
//! Failures of several engines of one hall in a row, for the routers of one hall, therefore open a
//! breaker between the two: other engines are preferred, and single requests probe the path.

use std::collections::HashMap;

use super::parts::EngineNumber;
use crate::dispatch::Millis;

/// Engines that must fail in a row, without a success at any engine of the hall, before a breaker
/// opens.
const FAILED_ENGINES_TO_OPEN: usize = 6;
/// Milliseconds after which a failure no longer counts as one in a row.
const FAILURE_WINDOW_MS: Millis = 2_000;
/// Milliseconds between two probes of an open breaker: a little more than it takes to find that a
/// connection cannot be opened.
const PROBE_INTERVAL_MS: Millis = 500;

/// The path from the routers of one data hall to the engines of another.
#[derive(Clone, Debug, Default)]
struct Breaker {
    /// The engines that failed in a row, with the time of each.
    failed: Vec<(EngineNumber, Millis)>,
    /// When the next probe may be sent, while the breaker is open.
    probe_at: Option<Millis>,
}

impl Breaker {
    fn is_open(&self, now: Millis) -> bool {
        self.probe_at.is_some_and(|at| now < at)
    }
}

/// The breakers between all pairs of data halls in which something has failed.
#[derive(Clone, Debug, Default)]
pub struct HallBreakers {
    /// By the routers' hall and the engines' hall.
    breakers: HashMap<String, HashMap<String, Breaker>>,
}

impl HallBreakers {
    /// The halls whose engines are to be avoided for routers of the hall `from`.
    pub fn avoided_from(&self, now: Millis, from: &str) -> Vec<&str> {
        let breakers = self.breakers.get(from).into_iter().flatten();
        breakers.filter(|(_, breaker)| breaker.is_open(now)).map(|(to, _)| to.as_str()).collect()
    }

    /// Records that a request is sent from one hall to another: the probe, if one is due.
    pub fn record_sent(&mut self, now: Millis, from: &str, to: &str) {
        let breaker = self.breakers.get_mut(from).and_then(|breakers| breakers.get_mut(to));
        if let Some(probe_at) = breaker.and_then(|breaker| breaker.probe_at.as_mut()) {
            *probe_at = now + PROBE_INTERVAL_MS;
        }
    }

    /// Records a success at an engine: closes the breaker.
    pub fn record_success(&mut self, from: &str, to: &str) {
        if let Some(breakers) = self.breakers.get_mut(from) {
            breakers.remove(to);
        }
    }

    /// Records a failure at an engine. Returns whether the breaker opens by it.
    pub fn record_failure(
        &mut self,
        now: Millis,
        from: &str,
        to: &str,
        engine: EngineNumber,
    ) -> bool {
        let breakers = self.breakers.entry(from.to_string()).or_default();
        let breaker = breakers.entry(to.to_string()).or_default();
        breaker.failed.retain(|(failed, at)| *failed != engine && at + FAILURE_WINDOW_MS > now);
        breaker.failed.push((engine, now));
        let opens = breaker.probe_at.is_none() && breaker.failed.len() >= FAILED_ENGINES_TO_OPEN;
        if opens {
            breaker.probe_at = Some(now + PROBE_INTERVAL_MS);
        }
        opens
    }
}
