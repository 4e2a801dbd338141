//! An emulated plain service with a ledger of the calls that it ran.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, Method, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::fault::{
    Fault, FaultKind, Faults, with_leaving_header, with_rest_request, without_framing,
};
use super::slot::Slots;
use crate::delivery::header;
use crate::error::Result;
use crate::settings::ServiceSettings;

const EVENT_STREAM: &str = "text/event-stream";
/// Events of an answer to a caller that accepts such.
const EVENTS: u32 = 3;

/// How often each call ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Runs by customer and idempotency key.
    pub by_key: BTreeMap<String, u32>,
    /// Total number of runs.
    pub total: u64,
}

#[derive(Debug)]
struct Service {
    settings: ServiceSettings,
    slots: Slots,
    faults: Faults,
    ledger: Mutex<Ledger>,
}

/// Runs a service until the task is dropped.
pub async fn run(settings: ServiceSettings) -> Result<()> {
    let listen = settings.listen;
    let service = Service {
        slots: Slots::new(settings.slots),
        faults: Faults::default(),
        ledger: Mutex::default(),
        settings,
    };
    let app = Router::new()
        .route("/load", get(async |State(s): State<Arc<Service>>| Json(s.slots.load())))
        .route("/ledger", get(ledger))
        .route(
            "/fault",
            post(async |State(s): State<Arc<Service>>, Json(f): Json<Fault>| s.faults.add(f)),
        )
        .fallback(call)
        .with_state(Arc::new(service));
    super::serve(listen, app).await
}

async fn ledger(State(service): State<Arc<Service>>) -> Json<Ledger> {
    let ledger = service.ledger.lock().unwrap_or_else(PoisonError::into_inner);
    Json(ledger.clone())
}

async fn call(
    State(service): State<Arc<Service>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let fault = service.faults.next();
    let kind = fault.as_ref().map(|f| f.kind);
    if kind == Some(FaultKind::Refuse) {
        let refused = [(header::NOT_RUN, "1")];
        return (StatusCode::SERVICE_UNAVAILABLE, refused).into_response();
    }
    if let Some(rest) = fault.as_ref().filter(|f| f.kind == FaultKind::Rest) {
        let refused = [(header::NOT_RUN, "1")];
        return with_rest_request((StatusCode::SERVICE_UNAVAILABLE, refused).into_response(), rest);
    }
    let Some(_slot) = service.slots.acquire(0).await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let run = service.record(&headers);
    tokio::time::sleep(Duration::from_millis(service.settings.call_ms)).await;
    if kind == Some(FaultKind::Late) {
        let amount = fault.map_or(0, |f| f.amount);
        tokio::time::sleep(Duration::from_millis(amount)).await;
    }
    if kind == Some(FaultKind::Cut) {
        let broken =
            futures_util::stream::iter([Err::<Bytes, _>(std::io::Error::other("told to cut"))]);
        return Body::from_stream(broken).into_response();
    }
    let id = match kind {
        Some(FaultKind::Cross) => "another-request",
        _ => header::text(&headers, header::REQUEST).unwrap_or_default(),
    };
    let answer = json!({
        "service": service.settings.name,
        "method": method.as_str(),
        "path": uri.path(),
        "key": header::text(&headers, header::KEY),
        "run": run,
        "echo": String::from_utf8_lossy(&body),
    });
    let (media_type, mut text) = match accepts_events(&headers) {
        true => (EVENT_STREAM, events_of(&answer)),
        false => ("application/json", answer.to_string()),
    };
    if kind == Some(FaultKind::Close) {
        // Inside the last event, if these are events.
        text.truncate(text.len() * 3 / 4);
    }
    let headers = [(header::REQUEST, id), ("content-type", media_type)];
    let answer = (headers, text).into_response();
    match kind {
        Some(FaultKind::Unframed | FaultKind::Close) => without_framing(answer),
        Some(FaultKind::Leave) => with_leaving_header(answer),
        _ => answer,
    }
}

fn accepts_events(headers: &HeaderMap) -> bool {
    header::text(headers, "accept").is_some_and(|accepted| accepted.contains(EVENT_STREAM))
}

/// Events that each hold the whole answer.
fn events_of(answer: &serde_json::Value) -> String {
    (1..=EVENTS).map(|id| format!("id: {id}\ndata: {answer}\n\n")).collect()
}

impl Service {
    /// Records the call in the ledger before it runs; returns how often its key has run.
    fn record(&self, headers: &HeaderMap) -> u32 {
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.total += 1;
        let Some(key) = header::text(headers, header::KEY) else {
            return 1;
        };
        let customer = header::text(headers, header::CUSTOMER).unwrap_or_default();
        let runs = ledger.by_key.entry(format!("{customer}/{key}")).or_default();
        *runs += 1;
        *runs
    }
}
