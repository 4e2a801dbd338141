//! Limits on what is read and held of answers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

/// Smallest buffer for heads that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Limits on the answers of endpoints. Streams may be of any length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AnswerLimits {
    /// Largest head in bytes. A body may bring up to four times as many without any content.
    pub head_bytes: usize,
    /// Longest time in milliseconds from the first byte of a head to its end.
    pub head_ms: u64,
    /// Largest event of a stream in bytes.
    pub event_bytes: usize,
    /// Largest answer other than a stream in bytes.
    pub answer_bytes: usize,
    /// Bytes of incomplete answers and events that a router holds at most.
    pub held_bytes: usize,
}

impl Default for AnswerLimits {
    fn default() -> AnswerLimits {
        AnswerLimits {
            head_bytes: 64 << 10,
            head_ms: 1_000,
            event_bytes: 8 << 20,
            answer_bytes: 16 << 20,
            held_bytes: 64 << 20,
        }
    }
}

impl AnswerLimits {
    /// Checks that the limits can be kept together.
    pub fn check(&self) -> Result<()> {
        if self.head_bytes < MIN_HEAD_BYTES {
            return Err(invalid("head_bytes", "is less than any head needs", "give 8192 or more"));
        }
        if self.head_ms == 0 {
            return Err(invalid("head_ms", "is zero", "give a number of milliseconds"));
        }
        if self.event_bytes < self.head_bytes {
            let remedy = "give head_bytes or more";
            return Err(invalid("event_bytes", "is less than head_bytes", remedy));
        }
        if self.held_bytes < self.answer_bytes {
            let remedy = "give answer_bytes or more";
            return Err(invalid("held_bytes", "holds less than one answer", remedy));
        }
        Ok(())
    }

    pub(super) fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_ms)
    }

    /// Bytes that may be read in a row without content. The HTTP library reads up to three of its
    /// buffers ahead, which are of `head_bytes` each.
    pub(super) fn overhead_bytes(&self) -> usize {
        self.head_bytes.saturating_mul(4)
    }
}

fn invalid(field: &str, problem: &str, remedy: &str) -> Error {
    Error::Invalid {
        field: format!("answers.{field}"),
        problem: problem.to_string(),
        remedy: remedy.to_string(),
    }
}
