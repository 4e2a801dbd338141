//! Streams on routes that allow resuming: recording where they begin, and keeping those that
//! callers resume to the service and version that began them.

use std::collections::HashMap;
use std::time::Duration;

use super::connections::{Connection, Target};
use super::destination::Destination;
use super::header_names::RequestHead;
use super::records::Search;
use super::refusal::Refusal;
use super::request::Call;
use super::state::Gateway;
use crate::clock::BootInstant;
use crate::dispatch::Millis;
use crate::registry::Registration;
use crate::resumption::{CONFIRM_MS, KnownStream, StreamKey, StreamRecord, choose_unconfirmed};
use crate::routing::{Route, RouteKind};

/// Maximum number of endpoints that are avoided because their software is not known yet, so that
/// requests to the placer stay small.
const MAX_UNKNOWN_AVOIDED: usize = 64;

/// The stream that a request begins or resumes.
#[derive(Clone, Debug)]
pub(super) struct CallStream {
    /// Identifies it by the attempt that began it; `None` if the caller cannot name that later.
    pub key: Option<StreamKey>,
    /// What was known of it at `resolved_at`, if the caller resumes it.
    pub resumed: Option<KnownStream>,
    /// When it was resolved.
    pub resolved_at: BootInstant,
}

/// Endpoints that may run another version than they are registered with.
#[derive(Default)]
struct Suspects {
    /// A connection to these broke, at this time.
    broken: Vec<(String, Millis)>,
    /// These are only remembered by control hosts, or replace their software in place and have
    /// done so recently, or while no control host was followed.
    unknown: Vec<String>,
}

impl Suspects {
    fn is_empty(&self) -> bool {
        self.broken.is_empty() && self.unknown.is_empty()
    }

    fn ids(&self) -> impl Iterator<Item = &String> {
        self.broken.iter().map(|(endpoint, _)| endpoint).chain(&self.unknown)
    }
}

/// Resolves the stream that a request begins or resumes; `None` if its route does not allow
/// resuming.
pub(super) async fn resolve_stream(
    gateway: &Gateway,
    route: &Route,
    customer: Option<&str>,
    head: &RequestHead,
) -> Result<Option<CallStream>, Refusal> {
    if route.kind != RouteKind::Streaming || !route.resumable {
        return Ok(None);
    }
    if head.resumes.is_none() && head.last_event.is_none() {
        let key = head.id.as_ref().map(|id| StreamKey::of(customer, id));
        return Ok(Some(CallStream { key, resumed: None, resolved_at: BootInstant::now() }));
    }
    let Some(first_attempt) = &head.resumes else {
        gateway.count_search("unnamed");
        return Err(Refusal::UnknownStream);
    };
    let key = StreamKey::of(customer, first_attempt);
    let stream = match gateway.records.find(key).await {
        Search::Found(stream) => stream,
        Search::NotFound { asked, answered } => {
            log::info!(
                "gateway: no record of the stream of {first_attempt}, {answered} of {asked} \
                 routers answered"
            );
            gateway.count_search("not_found");
            return Err(Refusal::UnknownStream);
        }
    };
    if !gateway.is_knowable(&stream) {
        let StreamRecord { endpoint, version, certainty, .. } = &stream.record;
        log::info!(
            "gateway: the version that began the stream of {first_attempt} is in doubt: \
             {certainty:?} to be {version} at {endpoint}, {} ms ago",
            stream.age_ms
        );
        gateway.count_search("doubtful");
        return Err(Refusal::UnknownStream);
    }
    if route.targets.iter().all(|target| *target.service != *stream.record.service) {
        gateway.count_search("service_gone");
        return Err(Refusal::VersionNotServed);
    }
    gateway.count_search("found");
    Ok(Some(CallStream { key: Some(key), resumed: Some(stream), resolved_at: BootInstant::now() }))
}

impl Gateway {
    fn count_search(&self, outcome: &str) {
        self.metrics.stream_searches.with_label_values(&[outcome]).inc();
    }
}

impl Call {
    /// Whether it resumes a stream.
    pub(super) fn resumes_stream(&self) -> bool {
        self.stream.as_ref().is_some_and(|stream| stream.resumed.is_some())
    }

    /// What is known now of the stream that it resumes, if it resumes one.
    pub(super) fn resumed_stream(&self) -> Option<KnownStream> {
        let stream = self.stream.as_ref()?;
        let elapsed_ms = stream.resolved_at.elapsed().as_millis() as Millis;
        Some(stream.resumed.as_ref()?.aged(elapsed_ms))
    }

    /// Whether an endpoint of the version that began the stream accepts requests; true for a
    /// request that resumes no stream.
    pub(super) fn version_is_served(&self) -> bool {
        let Some(stream) = self.resumed_stream() else { return true };
        let serves = |endpoint: &Registration| *endpoint.version == *stream.record.version;
        self.gateway.registry.read(|registry| registry.ready(&self.service).any(serves))
    }

    /// Chooses the endpoint for a stream that is bound to a version: if possible one whose software
    /// is known already, and none that may run another version as long as there are others.
    pub(super) async fn choose_destination_at_version(&self, tried: &[String]) -> Destination {
        let suspects = self.suspects();
        let avoid_unless = |used: &str| -> Vec<String> {
            let avoided = suspects.ids().filter(|endpoint| *endpoint != used);
            tried.iter().chain(avoided).cloned().collect()
        };
        let mut avoided = avoid_unless("");
        let unknown = self.endpoints_of_unknown_software(&avoided);
        if !unknown.is_empty() {
            avoided.extend(unknown);
            let destination = self.choose_destination(&avoided).await;
            if matches!(destination, Destination::Endpoint(..)) {
                return destination;
            }
        }
        if suspects.is_empty() {
            return self.choose_destination(tried).await;
        }
        match self.choose_destination(&avoid_unless("")).await {
            Destination::NoEndpoint => {}
            destination => return destination,
        }
        let was_tried = |endpoint: &str| tried.iter().any(|tried| tried == endpoint);
        let hears_versions = self.gateway.follows_control() || self.gateway.is_catching_up();
        match choose_unconfirmed(&suspects.broken, was_tried) {
            // Without control hosts nobody would tell whether it has replaced its software.
            Some(endpoint) if hears_versions => {
                self.choose_destination(&avoid_unless(endpoint)).await
            }
            None if hears_versions => self.choose_destination(tried).await,
            _ => Destination::NoEndpoint,
        }
    }

    /// Waits until it is known whether a stream may go on at an endpoint that has begun to answer.
    pub(super) async fn may_go_on(
        &self,
        stream: &KnownStream,
        endpoint: &Registration,
        connection: &Connection,
    ) -> bool {
        let started = BootInstant::now();
        let remaining = || self.remaining();
        let confirmed = self.gateway.confirm_version(stream, endpoint, connection, remaining).await;
        self.gateway.metrics.stream_confirm.observe(started.elapsed().as_secs_f64());
        if let Err(error) = &confirmed {
            log::info!(
                "gateway: request {} does not go on at {}, version {}: {error}",
                self.number,
                endpoint.id,
                endpoint.version
            );
        }
        confirmed.is_ok()
    }

    /// The endpoints that may run it, but to which no connection has been open for long enough to
    /// know their software. Empty if there are no others, or too many to avoid.
    fn endpoints_of_unknown_software(&self, avoided: &[String]) -> Vec<String> {
        let Some(eligibility) = self.eligibility() else { return Vec::new() };
        let known = self.gateway.connections.open_for(Duration::from_millis(CONFIRM_MS));
        if known.is_empty() {
            return Vec::new();
        }
        let mut has_others = false;
        let mut unknown = Vec::new();
        self.gateway.registry.read(|registry| {
            for endpoint in registry.ready(&self.service) {
                if !self.is_eligible(&eligibility, endpoint) || avoided.contains(&endpoint.id) {
                    continue;
                }
                let started_at_ms = endpoint.started_at_ms;
                let target = endpoint.address.map(|address| Target { address, started_at_ms });
                if target.is_some_and(|target| known.contains(&target)) {
                    has_others = true;
                } else {
                    unknown.push(endpoint.id.clone());
                }
                if unknown.len() > MAX_UNKNOWN_AVOIDED {
                    break;
                }
            }
        });
        match has_others && unknown.len() <= MAX_UNKNOWN_AVOIDED {
            true => unknown,
            false => Vec::new(),
        }
    }

    /// The endpoints that may run it, and may run another version than they are registered with.
    fn suspects(&self) -> Suspects {
        let Some(eligibility) = self.eligibility() else { return Suspects::default() };
        self.gateway.check_feeds();
        let now = self.gateway.now();
        let (mut broken, was_disconnected) = self.gateway.with_losses(|losses| {
            let mut broken: HashMap<String, Millis> =
                losses.unconfirmed(now).map(|(id, at)| (id.to_string(), at)).collect();
            // Another router may have told of a loss with the record of the stream.
            if let Some(loss) = self.resumed_stream().and_then(|stream| stream.loss) {
                let lost_at = now.saturating_sub(loss.age_ms);
                if now < losses.known_from(lost_at) {
                    broken.entry(loss.endpoint.into()).or_insert(lost_at);
                }
            }
            (broken, !losses.has_followed_since(now.saturating_sub(CONFIRM_MS)))
        });
        let is_recent = |since: Millis| was_disconnected || now < since + CONFIRM_MS;
        let changed: Vec<String> = self.gateway.with_versions(|versions| {
            let recent = versions.changed().filter(|(_, since)| is_recent(*since));
            recent.map(|(endpoint, _)| endpoint.to_string()).collect()
        });
        self.gateway.registry.read(|registry| {
            let may_run_it = |id: &String| {
                let endpoint = registry.get_ready(id).filter(|e| e.service == self.service);
                endpoint.is_some_and(|endpoint| self.is_eligible(&eligibility, endpoint))
            };
            let remembered = registry.remembered().map(|endpoint| endpoint.id.clone());
            let unknown: Vec<_> = remembered.chain(changed).filter(may_run_it).collect();
            broken.retain(|endpoint, _| !unknown.contains(endpoint) && may_run_it(endpoint));
            Suspects { broken: broken.into_iter().collect(), unknown }
        })
    }
}
