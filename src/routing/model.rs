//! The routing document and its validation.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::config::Refusal;
use crate::region::AllowedRegions;

/// How often a request of a route may run, and how it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Repeatable,
    /// A request runs at most once.
    RunOnce,
    /// The answer is a stream of events.
    Streaming,
}

/// A service that receives a fraction of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its fraction of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A route: which requests it matches, and how they are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host name of the requests, in lower case.
    pub host: String,
    /// The path prefix of the requests; begins and ends with a slash.
    pub prefix: String,
    /// How often its requests may run, and whether answers are streams.
    pub kind: RouteKind,
    /// Milliseconds after its arrival at which a request gets its final answer at the latest.
    pub timeout_ms: u64,
    /// Latency objective: milliseconds within which an answer, or its first event, is in time.
    pub objective_ms: u64,
    /// Longest pause between events that is in time, in milliseconds; 0 for no objective.
    pub pause_objective_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// The services that its requests go to.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether callers may omit the key.
    pub public: bool,
    /// Whether an interrupted stream may be resumed on another endpoint.
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

/// Properties of a model engine that are assumed until they are measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Capacity of its memory, in tokens.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Milliseconds to copy the memory of one token from another engine; none if engines
    /// cannot copy it.
    pub copy_ms_per_token: Option<f64>,
}

/// A service: a pool of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePool {
    /// The service's name.
    pub name: String,
    /// Path at which an endpoint reports whether it accepts requests, without running a request.
    pub health_path: String,
    /// Connections that one endpoint accepts from all routers together.
    pub max_connections: u32,
    /// Set where the endpoints are model engines.
    pub engine: Option<Engine>,
    /// Requests per second that a cold endpoint has capacity for, from all routers together;
    /// none if it has the capacity of a warm one.
    pub cold_per_second: Option<f64>,
}

/// A customer and the keys that identify its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerKeys {
    /// The customer's name.
    pub name: String,
    /// Its callers' keys.
    pub keys: Vec<String>,
    /// Priority that overrides the route's, if the customer has one.
    pub priority: Option<u32>,
    /// Where its requests may be served, cached and stored.
    pub regions: AllowedRegions,
}

/// Who may call routes that are not public.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Callers {
    /// Anyone, without a key.
    #[default]
    Anyone,
    /// Those with a key of one of these customers; nobody if there are none.
    Customers(Vec<CustomerKeys>),
}

impl Callers {
    /// The customers that are named.
    pub fn customers(&self) -> &[CustomerKeys] {
        match self {
            Callers::Anyone => &[],
            Callers::Customers(customers) => customers,
        }
    }
}

/// Limits on requests of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Milliseconds within which the body of a request must be received.
    pub header_timeout_ms: u64,
    /// Milliseconds after which an idle connection is closed.
    pub idle_timeout_ms: u64,
    /// Tokens per second that all engines deliver together; output tokens count twice.
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

/// Configuration that routers base their decisions on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// Version set by the operators; the highest takes precedence.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes refer to.
    pub services: Vec<ServicePool>,
    /// Who may call.
    pub callers: Callers,
    /// Limits for callers.
    pub limits: Limits,
}

/// A routing table and the text that operators submitted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The table parsed from the text.
    pub table: RoutingTable,
    /// The text, returned to operators byte for byte.
    pub source: Vec<u8>,
}

fn refuse(field: String, problem: &str, remedy: &str) -> Refusal {
    Refusal { field, problem: problem.to_string(), remedy: remedy.to_string() }
}

impl RoutingTable {
    /// Validates what parsing cannot: names that must exist, prefixes and keys that must be
    /// unique, numbers that must not be zero.
    pub fn check(&self) -> Result<(), Refusal> {
        let services: HashSet<_> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut prefixes = HashSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !prefixes.insert((&route.host, &route.prefix)) {
                let problem = "shares host and prefix with another route";
                return Err(refuse(field(route, "prefix"), problem, "give each route its own"));
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), Refusal> {
        let mut owners = std::collections::HashMap::new();
        for customer in self.callers.customers() {
            for key in &customer.keys {
                let owner = owners.insert(key, &customer.name);
                if owner.is_some_and(|other| *other != customer.name) {
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
