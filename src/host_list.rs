//! The platform's list of live and leaving hosts. It lags, so it only ever
//! takes endpoints out; whether one answers is seen by calling it.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use serde::{Deserialize, Serialize};

use crate::delivery::HttpClient;

/// How often the list is read.
pub const POLL: Duration = Duration::from_millis(500);
const MAX_LIST: usize = 8 << 20;

/// One host of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The endpoint's name.
    pub name: String,
    /// Its state.
    pub state: HostState,
}

/// The state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It takes work.
    Live,
    /// It takes no new work.
    Leaving,
}

/// The platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts that it mentions; others are live.
    pub hosts: Vec<HostEntry>,
}

impl HostList {
    /// Names of leaving hosts.
    pub fn leaving(&self) -> impl Iterator<Item = &str> {
        let leaving = self.hosts.iter().filter(|h| h.state == HostState::Leaving);
        leaving.map(|h| h.name.as_str())
    }
}

/// Reads the list once; none when the platform does not answer well in time.
pub async fn fetch(client: &HttpClient, platform: SocketAddr) -> Option<HostList> {
    let uri = format!("http://{platform}/hosts").parse().ok()?;
    let request = client.get(uri);
    let response = tokio::time::timeout(POLL, request).await.ok()?.ok()?;
    let body = Limited::new(response.into_body(), MAX_LIST).collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
