//! Admission of an arriving request: its route, its customer and its body.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::http::header;
use axum::http::request::Parts;
use hyper::body::Incoming;
use rand::RngExt;

use super::header_names::RequestHead;
use super::refusal::Refusal;
use super::request::Call;
use super::resumption::resolve_stream;
use super::state::Gateway;
use crate::clock::BootInstant;
use crate::quarantine::{Attribute, Fingerprint, RequestProfile};
use crate::request_body::read_body;
use crate::rollout::ReleaseChoice;
use crate::routing::{CustomerKeys, Route, Routing};

/// Reads the complete request and resolves its route, customer and service.
pub(super) async fn admit(
    gateway: &Arc<Gateway>,
    parts: Parts,
    head: RequestHead,
    body: Incoming,
) -> Result<Call, Refusal> {
    let arrived = BootInstant::now();
    let in_flight = gateway.track_request();
    if gateway.planned_stop.is_refusing() {
        return Err(Refusal::Stopping);
    }
    if gateway.with_overload(|overload| overload.refuses()) {
        return Err(Refusal::Overloaded);
    }
    let routing = gateway.routing.current().ok_or(Refusal::NoRouting)?;
    let route = find_route(&routing, &parts).ok_or(Refusal::NoRoute)?.clone();
    let customer = find_customer(&routing, &route, &head)?;
    let regions = match customer {
        Some(customer) => route.regions.and(&customer.regions),
        None => route.regions.clone(),
    };
    let customer = customer.map(|customer| customer.name.clone());
    let timeout = Duration::from_millis(route.timeout_ms);
    let caller_timeout = head.deadline_ms.map_or(timeout, Duration::from_millis);
    let deadline = arrived + caller_timeout.min(timeout);
    let limits = &routing.table.limits;
    let body_limit = deadline.min(arrived + Duration::from_millis(limits.header_timeout_ms));
    let held = gateway.request_memory.hold(customer.as_deref().unwrap_or_default());
    let held = held.ok_or(Refusal::NoMemory)?;
    let body = read_body(body, limits.max_body_bytes, body_limit.remaining(), held).await?;
    let stream = resolve_stream(gateway, &route, customer.as_deref(), &head).await?;
    if !gateway.planned_stop.may_serve_until(deadline) {
        return Err(Refusal::Stopping);
    }
    let resumed = stream.as_ref().and_then(|stream| stream.resumed.as_ref());
    let service = match resumed {
        Some(resumed) => resumed.record.service.to_string(),
        None => pick_service(&route).ok_or(Refusal::NoEndpoint)?,
    };
    let fingerprint = fingerprint_of(customer.as_deref(), &parts, &body);
    let profile = RequestProfile::new(fingerprint, &service, attributes_of(&head));
    let mut release_choice = ReleaseChoice::default();
    if let Some(resumed) = resumed {
        release_choice.bind(&resumed.record.version);
    }
    let now = gateway.now();
    let routers = gateway.feeds.router_count().max(gateway.rules.least_routers);
    gateway.with_budgets(|budgets| {
        budgets.set_routers(routers);
        budgets.record_request(now, &service);
    });
    let number = gateway.next_number();
    let config = routing.service(&service);
    Ok(Call {
        is_engine: config.is_some_and(|config| config.engine.is_some()),
        cold_per_second: config.and_then(|config| config.cold_per_second),
        number,
        route,
        service,
        customer,
        regions,
        routing_version: routing.table.version,
        head,
        parts,
        body,
        profile,
        arrived,
        deadline,
        release_choice: Mutex::new(release_choice),
        stream,
        is_in_doubt: AtomicBool::new(false),
        _in_flight: in_flight,
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
    head: &RequestHead,
) -> Result<Option<&'a CustomerKeys>, Refusal> {
    if !routing.needs_keys() {
        return Ok(None);
    }
    let customer = head.key.as_deref().and_then(|key| routing.customer_by_key(key));
    match customer {
        Some(customer) => Ok(Some(customer)),
        None if route.public => Ok(None),
        None => Err(Refusal::UnknownKey),
    }
}

fn fingerprint_of(customer: Option<&str>, parts: &Parts, body: &[u8]) -> Fingerprint {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Fingerprint::of(customer.unwrap_or_default(), &[path], body)
}

fn attributes_of(head: &RequestHead) -> impl Iterator<Item = Attribute> {
    let parts = head.parts.iter().map(|part| Attribute::Part(part.content_id));
    head.model.map(Attribute::Model).into_iter().chain(parts)
}

/// A target of the route, chosen at random by weight.
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
