//! The engines that a placer knows.

use std::collections::HashSet;

use super::Placer;
use crate::dispatch::Millis;
use crate::placement::choice::Engine;
use crate::placement::cold_limiter::ColdLimiter;
use crate::placement::engines::EngineInfo;
use crate::placement::parts::EngineNumber;

impl Placer {
    /// Sets the engines that accept requests now. Others keep the requests already sent to them.
    pub fn set_engines(&mut self, now: Millis, engines: Vec<EngineInfo>) {
        let ready: HashSet<&str> = engines.iter().map(|info| info.id.as_str()).collect();
        let known = self.numbers.keys();
        let gone: Vec<_> = known.filter(|id| !ready.contains(id.as_str())).cloned().collect();
        self.update_engines(now, engines, &gone);
    }

    /// Adds or updates engines that accept requests, and records that others no longer do: these
    /// keep the requests already sent to them. Takes time in proportion to the engines named.
    pub fn update_engines(&mut self, now: Millis, ready: Vec<EngineInfo>, gone: &[String]) {
        for id in gone {
            if let Some(number) = self.numbers.get(id).copied() {
                self.engines[number].is_ready = false;
                self.index.remove(number);
                self.remove_if_unused(number);
            }
        }
        for mut info in ready {
            let earlier = self.remove_earlier_start(&info);
            info.rate = self.initial_rate(&info.service, info.rate);
            let number = match self.numbers.get(&info.id) {
                Some(number) => {
                    let known = &mut self.engines[*number];
                    known.model.set_initial_rate(info.rate);
                    known.cold_limiter.update(
                        now,
                        info.cold_per_second,
                        info.registration_seq,
                        info.warmup_ms,
                    );
                    known.is_ready = true;
                    *number
                }
                None => {
                    let id = info.id.clone();
                    let mut engine = Engine::new(now, info, self.rules.reading_share);
                    if let Some(earlier) = earlier {
                        engine.cold_limiter.inherit_sent(earlier);
                    }
                    let number = self.engines.insert(engine);
                    self.numbers.insert(id, number);
                    number
                }
            };
            self.index.update(number, &self.engines[number]);
        }
    }

    /// Removes an engine that accepts no requests and has none.
    pub(super) fn remove_if_unused(&mut self, number: EngineNumber) {
        let is_unused = |engine: &Engine| !engine.is_ready && engine.model.requests() == 0;
        if self.engines.get(number).is_some_and(is_unused) {
            self.remove_engine(number);
        }
    }

    fn remove_engine(&mut self, number: EngineNumber) -> Engine {
        let engine = self.engines.remove(number);
        self.numbers.remove(&engine.id);
        self.index.remove(number);
        self.parts.remove_engine(number);
        for key in engine.model.request_keys() {
            self.placed.remove(key);
        }
        engine
    }

    /// Removes an engine that has restarted: the requests sent to the earlier start have ended, and
    /// the new process keeps no prompt parts. Returns the requests recently sent to the earlier
    /// start, as its cold limiter.
    fn remove_earlier_start(&mut self, info: &EngineInfo) -> Option<ColdLimiter> {
        let number = *self.numbers.get(&info.id)?;
        if self.engines[number].started_at_ms == info.started_at_ms {
            return None;
        }
        Some(self.remove_engine(number).cold_limiter)
    }

    /// Sets the initial rate of all engines of a service.
    pub(super) fn apply_rate(&mut self, service: &str, rate: f64) {
        for (number, engine) in self.engines.iter_mut().filter(|(_, e)| e.service == service) {
            engine.model.set_initial_rate(rate);
            self.index.update(number, engine);
        }
    }

    /// The initial reading rate of an engine of a service, from the observations of its other
    /// engines.
    fn initial_rate(&mut self, service: &str, nominal: f64) -> f64 {
        if let Some(rate) = self.service_rates.set_nominal(service, nominal) {
            self.apply_rate(service, rate);
        }
        self.service_rates.applied(service).unwrap_or(nominal)
    }
}
