//! Event loop lag of this process: the time by which a timer fires after it is due, which is the
//! time that ready tasks wait for the processor.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Weight of a new sample in the mean, from 0 to 1.
const SAMPLE_WEIGHT: f64 = 0.4;

/// Exponentially weighted moving average of lags, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeanLag(f64);

impl MeanLag {
    /// Adds a sample: a timer fired `late_ms` milliseconds after it was due.
    pub fn observe(&mut self, late_ms: f64) {
        self.0 += SAMPLE_WEIGHT * (late_ms - self.0);
    }

    /// The mean lag in milliseconds.
    pub fn ms(self) -> f64 {
        self.0
    }
}

/// Event loop lag of this process in microseconds, shared by its tasks.
#[derive(Clone, Debug, Default)]
pub struct LoopLag(Arc<AtomicU64>);

impl LoopLag {
    /// Starts the measurement; `on_update` is called with every new mean.
    pub fn start(mut on_update: impl FnMut(Duration) + Send + 'static) -> LoopLag {
        let lag = LoopLag::default();
        let shared = lag.clone();
        tokio::spawn(async move {
            let mut mean = MeanLag::default();
            loop {
                let due = Instant::now() + SAMPLE_INTERVAL;
                tokio::time::sleep_until(due).await;
                mean.observe(due.elapsed().as_secs_f64() * 1_000.0);
                shared.0.store((mean.ms() * 1_000.0) as u64, Ordering::Relaxed);
                on_update(shared.get());
            }
        });
        lag
    }

    /// The current mean lag.
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }
}
