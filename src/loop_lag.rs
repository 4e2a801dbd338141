//! How late this process's event loop is: the time by which a timer fires after
//! it was due, which is the time that ready work waits for the processor.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Time between two looks.
const INTERVAL: Duration = Duration::from_millis(100);
/// Weight of a new look in the mean.
const WEIGHT: f64 = 0.4;

/// A mean of lags in which recent ones count most, without I/O.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeanLag(f64);

impl MeanLag {
    /// A timer fired `late_ms` milliseconds after it was due.
    pub fn observe(&mut self, late_ms: f64) {
        self.0 += WEIGHT * (late_ms - self.0);
    }

    /// The mean in milliseconds.
    pub fn ms(self) -> f64 {
        self.0
    }
}

/// The lag of this process, shared by its tasks.
#[derive(Clone, Debug, Default)]
pub struct LoopLag(Arc<AtomicU64>);

impl LoopLag {
    /// Measures from now on; `each` is told of every new mean.
    pub fn start(mut each: impl FnMut(Duration) + Send + 'static) -> LoopLag {
        let lag = LoopLag::default();
        let shared = lag.clone();
        tokio::spawn(async move {
            let mut mean = MeanLag::default();
            loop {
                let due = Instant::now() + INTERVAL;
                tokio::time::sleep_until(due).await;
                mean.observe(due.elapsed().as_secs_f64() * 1_000.0);
                shared.0.store((mean.ms() * 1_000.0) as u64, Ordering::Relaxed);
                each(shared.get());
            }
        });
        lag
    }

    /// The mean lag.
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }
}
