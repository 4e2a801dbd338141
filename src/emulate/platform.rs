//! An emulated platform that serves the list of live and leaving hosts with a delay.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use axum::extract::{Path, State};
use axum::routing::{get, put};
use axum::{Json, Router};

use crate::error::Result;
use crate::host_list::{HostEntry, HostList, HostState};
use crate::settings::PlatformSettings;

#[derive(Debug)]
struct Platform {
    lag: Duration,
    changes: Mutex<Vec<(Instant, String, HostState)>>,
}

/// Serves the host list until the task is dropped.
pub async fn run(settings: PlatformSettings) -> Result<()> {
    let platform =
        Platform { lag: Duration::from_millis(settings.lag_ms), changes: Mutex::default() };
    let app = Router::new()
        .route("/hosts", get(list))
        .route("/hosts/{name}", put(set))
        .with_state(Arc::new(platform));
    super::serve(settings.listen, app).await
}

async fn list(State(platform): State<Arc<Platform>>) -> Json<HostList> {
    let changes = platform.changes.lock().unwrap_or_else(PoisonError::into_inner);
    let visible = changes.iter().filter(|(at, _, _)| at.elapsed() >= platform.lag);
    let latest: BTreeMap<_, _> = visible.map(|(_, name, state)| (name.clone(), *state)).collect();
    let entry = |(name, state)| HostEntry { name, state };
    Json(HostList { hosts: latest.into_iter().map(entry).collect() })
}

async fn set(
    State(platform): State<Arc<Platform>>,
    Path(name): Path<String>,
    Json(state): Json<HostState>,
) {
    let mut changes = platform.changes.lock().unwrap_or_else(PoisonError::into_inner);
    changes.push((Instant::now(), name, state));
}
