//! The routing document and its validation.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::config::Refusal;
use crate::region::AllowedRegions;

/// What may be done twice on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Repeatable,
    /// A request runs at most once.
    RunOnce,
    /// The answer is a stream of events.
    Streaming,
}

/// A service to which a route sends part of its requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its part of the requests, relative to the other targets of the route.
    pub weight: u32,
}

/// Which requests go where, and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host name that callers ask for, in lower case.
    pub host: String,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Milliseconds after which a request gets its final answer.
    pub timeout_ms: u64,
    /// Milliseconds within which an answer (or its first event) is in time.
    pub objective_ms: u64,
    /// Longest pause between events that is in time, in milliseconds; 0 for none.
    pub pause_objective_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// Most endpoints to which one request may be sent.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether a broken stream may be taken up at another endpoint.
    pub resumable: bool,
    /// Where its requests may be served, cached and stored.
    pub regions: AllowedRegions,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::RunOnce => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// What is known of a model engine before anything is measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Milliseconds to copy the memory of one token from another engine; none
    /// where engines cannot.
    pub copy_ms_per_token: Option<f64>,
}

/// Endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePool {
    /// The service's name.
    pub name: String,
    /// Where an endpoint answers whether it takes work, without running a request.
    pub health_path: String,
    /// Connections that one endpoint accepts from all routers together.
    pub max_connections: u32,
    /// Set where the endpoints are model engines.
    pub engine: Option<Engine>,
    /// Requests a second that a cold endpoint bears from all routers together; none
    /// where it bears as many as a warm one.
    pub cold_per_second: Option<f64>,
}

/// A customer and the keys by which its callers are known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerKeys {
    /// The customer's name.
    pub name: String,
    /// Its callers' keys.
    pub keys: Vec<String>,
    /// Rank that goes before the route's, if the customer has one.
    pub priority: Option<u32>,
    /// Where its requests may be served, cached and stored.
    pub regions: AllowedRegions,
}

/// What callers may send and how long they may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Milliseconds in which the body of a request must have come.
    pub header_timeout_ms: u64,
    /// Milliseconds for which an unused connection is kept.
    pub idle_timeout_ms: u64,
    /// Tokens a second that all engines give together; output counts twice.
    pub tokens_per_second: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
            tokens_per_second: 0,
        }
    }
}

/// Everything that routers need for their decisions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// The operators' version; the highest prevails.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<ServicePool>,
    /// Customers; without any, callers need no key.
    pub customers: Vec<CustomerKeys>,
    /// Limits for callers.
    pub limits: Limits,
}

/// A routing table and the text that operators sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// What the text says.
    pub table: RoutingTable,
    /// The text, given back to operators byte for byte.
    pub source: Vec<u8>,
}

fn refuse(field: String, problem: &str, remedy: &str) -> Refusal {
    Refusal { field, problem: problem.to_string(), remedy: remedy.to_string() }
}

impl RoutingTable {
    /// Checks what parsing cannot: names that must exist, places and keys that
    /// must be unique, numbers that must not be zero.
    pub fn check(&self) -> Result<(), Refusal> {
        let services: HashSet<_> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut places = HashSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !places.insert((&route.host, &route.prefix)) {
                let problem = "shares host and prefix with another route";
                return Err(refuse(field(route, "prefix"), problem, "give each route its own"));
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), Refusal> {
        let mut holders = std::collections::HashMap::new();
        for customer in &self.customers {
            for key in &customer.keys {
                let holder = holders.insert(key, &customer.name);
                if holder.is_some_and(|other| *other != customer.name) {
                    let field = format!("customers.{}.keys", customer.name);
                    return Err(refuse(field, "holds another customer's key", "remove one"));
                }
            }
        }
        Ok(())
    }
}

fn field(route: &Route, name: &str) -> String {
    format!("routes.{}.{name}", route.name)
}

fn check_route(route: &Route, services: &HashSet<&str>) -> Result<(), Refusal> {
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let remedy = "begin and end it with '/'";
        return Err(refuse(field(route, "prefix"), "is not a whole path", remedy));
    }
    if route.timeout_ms == 0 {
        return Err(refuse(field(route, "timeout_ms"), "is zero", "give milliseconds"));
    }
    for target in &route.targets {
        if !services.contains(target.service.as_str()) {
            let problem = format!("names the unknown service '{}'", target.service);
            return Err(refuse(field(route, "targets"), &problem, "declare the service"));
        }
    }
    let weights: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    if weights == 0 {
        return Err(refuse(field(route, "targets"), "have no weight", "give one of them weight"));
    }
    Ok(())
}
