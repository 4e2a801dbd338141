//! Keeping the record of a stream stored while the stream is relayed.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::assignment::Assignment;
use super::connections::Connection;
use super::request::Call;
use crate::dispatch::Millis;
use crate::resumption::{KnownStream, RETENTION_MS, StreamKey, StreamLoss, StreamRecord};

/// Keeps the record of a stream while it is relayed.
pub(super) struct StreamKeeper {
    call: Arc<Call>,
    /// `None` if the caller cannot name the stream later: nothing is stored.
    key: Option<StreamKey>,
    /// What was known of the stream when its relaying began.
    stream: KnownStream,
    relayed_since: Instant,
    stored_at: Instant,
    /// Stores the record; the first event waits for it.
    storing: Option<JoinHandle<()>>,
}

impl StreamKeeper {
    /// Begins to store the record of the stream that an answer begins or continues. `None` if its
    /// route does not allow resuming, or if it is not known which version answers, since that of
    /// the endpoint has changed meanwhile.
    pub fn start(
        call: &Arc<Call>,
        assignment: &Assignment,
        connection: &Connection,
    ) -> Option<StreamKeeper> {
        let key = call.stream.as_ref()?.key;
        let version = &assignment.observation.version;
        if !call.gateway.has_version(&assignment.endpoint, version) {
            return None;
        }
        let begun = || KnownStream {
            record: StreamRecord {
                service: call.service.as_str().into(),
                version: version.as_str().into(),
                endpoint: assignment.endpoint.as_str().into(),
                certainty: call.gateway.certainty(&call.service, &assignment.endpoint, connection),
            },
            age_ms: 0,
            loss: None,
        };
        let stream = call.resumed_stream().unwrap_or_else(begun);
        let now = Instant::now();
        let mut keeper = StreamKeeper {
            call: call.clone(),
            key,
            stream,
            relayed_since: now,
            stored_at: now,
            storing: None,
        };
        keeper.storing = Some(keeper.store(None));
        Some(keeper)
    }

    /// Waits until another router has the record, for a limited time.
    pub async fn wait_until_stored(&mut self) {
        if let Some(storing) = self.storing.take() {
            // It fails only if the process is stopping.
            let _ = storing.await;
            let seconds = self.relayed_since.elapsed().as_secs_f64();
            self.call.gateway.metrics.stream_store.observe(seconds);
        }
    }

    /// Stores where the stream was truncated, before its caller can resume it.
    pub async fn store_truncation(&self, endpoint: &str) {
        // It fails only if the process is stopping.
        let _ = self.store(Some(endpoint)).await;
    }

    /// Prolongs the retention of the record of a long stream.
    pub fn refresh(&mut self) {
        if self.stored_at.elapsed() >= Duration::from_millis(RETENTION_MS / 2) {
            self.stored_at = Instant::now();
            drop(self.store(None));
        }
    }

    /// What is known of the stream now, and that an endpoint truncated it just now, if one did.
    pub fn known(&self, lost_at: Option<&str>) -> KnownStream {
        let stream = self.stream.aged(self.relayed_since.elapsed().as_millis() as Millis);
        let loss = lost_at.map(|endpoint| StreamLoss { endpoint: endpoint.into(), age_ms: 0 });
        KnownStream { loss: loss.or(stream.loss), ..stream }
    }

    fn store(&self, lost_at: Option<&str>) -> JoinHandle<()> {
        let (records, key, stream) =
            (self.call.gateway.records.clone(), self.key, self.known(lost_at));
        tokio::spawn(async move {
            if let Some(key) = key {
                records.store(key, stream).await;
            }
        })
    }
}
