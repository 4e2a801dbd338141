//! What a load file says.

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::site::Site;

/// A scripted load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    /// Its name, for reports.
    pub name: String,
    /// Callers' ports of the routers.
    pub routers: Vec<SocketAddr>,
    /// Endpoints whose load is read, for utilisation.
    #[serde(default)]
    pub endpoints: Vec<SocketAddr>,
    /// Plain services whose ledgers are read, for doubled calls.
    #[serde(default)]
    pub ledgers: Vec<SocketAddr>,
    /// Seconds of load.
    pub duration_s: f64,
    /// Seconds at the start that do not count.
    #[serde(default = "default_warmup")]
    pub warmup_s: f64,
    /// Seed of all that is random.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Units of one prompt token.
    #[serde(default = "default_input_weight")]
    pub input_weight: u32,
    /// Units of one generated token.
    #[serde(default = "default_output_weight")]
    pub output_weight: u32,
    /// Whether `routers` are endpoints, called straight: what routers add is the
    /// difference.
    #[serde(default)]
    pub direct: bool,
    /// Who sends what.
    pub customers: Vec<LoadCustomer>,
}

/// One customer's callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadCustomer {
    /// The customer's name.
    pub name: String,
    /// Its share, as configured.
    #[serde(default = "default_share")]
    pub share: u32,
    /// The service.
    pub service: String,
    /// Path at a plain service; none for a model.
    #[serde(default)]
    pub path: Option<String>,
    /// Routers it enters through, by place in the list; empty for all.
    #[serde(default)]
    pub routers: Vec<usize>,
    /// When requests come.
    pub arrival: Arrival,
    /// Lengths of prompts in tokens.
    #[serde(default)]
    pub prompt: Lengths,
    /// Lengths of outputs in tokens.
    #[serde(default)]
    pub output: Lengths,
    /// Tokens that all its prompts begin with.
    #[serde(default)]
    pub shared_prefix: u32,
    /// Whether each call carries an idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Chance that a keyed call is sent again through another router.
    #[serde(default)]
    pub resend: f64,
    /// Milliseconds within which it wants its answer.
    #[serde(default)]
    pub deadline_ms: Option<u32>,
}

/// When requests come.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrival {
    /// So many callers, each sending its next request after an answer.
    Closed(u32),
    /// So many requests a second, whatever is answered.
    Open(f64),
}

/// Log-normal lengths.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lengths {
    /// Half are shorter.
    pub median: f64,
    /// Weight of the tail; 0 for equal lengths.
    #[serde(default)]
    pub sigma: f64,
    /// None is longer.
    #[serde(default = "default_max")]
    pub max: u32,
}

impl Default for Lengths {
    fn default() -> Self {
        Lengths { median: 64.0, sigma: 0.0, max: default_max() }
    }
}

impl Lengths {
    /// A length; at least 1.
    pub fn draw(&self, rng: &mut SmallRng) -> u32 {
        let drawn = match LogNormal::new(self.median.max(1.0).ln(), self.sigma) {
            Ok(lengths) => lengths.sample(rng),
            Err(_) => self.median,
        };
        (drawn as u32).clamp(1, self.max)
    }
}

fn default_warmup() -> f64 {
    2.0
}
fn default_seed() -> u64 {
    1
}
fn default_input_weight() -> u32 {
    1
}
fn default_output_weight() -> u32 {
    2
}
fn default_share() -> u32 {
    1
}
fn default_max() -> u32 {
    100_000
}

impl LoadFile {
    /// A load on all routers, engines and services of a sample site.
    pub fn for_site(
        name: &str,
        site: &Site,
        seconds: u64,
        customers: Vec<LoadCustomer>,
    ) -> LoadFile {
        LoadFile {
            name: name.into(),
            routers: (0..site.routers).map(|r| site.router_address(r)).collect(),
            endpoints: (0..site.engines).map(|e| site.engine(e)).collect(),
            ledgers: (0..site.services).map(|s| site.service(s)).collect(),
            duration_s: seconds as f64,
            warmup_s: default_warmup(),
            seed: default_seed(),
            input_weight: default_input_weight(),
            output_weight: default_output_weight(),
            direct: false,
            customers,
        }
    }

    /// Checks what parsing cannot.
    pub fn check(&self) -> Result<()> {
        let wrong = |field: &str, problem: &str, remedy: &str| Error::Invalid {
            field: field.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        };
        if self.routers.is_empty() {
            return Err(wrong("routers", "is empty", "name a router's port for callers"));
        }
        if self.duration_s <= self.warmup_s {
            return Err(wrong("duration_s", "is within the warm-up", "give a longer one"));
        }
        let outside = |c: &LoadCustomer| c.routers.iter().any(|r| *r >= self.routers.len());
        if let Some(customer) = self.customers.iter().find(|c| outside(c)) {
            let field = format!("customers.{}.routers", customer.name);
            return Err(wrong(&field, "names a router not in the list", "count from 0"));
        }
        Ok(())
    }
}
