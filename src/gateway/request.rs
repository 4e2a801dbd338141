//! One request from its arrival to its answer.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::request::Parts;
use axum::http::{HeaderValue, Request, Response, StatusCode, header};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use tokio::time::Instant;

use super::dialect::CallHead;
use super::endpoints::{ColdPart, Preference};
use super::exchange::{self, Attempt};
use super::refusal::Refusal;
use super::state::{Gateway, Presence};
use crate::eligibility::{Candidate, Eligibility, VersionRule, order_of};
use crate::placement::{self, Placed, PlacementRequest, Reservation};
use crate::region::AllowedRegions;
use crate::registry::Registration;
use crate::routing::{CustomerKeys, Route, Routing};

/// Endpoints to which one request is sent at most when none has taken it.
const MAX_SENDS: usize = 4;
/// Time left below which a request is not sent any more.
const LEAST_REMAINING: Duration = Duration::from_millis(10);

/// Where a request goes next.
pub(super) enum Place {
    /// To this endpoint.
    At(Box<Registration>, Option<Reservation>),
    /// No endpoint is known.
    Nowhere,
    /// It cannot be served in time.
    TooLate(placement::Refusal),
}

/// A request that has found its route and customer.
pub(super) struct Call {
    pub gateway: Arc<Gateway>,
    pub number: u64,
    pub route: Route,
    pub service: String,
    pub is_engine: bool,
    pub cold_per_second: Option<f64>,
    pub customer: Option<String>,
    /// Where it may be served.
    pub regions: AllowedRegions,
    pub head: CallHead,
    pub parts: Parts,
    pub body: Bytes,
    pub arrived: Instant,
    pub limit: Instant,
    pub _presence: Presence,
}

impl Call {
    /// Tokens of the prompt, which an engine has to read.
    pub fn prompt_tokens(&self) -> u32 {
        self.head.prompt_tokens
    }

    pub fn remaining(&self) -> Duration {
        self.limit.saturating_duration_since(Instant::now())
    }

    /// What decides between equal endpoints: the shared part of a prompt, else chance.
    fn preference(&self) -> Preference {
        match self.head.parts.first() {
            Some(part) => Preference::Affinity(part.id),
            None => Preference::Random(rand::rng().random()),
        }
    }

    /// Chooses an endpoint that was not tried before.
    pub fn choose(&self, tried: &[String]) -> Option<Registration> {
        let now = self.gateway.now();
        let cold = ColdPart {
            per_second: self.cold_per_second,
            routers: self.gateway.feeds.routers(),
            router: self.gateway.peers.me,
        };
        let eligibility = self.eligibility(tried);
        let is_near = |endpoint: &Registration| self.gateway.is_near(endpoint);
        self.gateway.registry.read(|registry| {
            let ready = registry.ready(&self.service);
            let ready: Vec<_> = ready.filter(|e| self.is_eligible(&eligibility, e)).collect();
            let preference = self.preference();
            self.gateway.with_endpoints(|endpoints| {
                endpoints.choose_near(now, &ready, is_near, tried, preference, cold).cloned()
            })
        })
    }

    /// Finds a place for the request: engines by the placer, all else by what
    /// this router has seen.
    pub async fn place(&self, tried: &[String]) -> Place {
        if self.is_engine {
            match self.gateway.placements.place(self.placement_request(tried)).await {
                Placed::At(reservation) => {
                    let id = &reservation.endpoint;
                    let endpoint = self.gateway.registry.read(|r| r.get_ready(id).cloned());
                    // The placer may know an older registration or routing than this router.
                    let eligibility = self.eligibility(tried);
                    if let Some(endpoint) = endpoint.filter(|e| self.is_eligible(&eligibility, e)) {
                        return Place::At(Box::new(endpoint), Some(reservation));
                    }
                }
                Placed::Refused(refusal) => return Place::TooLate(refusal),
                Placed::Alone => {}
            }
        }
        match self.choose(tried) {
            Some(endpoint) => Place::At(Box::new(endpoint), None),
            None => Place::Nowhere,
        }
    }

    /// Which endpoints may run it at all, after those that were tried.
    fn eligibility(&self, tried: &[String]) -> Eligibility {
        let regions = self.regions_by_now(!tried.is_empty());
        Eligibility { regions, version: VersionRule::Any }
    }

    /// Whether an endpoint may run it.
    fn is_eligible(&self, eligibility: &Eligibility, endpoint: &Registration) -> bool {
        let region = self.gateway.settings.host.regions.of(&endpoint.hall);
        let candidate =
            Candidate { region, version: &endpoint.version, order: order_of(&endpoint.id) };
        eligibility.allows(candidate)
    }

    fn placement_request(&self, tried: &[String]) -> PlacementRequest {
        let objective = Duration::from_millis(self.route.objective_ms);
        let left = objective.saturating_sub(self.arrived.elapsed());
        PlacementRequest {
            seq: 0,
            service: self.service.clone(),
            customer: self.customer.clone().unwrap_or_default(),
            parts: self.head.parts.iter().map(|part| (part.id, part.tokens)).collect(),
            prompt_tokens: self.head.prompt_tokens,
            output_tokens: self.head.output_tokens,
            objective_ms: left.as_millis() as u32,
            pause_ms: self.route.pause_objective_ms as u32,
            hall: self.gateway.settings.host.hall.clone(),
            eligibility: self.eligibility(tried),
            avoid: tried.to_vec(),
        }
    }

    /// Whether the budget allows to send it again.
    pub fn may_repeat(&self) -> bool {
        let now = self.gateway.now();
        self.gateway.with_budgets(|budgets| budgets.take(now, &self.service))
    }
}

/// Serves one request.
pub(super) async fn serve(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let stopping = gateway.stop.is_cancelled();
    let (parts, body) = request.into_parts();
    let head = gateway.dialect.read_call(&parts.headers);
    let id = head.id.clone();
    let mut response = match admit(&gateway, parts, head, body).await {
        Ok(call) => run(Arc::new(call)).await,
        Err(refusal) => {
            let refusal = confirm(&gateway, refusal);
            note_refusal(&gateway, id.as_deref(), refusal);
            refusal.into_response()
        }
    };
    // What comes next on this connection could not be handed over.
    if stopping || gateway.hands_over() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// That a route or key does not exist is final for a caller, so it is said only where
/// the routing is known to be the newest; elsewhere the caller may ask again.
fn confirm(gateway: &Gateway, refusal: Refusal) -> Refusal {
    match refusal {
        Refusal::NoRoute | Refusal::UnknownKey if !gateway.feeds.is_current() => {
            Refusal::RoutingUnconfirmed
        }
        refusal => refusal,
    }
}

/// Counts and logs a request that is refused before it has found its service.
fn note_refusal(gateway: &Gateway, id: Option<&str>, refusal: Refusal) {
    gateway.metrics.outcomes.with_label_values(&["", refusal.name()]).inc();
    log::info!(
        "gateway: request ({}) refused: {}, routing version {}, {} control hosts followed",
        id.unwrap_or_default(),
        refusal.name(),
        gateway.routing_version(),
        gateway.feeds.open_feeds(),
    );
}

async fn admit(
    gateway: &Arc<Gateway>,
    parts: Parts,
    head: CallHead,
    body: Incoming,
) -> Result<Call, Refusal> {
    let arrived = Instant::now();
    let presence = gateway.enter();
    if gateway.is_refusing() {
        return Err(Refusal::Stopping);
    }
    if gateway.with_overload(|overload| overload.refuses()) {
        return Err(Refusal::Overloaded);
    }
    let routing = gateway.documents.current().ok_or(Refusal::NoRouting)?;
    let route = find_route(&routing, &parts).ok_or(Refusal::NoRoute)?.clone();
    let customer = find_customer(&routing, &route, &head)?;
    let regions = match customer {
        Some(customer) => route.regions.and(&customer.regions),
        None => route.regions.clone(),
    };
    let customer = customer.map(|customer| customer.name.clone());
    let timeout = Duration::from_millis(route.timeout_ms);
    let deadline = head.deadline_ms.map_or(timeout, Duration::from_millis);
    let limit = arrived + deadline.min(timeout);
    let limits = &routing.table.limits;
    let body_limit = limit.min(arrived + Duration::from_millis(limits.header_timeout_ms));
    let body = read_body(body, limits.max_body_bytes, body_limit).await?;
    let service = pick_service(&route).ok_or(Refusal::NoEndpoint)?;
    let now = gateway.now();
    let routers = gateway.feeds.routers().max(gateway.rules.least_routers);
    gateway.with_budgets(|budgets| {
        budgets.set_routers(routers);
        budgets.request(now, &service);
    });
    let number = gateway.next_number();
    let pool = routing.service(&service);
    Ok(Call {
        is_engine: pool.is_some_and(|pool| pool.engine.is_some()),
        cold_per_second: pool.and_then(|pool| pool.cold_per_second),
        number,
        route,
        service,
        customer,
        regions,
        head,
        parts,
        body,
        arrived,
        limit,
        _presence: presence,
        gateway: gateway.clone(),
    })
}

fn find_route<'a>(routing: &'a Routing, parts: &Parts) -> Option<&'a Route> {
    let named = parts.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = parts.uri.host().or(named)?;
    let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
    routing.route(&host, parts.uri.path())
}

fn find_customer<'a>(
    routing: &'a Routing,
    route: &Route,
    head: &CallHead,
) -> Result<Option<&'a CustomerKeys>, Refusal> {
    if !routing.needs_keys() {
        return Ok(None);
    }
    let customer = head.key.as_deref().and_then(|key| routing.customer(key));
    match customer {
        Some(customer) => Ok(Some(customer)),
        None if route.public => Ok(None),
        None => Err(Refusal::UnknownKey),
    }
}

/// A target of the route, at random by weight.
fn pick_service(route: &Route) -> Option<String> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut at = rand::rng().random_range(0..total);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if at < weight {
            return Some(target.service.clone());
        }
        at -= weight;
    }
    None
}

async fn read_body(body: Incoming, most: usize, until: Instant) -> Result<Bytes, Refusal> {
    let collected = tokio::time::timeout_at(until, Limited::new(body, most).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) => Err(Refusal::BodyBroken),
        Err(_) => Err(Refusal::BodyTooSlow),
    }
}

/// How often a request was sent, and what is known of its runs.
#[derive(Default)]
struct Progress {
    tried: Vec<String>,
    runs: u32,
    may_have_run: bool,
    last_error: Option<Response<Body>>,
}

/// Sends a request to endpoints until it has its answer.
async fn run(call: Arc<Call>) -> Response<Body> {
    let mut progress = Progress::default();
    let mut ended = Refusal::NoEndpoint;
    while progress.tried.len() < MAX_SENDS {
        if call.remaining() < LEAST_REMAINING {
            ended = Refusal::TimedOutUnsent;
            break;
        }
        let (endpoint, reservation) = match call.place(&progress.tried).await {
            Place::At(endpoint, reservation) => (endpoint, reservation),
            Place::Nowhere => {
                if progress.tried.is_empty() {
                    ended = call.why_nowhere();
                }
                break;
            }
            Place::TooLate(refusal) => {
                log_too_late(&call, &refusal);
                ended = Refusal::TooLate { retry_after_ms: refusal.retry_after_ms };
                break;
            }
        };
        let again = !progress.tried.is_empty();
        progress.tried.push(endpoint.id.clone());
        match exchange::attempt(&call, &endpoint, reservation, again).await {
            Attempt::Answered(response) => return finish(&call, &endpoint.id, response),
            Attempt::NotSent => ended = Refusal::NotExecuted,
            Attempt::NotExecuted => {
                ended = Refusal::NotExecuted;
                if !call.may_repeat() {
                    break;
                }
            }
            Attempt::Error(response) => {
                progress.last_error = Some(response);
                if !may_run_again(&call, &mut progress) {
                    break;
                }
            }
            Attempt::Unknown => {
                ended = Refusal::AnswerLost;
                if !may_run_again(&call, &mut progress) {
                    break;
                }
            }
            Attempt::TimedOut => {
                ended = Refusal::TimedOut;
                if !may_run_again(&call, &mut progress) {
                    break;
                }
            }
        }
    }
    if let Some(response) = progress.last_error {
        let endpoint = progress.tried.last().cloned().unwrap_or_default();
        return finish(&call, &endpoint, response);
    }
    // A promise that it has not run may be given only when that is sure.
    if progress.may_have_run && ended.status() == StatusCode::SERVICE_UNAVAILABLE {
        ended = Refusal::AnswerLost;
    }
    let ms = call.arrived.elapsed().as_millis();
    log::info!(
        "gateway: request {} ({}) on {} ended {} after {ms} ms, tried {:?}",
        call.number,
        call.head.id.as_deref().unwrap_or_default(),
        call.route.name,
        ended.name(),
        progress.tried
    );
    count(&call, ended.name());
    ended.into_response()
}

fn log_too_late(call: &Call, refusal: &placement::Refusal) {
    let placement::Refusal { backlog_ms, allowed_ms, own_ms, share_percent, .. } = *refusal;
    log::info!(
        "gateway: request {} ({}) of {} cannot be in time: {backlog_ms} ms of prompts before it, \
         {allowed_ms} allowed, {own_ms} ms for its own, customer at {share_percent} % of its share",
        call.number,
        call.head.id.as_deref().unwrap_or_default(),
        call.customer.as_deref().unwrap_or_default(),
    );
}

fn may_run_again(call: &Call, progress: &mut Progress) -> bool {
    progress.runs += 1;
    progress.may_have_run = true;
    call.route.may_repeat() && progress.runs < call.route.attempts && call.may_repeat()
}

fn finish(call: &Call, endpoint: &str, response: Response<Body>) -> Response<Body> {
    log::debug!("gateway: request {} answered {} by {endpoint}", call.number, response.status());
    let name = if response.status().is_success() { "answered" } else { "endpoint_error" };
    count(call, name);
    let seconds = call.arrived.elapsed().as_secs_f64();
    call.gateway.metrics.first_answer.with_label_values(&[&call.service]).observe(seconds);
    response
}

fn count(call: &Call, outcome: &str) {
    call.gateway.metrics.outcomes.with_label_values(&[&call.service, outcome]).inc();
}
