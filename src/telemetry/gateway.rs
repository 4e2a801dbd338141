//! Metrics of a router that serves by routes.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Counters and histograms of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests by service and outcome.
    pub outcomes: IntCounterVec,
    /// Requests sent to one more endpoint, by service.
    pub retries: IntCounterVec,
    /// Requests whose endpoint closed the connection before the complete answer, by service.
    pub lost_answers: IntCounterVec,
    /// Answers to another request than the one sent, by service.
    pub surplus_answers: IntCounterVec,
    /// Heads of answers given up, by service and the limit that they exceeded.
    pub exceeded_limits: IntCounterVec,
    /// Bytes of incomplete answers that are held.
    pub held_bytes: IntGauge,
    /// Bytes of requests that are held.
    pub held_request_bytes: IntGauge,
    /// Bodies of answers by service, framing and ending.
    pub body_ends: IntCounterVec,
    /// Notices that answers carry about their endpoint, by service and notice.
    pub notices: IntCounterVec,
    /// Checks of restarted endpoints, by service and outcome.
    pub start_checks: IntCounterVec,
    /// Streams resumed on another endpoint, by service.
    pub resumed: IntCounterVec,
    /// Streams on resumable routes, by service and whether they begin or are resumed by their
    /// caller.
    pub resumable_streams: IntCounterVec,
    /// Searches for the record of a stream that a caller resumes, by outcome.
    pub stream_searches: IntCounterVec,
    /// Seconds until another router has the record of a stream.
    pub stream_store: Histogram,
    /// Seconds until it is known whether a stream may go on at an endpoint.
    pub stream_confirm: Histogram,
    /// Number of records of streams that are kept here.
    pub stream_records: IntGauge,
    /// Number of routers in the directory.
    pub known_routers: IntGauge,
    /// Requests during a rollout, by service, release and outcome.
    pub rollout_requests: IntCounterVec,
    /// Requests sent to an endpoint of another region, by service.
    pub sent_to_other_region: IntCounterVec,
    /// Callers' connections that other routers were asked to take over, by their answer.
    pub handed_over: IntCounterVec,
    /// Seconds from arrival to the head of the answer, by service.
    pub first_answer: HistogramVec,
    /// Number of requests whose answers are not yet written to their callers in full.
    pub open_answers: IntGauge,
    /// The routing version in force.
    pub routing_version: IntGauge,
    /// Number of control hosts whose feeds are open.
    pub open_feeds: IntGauge,
    /// Milliseconds since the last message of the feed that has been silent longest.
    pub feed_silence_ms: IntGauge,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new().expect("metric names are constants, distinct and legal")
    }
}

impl GatewayMetrics {
    fn new() -> Result<GatewayMetrics, prometheus::Error> {
        let name = |n: &str| format!("bramblecrank_gateway_{n}");
        let counter = |n: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name(n), help), labels)
        };
        let seconds = HistogramOpts::new(name("answer_seconds"), "Arrival to head of answer.");
        let metrics = GatewayMetrics {
            registry: Registry::new(),
            outcomes: counter("requests_total", "Requests.", &["service", "outcome"])?,
            retries: counter("retries_total", "Requests sent again.", &["service"])?,
            lost_answers: counter("lost_answers_total", "Answers that broke off.", &["service"])?,
            surplus_answers: counter(
                "surplus_answers_total",
                "Answers to another request than the one sent.",
                &["service"],
            )?,
            exceeded_limits: counter(
                "exceeded_limits_total",
                "Heads of answers given up, by the limit that they exceeded.",
                &["service", "limit"],
            )?,
            held_bytes: IntGauge::new(name("held_bytes"), "Bytes held of incomplete answers.")?,
            held_request_bytes: IntGauge::new(
                name("held_request_bytes"),
                "Bytes held of requests.",
            )?,
            body_ends: counter(
                "body_ends_total",
                "Answers of endpoints, by how the end of their body was marked and how it came.",
                &["service", "framing", "ending"],
            )?,
            notices: counter(
                "notices_total",
                "Answers that say that their endpoint leaves or wants rest.",
                &["service", "notice"],
            )?,
            start_checks: counter(
                "start_checks_total",
                "Endpoints that started again and were asked whether they take work.",
                &["service", "outcome"],
            )?,
            resumed: counter("resumed_total", "Streams taken up elsewhere.", &["service"])?,
            resumable_streams: counter(
                "resumable_streams_total",
                "Streams that may be resumed, begun or resumed by their callers.",
                &["service", "kind"],
            )?,
            stream_searches: counter(
                "stream_searches_total",
                "Searches for the version that began a stream.",
                &["outcome"],
            )?,
            stream_store: Histogram::with_opts(HistogramOpts::new(
                name("stream_store_seconds"),
                "Time until another router keeps the record of a stream.",
            ))?,
            stream_confirm: Histogram::with_opts(HistogramOpts::new(
                name("stream_confirm_seconds"),
                "Time until it is known whether a stream may go on at an endpoint.",
            ))?,
            stream_records: IntGauge::new(name("stream_records"), "Records of streams kept.")?,
            known_routers: IntGauge::new(name("known_routers"), "Routers in the directory.")?,
            rollout_requests: counter(
                "rollout_requests_total",
                "Requests by release during a roll-out.",
                &["service", "release", "outcome"],
            )?,
            sent_to_other_region: counter(
                "sent_to_other_region_total",
                "Requests sent to another region.",
                &["service"],
            )?,
            handed_over: counter("handed_over_total", "Connections handed over.", &["answer"])?,
            first_answer: HistogramVec::new(seconds, &["service"])?,
            open_answers: IntGauge::new(
                name("open_answers"),
                "Requests whose answers are not yet written in full.",
            )?,
            routing_version: IntGauge::new(name("routing_version"), "Version in force.")?,
            open_feeds: IntGauge::new(name("open_feeds"), "Control hosts that are followed.")?,
            feed_silence_ms: IntGauge::new(name("feed_silence_ms"), "Longest silence of a feed.")?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.outcomes.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.lost_answers.clone()))?;
        registry.register(Box::new(metrics.surplus_answers.clone()))?;
        registry.register(Box::new(metrics.exceeded_limits.clone()))?;
        registry.register(Box::new(metrics.held_bytes.clone()))?;
        registry.register(Box::new(metrics.held_request_bytes.clone()))?;
        registry.register(Box::new(metrics.body_ends.clone()))?;
        registry.register(Box::new(metrics.notices.clone()))?;
        registry.register(Box::new(metrics.start_checks.clone()))?;
        registry.register(Box::new(metrics.resumed.clone()))?;
        registry.register(Box::new(metrics.resumable_streams.clone()))?;
        registry.register(Box::new(metrics.stream_searches.clone()))?;
        registry.register(Box::new(metrics.stream_store.clone()))?;
        registry.register(Box::new(metrics.stream_confirm.clone()))?;
        registry.register(Box::new(metrics.stream_records.clone()))?;
        registry.register(Box::new(metrics.known_routers.clone()))?;
        registry.register(Box::new(metrics.rollout_requests.clone()))?;
        registry.register(Box::new(metrics.sent_to_other_region.clone()))?;
        registry.register(Box::new(metrics.handed_over.clone()))?;
        registry.register(Box::new(metrics.first_answer.clone()))?;
        registry.register(Box::new(metrics.open_answers.clone()))?;
        registry.register(Box::new(metrics.routing_version.clone()))?;
        registry.register(Box::new(metrics.open_feeds.clone()))?;
        registry.register(Box::new(metrics.feed_silence_ms.clone()))?;
        Ok(metrics)
    }

    /// All metrics in the text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        // Writing into memory cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Integer values as gauges, in the text format.
pub fn render_gauges(prefix: &str, values: &[(&str, u64)]) -> String {
    let registry = Registry::new();
    for (name, value) in values {
        let gauge = IntGauge::new(format!("{prefix}_{name}"), name.replace('_', " "));
        // Names are constants, distinct and legal.
        let gauge = gauge.expect("a legal name");
        gauge.set(i64::try_from(*value).unwrap_or(i64::MAX));
        registry.register(Box::new(gauge)).expect("a distinct name");
    }
    let mut text = Vec::new();
    // Writing into memory cannot fail.
    let _ = TextEncoder::new().encode(&registry.gather(), &mut text);
    String::from_utf8_lossy(&text).into_owned()
}
