//! Logs, metrics and the recorded decisions that `explain` shows.

mod gateway;
mod logging;
mod metrics;
#[cfg(test)]
mod tests;
mod trace;

pub use gateway::{GatewayMetrics, render_gauges};
pub use logging::{LogLayout, start_logging};
pub use metrics::Metrics;
pub use trace::{RequestId, Step, Trace};
