//! Settings of one process, read from YAML and checked before anything starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::answer::AnswerLimits;
use crate::error::{Error, FileSnafu, Result};
use crate::gateway::{BudgetRules, OverloadRules};
use crate::placement::PlacementRules;
use crate::region::Regions;
use crate::request_body::RequestLimits;
use crate::rollout::RolloutRules;
use crate::wire::HostId;

/// Smallest fraction of a service's requests that a canary release may get. With less, no
/// service has enough answers in time to judge the release.
const MIN_CANARY_SHARE: f64 = 0.01;
/// Fewest descriptors with which a control host can serve anyone beside its peers.
const MIN_DESCRIPTORS: usize = 64;
/// Shortest time in milliseconds in which a bad release can be stopped on every router: its
/// answers are reported, the stage is agreed, and grants end.
const MIN_ROLLBACK_MS: u64 = 1_000;

/// How a router decides which request is served next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatchMode {
    /// One dispatcher per service for all routers in reach.
    #[default]
    Fleet,
    /// Each router dispatches on its own, with its part of every endpoint's slots. The
    /// baseline for measurements.
    Alone,
}

/// The host of a process, and how it reaches its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// The host's name, for display.
    pub name: String,
    /// The host's number, unique in the fleet; by default its IPv4 address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<HostId>,
    /// The data hall that it is in.
    pub hall: String,
    /// Where it listens for peers, over UDP and TCP.
    pub peer: SocketAddr,
    /// Where peers reach it, if not at `peer`: for hosts behind a relay or address
    /// translation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Peer addresses of the hosts that it contacts first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The peer port of every seed, if `seeds` gives other ports of these hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed_port: Option<u16>,
    /// The region of each data hall, by its name.
    #[serde(default, skip_serializing_if = "Regions::is_empty")]
    pub regions: Regions,
    /// Which hosts it exchanges heartbeats with.
    #[serde(default, skip_serializing_if = "HeartbeatScope::is_default")]
    pub heartbeats: HeartbeatScope,
    /// The file that these settings were read from. Its seeds are read again while no control
    /// host is live.
    #[serde(skip)]
    pub file: Option<PathBuf>,
}

/// Which hosts a host exchanges heartbeats with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HeartbeatScope {
    /// Every host that it learns of.
    #[default]
    All,
    /// Routers only with control hosts, which receive heartbeats of all hosts.
    Control,
}

impl HeartbeatScope {
    fn is_default(&self) -> bool {
        *self == HeartbeatScope::All
    }
}

/// Settings of `bramblecrank router`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// The host.
    pub host: HostSettings,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// The platform's list of hosts, as `ip:port`.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// How it decides which request is served next.
    #[serde(default)]
    pub dispatch: DispatchMode,
    /// Number of routers that divide the endpoints' slots when `dispatch` is `alone`.
    #[serde(default = "default_alone_routers")]
    pub alone_routers: u32,
    /// Largest request body in bytes.
    #[serde(default = "default_max_body")]
    pub max_body: usize,
    /// Limits on what is read and held of answers.
    #[serde(default, skip_serializing_if = "is_default")]
    pub answers: AnswerLimits,
    /// Limits on what is held of requests.
    #[serde(default, skip_serializing_if = "is_default")]
    pub requests: RequestLimits,
    /// Milliseconds for which a planned stop waits for requests in flight.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Whether operators may cut this host's links to rehearse faults.
    #[serde(default)]
    pub rehearsal: bool,
    /// Set to serve requests of any kind by the routes of the agreed routing document,
    /// with the platform's header names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gateway: Option<GatewaySettings>,
}

/// Settings of a router that serves by routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Where the platform checks whether this router accepts requests.
    pub ready: SocketAddr,
    /// A second address at which metrics are served, besides `ready`.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Bound on requests sent again, for all routers together.
    #[serde(default)]
    pub retry_budget: BudgetRules,
    /// Thresholds at which this router counts as overloaded.
    #[serde(default)]
    pub overload: OverloadRules,
    /// Minimum number of routers that the retry budget is divided by, even if fewer are known.
    #[serde(default = "default_least_routers")]
    pub least_routers: usize,
    /// Milliseconds for which requests are still accepted during a planned stop.
    #[serde(default = "default_stop_takes_ms")]
    pub stop_takes_ms: u64,
    /// Seconds after which a planned stop is forced.
    #[serde(default = "default_stop_within_s")]
    pub stop_within_s: f64,
}

/// Settings of `bramblecrank control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The host.
    pub host: HostSettings,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// The folder for durable state; one process at a time may open it.
    pub data: PathBuf,
    /// Numbers of the hosts that bootstrap the group together.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub founders: Vec<HostId>,
    /// Whether the control hosts among the seeds bootstrap the group; true only on
    /// the very first start of the fleet.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub found_with_seeds: bool,
    /// Control hosts that may be lost at once. The group is complete with twice
    /// as many voters plus one.
    #[serde(default = "default_tolerated", skip_serializing_if = "is_default_tolerated")]
    pub tolerated_losses: usize,
    /// Whether to wait for a data folder that cannot be opened yet.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub wait_for_disk: bool,
    /// Objectives of the placer on this host.
    #[serde(default, skip_serializing_if = "is_default")]
    pub placement: PlacementRules,
    /// Bounds within which a release is rolled out.
    #[serde(default, skip_serializing_if = "is_default")]
    pub rollout: RolloutRules,
    /// Where operators and endpoints of the platform connect, if there are any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform: Option<SocketAddr>,
    /// Names of the data halls, including those of which no host is known yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub halls: Vec<String>,
    /// Peer addresses of the other control hosts.
    #[serde(default)]
    pub control: Vec<SocketAddr>,
    /// Limits on what is held of operators' and endpoints' calls.
    #[serde(default, skip_serializing_if = "is_default")]
    pub requests: RequestLimits,
    /// Descriptors that the process may hold. Connections of operators and endpoints take half of
    /// them at most.
    #[serde(default = "default_descriptors", skip_serializing_if = "is_default_descriptors")]
    pub descriptors: usize,
    /// Log entries between two snapshots.
    #[serde(default = "default_snapshot_every")]
    pub snapshot_every: u64,
    /// Bytes of log entries after which a snapshot is taken, even if they are few. Bounds what a
    /// control host stores, and reads at its start, beside the state itself.
    #[serde(default = "default_snapshot_every_bytes")]
    pub snapshot_every_bytes: u64,
    /// Whether operators may cut this host's links to rehearse faults.
    #[serde(default)]
    pub rehearsal: bool,
}

/// Settings of `bramblecrank emulate engine`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Requests in one batch.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Microseconds of prefill for each uncached prompt token.
    #[serde(default = "default_prefill_us")]
    pub prefill_us: u64,
    /// Microseconds between tokens of one request.
    #[serde(default = "default_token_us")]
    pub token_us: u64,
    /// Tokens in one event of a stream.
    #[serde(default = "default_tokens_per_event")]
    pub tokens_per_event: u32,
    /// Prompt blocks kept in the prefix cache.
    #[serde(default = "default_cache_blocks")]
    pub cache_blocks: usize,
    /// Whether a request may end its process.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub crashes: bool,
}

/// Settings of `bramblecrank emulate service`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Calls it runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Milliseconds a call takes.
    #[serde(default = "default_call_ms")]
    pub call_ms: u64,
}

/// Settings of `bramblecrank emulate platform`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Milliseconds by which its list lags.
    #[serde(default)]
    pub lag_ms: u64,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
fn default_least_routers() -> usize {
    3
}
fn default_stop_within_s() -> f64 {
    8.0
}
fn default_stop_takes_ms() -> u64 {
    2_600
}
fn default_tolerated() -> usize {
    3
}
fn is_default_tolerated(losses: &usize) -> bool {
    *losses == default_tolerated()
}
fn default_descriptors() -> usize {
    8_192
}
fn is_default_descriptors(descriptors: &usize) -> bool {
    *descriptors == default_descriptors()
}
fn default_alone_routers() -> u32 {
    1
}
fn default_max_body() -> usize {
    4 << 20
}
fn default_drain_ms() -> u64 {
    120_000
}
fn default_snapshot_every() -> u64 {
    1_000
}
fn default_snapshot_every_bytes() -> u64 {
    8 << 20
}
fn default_slots() -> u32 {
    16
}
fn default_prefill_us() -> u64 {
    20
}
fn default_token_us() -> u64 {
    5_000
}
fn default_tokens_per_event() -> u32 {
    4
}
fn default_cache_blocks() -> usize {
    4_096
}
fn default_call_ms() -> u64 {
    20
}

/// Reads and parses a YAML file; the error names file, line, field and remedy.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    serde_saphyr::from_str(&text)
        .map_err(|e| Error::Parse { path: path.to_path_buf(), message: e.to_string() })
}

/// Reads the peer addresses of the seeds from the settings file of a control host or router.
pub fn read_seeds(path: &Path) -> Result<Vec<SocketAddr>> {
    #[derive(Deserialize)]
    struct SettingsOfAnyRole {
        host: HostSettings,
    }
    Ok(read::<SettingsOfAnyRole>(path)?.host.seed_peers())
}

impl HostSettings {
    /// The host's number: the one given, or its IPv4 address, or a hash of
    /// its IPv6 address.
    pub fn host_id(&self) -> HostId {
        match (self.id, self.peer) {
            (Some(id), _) => id,
            (None, SocketAddr::V4(peer)) => HostId::of(*peer.ip()),
            (None, SocketAddr::V6(peer)) => {
                HostId(xxhash_rust::xxh3::xxh3_64(&peer.ip().octets()) as u32)
            }
        }
    }

    /// The address at which peers reach it.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peer)
    }

    /// The peer addresses of the hosts that it contacts first.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let port = |seed: &SocketAddr| self.seed_port.unwrap_or(seed.port());
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port(seed))).collect()
    }

    fn check(&self) -> Result<()> {
        if self.name.is_empty() {
            return Err(invalid("host.name", "is empty", "name the host"));
        }
        if self.peer.ip().is_unspecified() {
            let remedy = "give the number at which peers reach this host";
            return Err(invalid("host.peer", "is a wildcard address", remedy));
        }
        Ok(())
    }
}

impl RouterSettings {
    /// Checks constraints that parsing does not check.
    pub fn check(&self) -> Result<()> {
        self.host.check()?;
        if self.alone_routers == 0 {
            return Err(invalid("alone_routers", "is zero", "give the number of routers"));
        }
        if self.max_body == 0 {
            return Err(invalid("max_body", "is zero", "give a size in bytes"));
        }
        self.answers.check()?;
        self.requests.check()
    }
}

impl ControlSettings {
    /// Voters at which the group is complete.
    pub fn max_voters(&self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// The hosts that bootstrap the group, and their peer addresses.
    pub fn bootstrap_hosts(&self) -> (Vec<HostId>, Vec<SocketAddr>) {
        if !self.found_with_seeds {
            return (self.founders.clone(), self.control.clone());
        }
        let seeds = self.host.seed_peers();
        let number =
            |seed: &SocketAddr| HostSettings { peer: *seed, ..self.host.clone() }.host_id();
        (seeds.iter().map(number).collect(), seeds)
    }

    /// Checks constraints that parsing does not check.
    pub fn check(&self) -> Result<()> {
        self.host.check()?;
        let is_allowed_size = matches!(self.founders.len(), 1 | 3 | 5 | 7);
        let joins = self.platform.is_some() && self.founders.is_empty();
        if !is_allowed_size && !joins {
            let remedy = "name 1, 3, 5 or 7 hosts";
            return Err(invalid("founders", "cannot form a sound majority", remedy));
        }
        if self.snapshot_every == 0 {
            return Err(invalid("snapshot_every", "is zero", "give a number of entries"));
        }
        if self.snapshot_every_bytes == 0 {
            return Err(invalid("snapshot_every_bytes", "is zero", "give a size in bytes"));
        }
        self.requests.check()?;
        if self.descriptors < MIN_DESCRIPTORS {
            return Err(invalid("descriptors", "is too small", "give 64 or more"));
        }
        let share = self.rollout.canary_share;
        if !(MIN_CANARY_SHARE..=1.0).contains(&share) {
            let remedy = "give a part between 0.01 and 1";
            return Err(invalid("rollout.canary_share", "is no part of the requests", remedy));
        }
        if self.rollout.rollback_ms < MIN_ROLLBACK_MS {
            let remedy = "give 1000 or more";
            return Err(invalid("rollout.rollback_ms", "is less than can be kept", remedy));
        }
        Ok(())
    }
}

fn invalid(field: &str, problem: &str, remedy: &str) -> Error {
    Error::Invalid {
        field: field.to_string(),
        problem: problem.to_string(),
        remedy: remedy.to_string(),
    }
}
