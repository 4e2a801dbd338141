//! Counters for `/metrics`.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// The metrics of a router.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service, outcome and reason.
    pub requests: IntCounterVec,
    /// Units of service by customer and service.
    pub served_units: IntCounterVec,
    /// Attempts repeated at another endpoint.
    pub retries: IntCounter,
    /// Answers dropped because they belonged to another request.
    pub crossed: IntCounter,
    /// Streams that ended early.
    pub cut_streams: IntCounter,
    /// Streams resumed after they had ended early.
    pub resumed_streams: IntCounter,
    /// Control bytes sent to other hosts.
    pub control_bytes: IntCounter,
    /// The configuration version in force.
    pub config_version: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new().expect("metric names are constants, distinct and legal")
    }
}

impl Metrics {
    fn new() -> Result<Metrics, prometheus::Error> {
        let name = |n: &str| format!("bramblecrank_{n}");
        let vec = |n: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name(n), help), labels)
        };
        let counter = |n: &str, help: &str| IntCounter::new(name(n), help);
        let metrics = Metrics {
            registry: Registry::new(),
            requests: vec("requests_total", "Requests.", &["service", "outcome", "reason"])?,
            served_units: vec("served_units_total", "Units of service.", &["customer", "service"])?,
            retries: counter("retries_total", "Attempts repeated elsewhere.")?,
            crossed: counter("crossed_answers_total", "Answers of other requests, dropped.")?,
            cut_streams: counter("cut_streams_total", "Streams that broke.")?,
            resumed_streams: counter("resumed_streams_total", "Streams resumed after a break.")?,
            control_bytes: counter("control_bytes_total", "Control bytes sent to other hosts.")?,
            config_version: IntGauge::new(name("config_version"), "Version in force.")?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let registry = &self.registry;
        registry.register(Box::new(self.requests.clone()))?;
        registry.register(Box::new(self.served_units.clone()))?;
        registry.register(Box::new(self.retries.clone()))?;
        registry.register(Box::new(self.crossed.clone()))?;
        registry.register(Box::new(self.cut_streams.clone()))?;
        registry.register(Box::new(self.resumed_streams.clone()))?;
        registry.register(Box::new(self.control_bytes.clone()))?;
        registry.register(Box::new(self.config_version.clone()))
    }

    /// All metrics in the text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        // Writing into memory cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }
}
