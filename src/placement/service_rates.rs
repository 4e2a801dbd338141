//! Reading rates of services, learned from all of their engines.

use std::collections::HashMap;

use super::engine::Observation;
use super::pauses::LONG_READING_UNITS;
use super::rate::ReadingRate;

/// Weight of the earlier observations of a service's reading rate at each new one: an average over
/// some 200 prompts, so that one slow engine changes it little.
const RATE_DECAY: f64 = 0.995;
/// Relative change of a service's reading rate from which on it is applied to the engines, which
/// takes time in proportion to them.
const MIN_RATE_CHANGE: f64 = 0.05;

/// How fast the engines of a service read.
#[derive(Clone, Copy, Debug)]
struct Rates {
    overall: ReadingRate,
    /// The initial rate last given to its engines, in units per millisecond.
    applied: f64,
    /// The rate at which long prompts are read.
    long: ReadingRate,
}

impl Rates {
    /// The rate to be applied to the engines, if it has changed enough.
    fn take_change(&mut self) -> Option<f64> {
        let rate = self.overall.get();
        if (rate / self.applied - 1.0).abs() < MIN_RATE_CHANGE {
            return None;
        }
        self.applied = rate;
        Some(rate)
    }
}

/// Reading rates by service. The rate of a service is the initial rate of engines that have read
/// little; with thousands of engines that is most of them. The nominal tokens of a fleet divided by
/// the number of its engines may be off by a factor of ten and more. Idle engines then look slow
/// and requests are refused: 226 of 250 in `tests/rate.rs` without this rate, none with it.
#[derive(Clone, Debug, Default)]
pub struct ServiceRates {
    services: HashMap<String, Rates>,
}

impl ServiceRates {
    /// Records an observation at an engine of a service. Returns the rate to be applied to all of
    /// its engines, if that has changed.
    pub fn observe(&mut self, service: &str, observed: Observation) -> Option<f64> {
        let rates = self.services.get_mut(service)?;
        rates.overall.observe(observed.units, observed.ms);
        if observed.units >= LONG_READING_UNITS {
            rates.long.observe(observed.units, observed.ms);
        }
        rates.take_change()
    }

    /// Sets the rate assumed before the first observations. Returns the rate to be applied to all
    /// engines of the service, if that has changed.
    pub fn set_nominal(&mut self, service: &str, nominal: f64) -> Option<f64> {
        let Some(rates) = self.services.get_mut(service) else {
            let overall = ReadingRate::new(nominal, RATE_DECAY);
            let rates = Rates { overall, applied: nominal, long: overall };
            self.services.insert(service.to_string(), rates);
            return None;
        };
        rates.overall.set_initial(nominal);
        rates.take_change()
    }

    /// The rate last applied to the engines of a service, in units per millisecond.
    pub fn applied(&self, service: &str) -> Option<f64> {
        self.services.get(service).map(|rates| rates.applied)
    }

    /// The rate at which engines of a service read long prompts, in units per millisecond.
    pub fn long(&self, service: &str) -> Option<f64> {
        self.services.get(service).map(|rates| rates.long.get())
    }
}
