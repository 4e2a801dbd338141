//! Settings of one process, read from YAML and checked before anything starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{Error, FileSnafu, Result};
use crate::wire::HostId;

/// How a router decides who is served next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatchMode {
    /// One dispatcher a service for all routers in reach.
    #[default]
    Fleet,
    /// Each router for itself, with its part of every endpoint's slots. The
    /// baseline that measurements compare with.
    Alone,
}

/// Who this process is and where its peers are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// The host's name, for people.
    pub name: String,
    /// The host's number, unique in the fleet.
    pub id: HostId,
    /// The data hall it stands in.
    pub hall: String,
    /// Where peers reach it by UDP and TCP.
    pub peer: SocketAddr,
    /// Peer addresses of other hosts to start from.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Settings of `bramblecrank router`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
    /// How it decides who is served next.
    #[serde(default)]
    pub dispatch: DispatchMode,
    /// Routers that divide the endpoints among them when `dispatch` is `alone`.
    #[serde(default = "default_alone_routers")]
    pub alone_routers: u32,
    /// Largest request body in bytes.
    #[serde(default = "default_max_body")]
    pub max_body: usize,
    /// Milliseconds a planned stop waits for requests in flight.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Whether operators may rehearse cut links here.
    #[serde(default)]
    pub rehearsal: bool,
}

/// Settings of `bramblecrank control`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The host.
    pub host: HostSettings,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// The folder for durable state; one process at a time may hold it.
    pub data: PathBuf,
    /// Numbers of the hosts that found the group together.
    pub founders: Vec<HostId>,
    /// Peer addresses of the other control hosts.
    #[serde(default)]
    pub control: Vec<SocketAddr>,
    /// Log entries between two snapshots.
    #[serde(default = "default_snapshot_every")]
    pub snapshot_every: u64,
    /// Whether operators may rehearse cut links here.
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

impl HostSettings {
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
    /// Checks what parsing cannot.
    pub fn check(&self) -> Result<()> {
        self.host.check()?;
        if self.alone_routers == 0 {
            return Err(invalid("alone_routers", "is zero", "give the number of routers"));
        }
        if self.max_body == 0 {
            return Err(invalid("max_body", "is zero", "give a size in bytes"));
        }
        Ok(())
    }
}

impl ControlSettings {
    /// Checks what parsing cannot.
    pub fn check(&self) -> Result<()> {
        self.host.check()?;
        let odd = matches!(self.founders.len(), 1 | 3 | 5 | 7);
        if !odd {
            let remedy = "name 1, 3, 5 or 7 hosts";
            return Err(invalid("founders", "cannot form a sound majority", remedy));
        }
        if self.snapshot_every == 0 {
            return Err(invalid("snapshot_every", "is zero", "give a number of entries"));
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
