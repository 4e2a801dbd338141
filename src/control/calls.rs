//! What control hosts hold of the calls of operators and endpoints.

use std::time::Duration;

use axum::body::Body;

use super::Control;
use crate::request_body::{HeldBody, ReadError, read_body};

/// Longest time that the body of a call may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Who makes a call. Each kind of caller leaves room for the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSource {
    /// An operator.
    Operator,
    /// An endpoint that registers itself.
    Endpoint,
}

impl CallSource {
    fn name(self) -> &'static str {
        match self {
            CallSource::Operator => "operators",
            CallSource::Endpoint => "endpoints",
        }
    }
}

impl Control {
    /// Reads the body of a call, of up to `max_bytes` bytes.
    pub async fn read_call(
        &self,
        source: CallSource,
        body: Body,
        max_bytes: usize,
    ) -> Result<HeldBody, ReadError> {
        let held = self.request_memory.hold(source.name()).ok_or(ReadError::NoMemory)?;
        read_body(body, max_bytes, BODY_TIMEOUT, held).await
    }
}
