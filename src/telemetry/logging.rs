//! Structured logs on standard error.

use log::LevelFilter;
use logforth::append;
use logforth::layout::{JsonLayout, LogfmtLayout, PlainTextLayout};

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLayout {
    /// For people.
    #[default]
    Text,
    /// One `key=value` line an event.
    Logfmt,
    /// One JSON object an event.
    Json,
}

/// Starts logging at `level`; a second start in one process changes nothing.
pub fn start_logging(level: LevelFilter, layout: LogLayout) {
    let stderr = append::Stderr::default();
    let stderr = match layout {
        LogLayout::Text => stderr.with_layout(PlainTextLayout::default()),
        LogLayout::Logfmt => stderr.with_layout(LogfmtLayout::default()),
        LogLayout::Json => stderr.with_layout(JsonLayout::default()),
    };
    let started = logforth::starter_log::builder().dispatch(|d| d.append(stderr)).try_apply();
    if started.is_ok() {
        log::set_max_level(level);
    }
}
