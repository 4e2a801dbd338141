//! The format of load files.

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
    /// Name of the load in reports.
    pub name: String,
    /// Addresses at which routers accept callers' requests.
    pub routers: Vec<SocketAddr>,
    /// Endpoints whose `/load` is read to compute utilisation.
    #[serde(default)]
    pub endpoints: Vec<SocketAddr>,
    /// Plain services whose ledgers are read to find calls that ran more than once.
    #[serde(default)]
    pub ledgers: Vec<SocketAddr>,
    /// Duration of the load in seconds, including the warm-up.
    pub duration_s: f64,
    /// Seconds at the start that are excluded from the results.
    #[serde(default = "default_warmup")]
    pub warmup_s: f64,
    /// Seed of the random generators.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Units of one prompt token.
    #[serde(default = "default_input_weight")]
    pub input_weight: u32,
    /// Units of one generated token.
    #[serde(default = "default_output_weight")]
    pub output_weight: u32,
    /// Whether `routers` are endpoints that are called without a router. The difference to a run
    /// through routers is their overhead.
    #[serde(default)]
    pub direct: bool,
    /// The customers that send requests.
    pub customers: Vec<LoadCustomer>,
}

/// The load of one customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadCustomer {
    /// The customer's name.
    pub name: String,
    /// The customer's configured share.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Name of the service that it calls.
    pub service: String,
    /// Path of the call at a plain service; `None` for a model.
    #[serde(default)]
    pub path: Option<String>,
    /// Indexes in `LoadFile::routers` of the routers that it calls; empty for all.
    #[serde(default)]
    pub routers: Vec<usize>,
    /// Arrival process of its requests.
    pub arrival: Arrival,
    /// Lengths of prompts in tokens.
    #[serde(default)]
    pub prompt: Lengths,
    /// Lengths of outputs in tokens.
    #[serde(default)]
    pub output: Lengths,
    /// Number of tokens at the start of each prompt that all its prompts share.
    #[serde(default)]
    pub shared_prefix: u32,
    /// Whether each call carries an idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Probability, 0 to 1, that an answered keyed call is sent again through another router.
    #[serde(default)]
    pub resend: f64,
    /// Deadline of each request in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u32>,
    /// Probability, 0 to 1, that a prompt has a part that crashes emulated engines.
    #[serde(default)]
    pub deadly: f64,
}

/// Arrival process of a customer's requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrival {
    /// Closed loop: this number of callers, each of which sends its next request after an answer.
    Closed(u32),
    /// Open loop: this mean number of requests per second (Poisson), regardless of answers.
    Open(f64),
}

/// A log-normal distribution of lengths, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lengths {
    /// Median length.
    pub median: f64,
    /// Standard deviation of the logarithm; 0 for constant lengths.
    #[serde(default)]
    pub sigma: f64,
    /// Maximum length; longer samples are clamped.
    #[serde(default = "default_max")]
    pub max: u32,
}

impl Default for Lengths {
    fn default() -> Self {
        Lengths { median: 64.0, sigma: 0.0, max: default_max() }
    }
}

impl Lengths {
    /// Draws a length of at least 1.
    pub fn draw(&self, rng: &mut SmallRng) -> u32 {
        let length = match LogNormal::new(self.median.max(1.0).ln(), self.sigma) {
            Ok(distribution) => distribution.sample(rng),
            Err(_) => self.median,
        };
        (length as u32).clamp(1, self.max)
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
    /// Builds a load on all routers, engines and services of a sample site.
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

    /// Checks the constraints that the parser cannot check.
    pub fn check(&self) -> Result<()> {
        let invalid = |field: &str, problem: &str, remedy: &str| Error::Invalid {
            field: field.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        };
        if self.routers.is_empty() {
            return Err(invalid("routers", "is empty", "name a router's port for callers"));
        }
        if self.duration_s <= self.warmup_s {
            return Err(invalid("duration_s", "is within the warm-up", "give a longer one"));
        }
        let outside = |c: &LoadCustomer| c.routers.iter().any(|r| *r >= self.routers.len());
        if let Some(customer) = self.customers.iter().find(|c| outside(c)) {
            let field = format!("customers.{}.routers", customer.name);
            return Err(invalid(&field, "names a router not in the list", "count from 0"));
        }
        Ok(())
    }
}
