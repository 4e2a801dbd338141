//! Client for the platform's list of live and leaving hosts.
//!
//! The list lags behind, so it only excludes endpoints; whether an endpoint answers is found out
//! by calling it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::answer::AnswerBody;
use crate::delivery::HttpClient;

/// Interval at which the list is polled, and time limit for each request.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of the list, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the endpoint.
    pub name: String,
    /// State of the endpoint.
    pub state: HostState,
}

/// State of an entry of the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It accepts new requests.
    Live,
    /// It accepts no new requests.
    Leaving,
}

/// The platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Listed hosts; hosts that are not listed count as live.
    pub hosts: Vec<HostEntry>,
}

impl HostList {
    /// Returns the names of leaving hosts.
    pub fn leaving(&self) -> impl Iterator<Item = &str> {
        let leaving = self.hosts.iter().filter(|h| h.state == HostState::Leaving);
        leaving.map(|h| h.name.as_str())
    }
}

/// Fetches the list once; returns `None` if the platform gives no valid answer in time.
pub async fn fetch(client: &HttpClient, platform: SocketAddr) -> Option<HostList> {
    let uri = format!("http://{platform}/hosts").parse().ok()?;
    let reading = async {
        let response = client.get(uri).await.ok()?;
        let (body, end) = AnswerBody::split(response, false).1.read(MAX_LIST_BYTES).await;
        end.verdict().ok()?;
        serde_json::from_slice(&body).ok()
    };
    tokio::time::timeout(POLL_INTERVAL, reading).await.ok()?
}
