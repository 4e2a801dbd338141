//! A configuration with the steps that led to it, as processes pass it on.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Change, Config, Delta, Refusal};
use crate::wire::PullResponse;

/// Versions for which deltas are kept.
const KEPT_DELTAS: usize = 4_096;

/// The newest configuration known here and recent deltas.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct History {
    config: Arc<Config>,
    deltas: VecDeque<Delta>,
}

impl History {
    /// A history that begins with `config`.
    pub fn starting_from(config: Config) -> History {
        History { config: Arc::new(config), deltas: VecDeque::new() }
    }

    /// The newest configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Recent deltas, oldest first.
    pub fn deltas(&self) -> impl DoubleEndedIterator<Item = &Delta> {
        self.deltas.iter()
    }

    /// Applies accepted changes as the next version.
    pub fn advance(&mut self, changes: Vec<Change>) -> Result<(), Refusal> {
        match changes.as_slice() {
            // One change is atomic by itself: no copy unless others hold this version.
            [change] => Arc::make_mut(&mut self.config).apply_in_place(change)?,
            _ => self.config = Arc::new(self.config.apply(&changes)?),
        }
        let delta = Delta { version: self.config.version, changes };
        self.deltas.push_back(delta);
        if self.deltas.len() > KEPT_DELTAS {
            self.deltas.pop_front();
        }
        Ok(())
    }

    /// What a process needs that has version `have`.
    pub fn since(&self, have: u64) -> PullResponse {
        if have >= self.config.version {
            return PullResponse::Current;
        }
        let first = self.deltas.front().map_or(u64::MAX, |d| d.version);
        if have + 1 < first {
            return PullResponse::Snapshot(Box::new(Config::clone(&self.config)));
        }
        let newer = self.deltas.iter().filter(|d| d.version > have);
        PullResponse::Deltas(newer.cloned().collect())
    }

    /// Adopts what was pulled; only ever a higher version. Says whether there
    /// was one.
    pub fn adopt(&mut self, pulled: PullResponse) -> bool {
        let before = self.config.version;
        match pulled {
            PullResponse::Current => {}
            PullResponse::Snapshot(config) if config.version > before => {
                *self = History::starting_from(*config);
            }
            PullResponse::Snapshot(_) => {}
            PullResponse::Deltas(deltas) => self.adopt_deltas(deltas),
        }
        self.config.version > before
    }

    fn adopt_deltas(&mut self, deltas: Vec<Delta>) {
        for delta in deltas {
            if delta.version != self.config.version + 1 {
                continue;
            }
            if self.advance(delta.changes).is_err() {
                // Accepted elsewhere, so it applies here too unless this is
                // another release; the whole will be pulled instead.
                return;
            }
        }
    }
}
