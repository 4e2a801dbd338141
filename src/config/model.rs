//! The types of the agreed configuration.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Number of a customer, assigned when it is first declared and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CustomerId(pub u32);

/// Number of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceId(pub u16);

/// Number of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointId(pub u32);

/// Number of a data hall. At most [`MAX_HALLS`] exist, so that a set fits [`HallSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HallId(pub u8);

/// Maximum number of data halls that one configuration may declare.
pub const MAX_HALLS: usize = 32;

/// A set of data halls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallSet(pub u32);

impl HallSet {
    /// Every data hall.
    pub const ALL: HallSet = HallSet(u32::MAX);

    /// The set with `hall` added.
    pub fn with(self, hall: HallId) -> HallSet {
        HallSet(self.0 | 1 << hall.0)
    }

    /// Whether `hall` is in the set.
    pub fn contains(self, hall: HallId) -> bool {
        self.0 & (1 << hall.0) != 0
    }
}

/// What kind of endpoint serves a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A model engine that serves chat completions; cost is counted in tokens.
    #[default]
    Model,
    /// An application service; cost is counted in milliseconds of a slot.
    Plain,
}

/// Calls of a service that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunOnceRule {
    /// The HTTP method, for example `POST`.
    pub method: String,
    /// The path prefix below the service, for example `/holds`.
    pub path: String,
}

/// A service: a group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name: the `model` of a chat completion, or the first path segment.
    pub name: String,
    /// What serves it.
    #[serde(default)]
    pub kind: ServiceKind,
    /// Units charged for each prompt token.
    #[serde(default = "default_input_weight")]
    pub input_weight: u32,
    /// Units charged for each generated token.
    #[serde(default = "default_output_weight")]
    pub output_weight: u32,
    /// Grants allowed beyond an endpoint's slots, to keep the slots full during a round trip.
    #[serde(default = "default_ahead")]
    pub ahead: u32,
    /// Milliseconds a request may take when the caller names no deadline.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
    /// Calls that may not be repeated.
    #[serde(default)]
    pub run_once: Vec<RunOnceRule>,
}

impl Service {
    /// Whether a call may run at most once.
    pub fn runs_once(&self, method: &str, path: &str) -> bool {
        self.run_once
            .iter()
            .any(|r| r.method.eq_ignore_ascii_case(method) && path.starts_with(&r.path))
    }
}

/// A customer and what it may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Its name, sent by callers in the customer header.
    pub name: String,
    /// Its share relative to other customers; at least 1.
    #[serde(default = "default_share")]
    pub share: u32,
    /// The services it may reach; empty means all.
    #[serde(default)]
    pub services: Vec<String>,
    /// Maximum number of requests it may have waiting for one service across the fleet.
    #[serde(default = "default_max_waiting")]
    pub max_waiting: u32,
    /// Maximum number of body bytes it may have waiting at one router.
    #[serde(default = "default_max_bytes")]
    pub max_bytes: u64,
}

impl Customer {
    /// Whether it may use `service`.
    pub fn may_use(&self, service: &str) -> bool {
        self.services.is_empty() || self.services.iter().any(|s| s == service)
    }
}

/// One endpoint of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Its name, as in the platform's list.
    pub name: String,
    /// The service it serves.
    pub service: String,
    /// The data hall that it is in.
    pub hall: String,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}

fn default_input_weight() -> u32 {
    1
}
fn default_output_weight() -> u32 {
    2
}
fn default_ahead() -> u32 {
    1
}
fn default_deadline_ms() -> u32 {
    120_000
}
fn default_share() -> u32 {
    1
}
fn default_max_waiting() -> u32 {
    256
}
fn default_max_bytes() -> u64 {
    64 << 20
}

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Declares a data hall.
    AddHall(String),
    /// Declares or replaces a service.
    PutService(Service),
    /// Declares or replaces a customer.
    PutCustomer(Customer),
    /// Declares or replaces an endpoint.
    PutEndpoint(Endpoint),
    /// Removes a customer by name.
    RemoveCustomer(String),
    /// Removes an endpoint by name.
    RemoveEndpoint(String),
    /// Marks an endpoint as leaving or as available again.
    SetLeaving {
        /// The endpoint's name.
        endpoint: String,
        /// Whether it is leaving.
        leaving: bool,
    },
}

/// The changes from one version to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The resulting version.
    pub version: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// The agreed configuration at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Number of the version, one higher for each accepted set of changes.
    pub version: u64,
    /// Data halls by number.
    pub halls: BTreeMap<HallId, String>,
    /// Services by number.
    pub services: BTreeMap<ServiceId, Service>,
    /// Customers by number.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Endpoints by number.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Customer numbers by name.
    pub customer_ids: BTreeMap<String, CustomerId>,
    /// Endpoint numbers by name.
    pub endpoint_ids: BTreeMap<String, EndpointId>,
    pub(super) next_customer: u32,
    pub(super) next_endpoint: u32,
}

impl Config {
    /// The number of the service called `name`.
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        let found = self.services.iter().find(|(_, s)| s.name == name);
        found.map(|(id, _)| *id)
    }

    /// The number of the data hall called `name`.
    pub fn hall_id(&self, name: &str) -> Option<HallId> {
        let found = self.halls.iter().find(|(_, n)| *n == name);
        found.map(|(id, _)| *id)
    }

    /// The number of the customer called `name`.
    pub fn customer_id(&self, name: &str) -> Option<CustomerId> {
        self.customer_ids.get(name).copied()
    }
}
