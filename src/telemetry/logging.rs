//! Structured logs on standard error.

use log::LevelFilter;
use logforth::layout::{JsonLayout, LogfmtLayout, PlainTextLayout};
use logforth::record::Record;
use logforth::{Diagnostic, Layout, append};

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLayout {
    /// Readable text.
    #[default]
    Text,
    /// One line of `key=value` pairs per event.
    Logfmt,
    /// One JSON object per event.
    Json,
    /// Level and message on standard output, for processes whose output is
    /// collected with timestamps.
    Plain,
}

/// Level and message only.
#[derive(Debug)]
struct PlainLayout;

impl Layout for PlainLayout {
    fn format(
        &self,
        record: &Record<'_>,
        _diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, logforth::Error> {
        Ok(format!("{} {}", record.level(), record.payload()).into_bytes())
    }
}

/// Starts logging at `level`; a second start in one process changes nothing.
pub fn start_logging(level: LevelFilter, layout: LogLayout) {
    if layout == LogLayout::Plain {
        let stdout = append::Stdout::default().with_layout(PlainLayout);
        let started = logforth::starter_log::builder().dispatch(|d| d.append(stdout)).try_apply();
        if started.is_ok() {
            log::set_max_level(level);
        }
        return;
    }
    let stderr = append::Stderr::default();
    let stderr = match layout {
        LogLayout::Text => stderr.with_layout(PlainTextLayout::default()),
        LogLayout::Logfmt => stderr.with_layout(LogfmtLayout::default()),
        LogLayout::Plain => stderr,
        LogLayout::Json => stderr.with_layout(JsonLayout::default()),
    };
    let started = logforth::starter_log::builder().dispatch(|d| d.append(stderr)).try_apply();
    if started.is_ok() {
        log::set_max_level(level);
    }
}
