//! A configuration with its recent changes, from which hosts that lag behind are updated.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Change, Config, Delta, Refusal};
use crate::wire::PullResponse;

/// Maximum number of deltas kept.
const MAX_DELTAS: usize = 4_096;

/// The newest configuration that this process holds, and the recent deltas to it.
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
            // A single change is atomic, so it needs no copy unless this version is shared.
            [change] => Arc::make_mut(&mut self.config).apply_in_place(change)?,
            _ => self.config = Arc::new(self.config.apply(&changes)?),
        }
        let delta = Delta { version: self.config.version, changes };
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
        Ok(())
    }

    /// The update for a process that holds `held_version`: deltas, or a snapshot where the
    /// deltas do not reach back far enough.
    pub fn since(&self, held_version: u64) -> PullResponse {
        if held_version >= self.config.version {
            return PullResponse::Current;
        }
        let first = self.deltas.front().map_or(u64::MAX, |d| d.version);
        if held_version + 1 < first {
            return PullResponse::Snapshot(Box::new(Config::clone(&self.config)));
        }
        let newer = self.deltas.iter().filter(|d| d.version > held_version);
        PullResponse::Deltas(newer.cloned().collect())
    }

    /// Applies a pulled update if it leads to a higher version. Returns whether it did.
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
                // Another host accepted this change, so it is refused here only if that
                // host runs another release; then a snapshot is pulled instead.
                return;
            }
        }
    }
}
