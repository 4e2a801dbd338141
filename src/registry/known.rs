//! What is known of one endpoint, and how news of it merges.

use super::{EndpointState, Registration};

/// Milliseconds for which an endpoint counts as cold after its data hall was taken back:
/// two of its heartbeats, which come every 1.2 s on the platform.
pub(super) const RESTORED_WARMUP_MS: u64 = 2_500;
/// Calls of an endpoint after which it is believed to be warm again: the first may have
/// been sent before.
const SURE_AFTER_CALLS: u64 = 2;

/// An endpoint that was heard of.
#[derive(Clone, Debug)]
pub(super) struct Known {
    /// What it said last.
    pub said: Registration,
    /// Number of the change that was its last.
    pub change: u64,
    /// Whether the endpoint itself said that change here.
    pub first_hand: bool,
    /// Before this call nothing that it says of being warm is believed: it may have
    /// been under way since before its data hall was taken back.
    sure_from: u64,
}

impl Known {
    /// An endpoint of which nothing was known.
    pub fn new(said: Registration, first_hand: bool) -> Known {
        Known { said, change: 0, first_hand, sure_from: 0 }
    }

    /// Takes news in. Of two starts the later one counts, and nothing of the earlier one
    /// is kept; returns whether it is a later start.
    pub fn hear(&mut self, news: Registration) -> bool {
        match news.started_at_ms.cmp(&self.said.started_at_ms) {
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Equal => {
                self.hear_of_this_start(news);
                false
            }
            std::cmp::Ordering::Greater => {
                self.said = news;
                self.sure_from = 0;
                true
            }
        }
    }

    fn hear_of_this_start(&mut self, news: Registration) {
        if self.said.state == EndpointState::Gone {
            return;
        }
        let state = self.said.state.max(news.state);
        let warmup_ms = self.said.warmup_ms;
        if news.address.is_some() && news.sequence > self.said.sequence {
            self.said = news;
            if self.said.sequence < self.sure_from {
                self.said.warmup_ms = self.said.warmup_ms.max(warmup_ms);
            }
        }
        self.said.state = state;
    }

    /// It may have turned cold and not yet said so: it counts as cold until it has said
    /// the contrary twice.
    pub fn doubt(&mut self) {
        self.sure_from = self.said.sequence.saturating_add(SURE_AFTER_CALLS);
        count_as_cold(&mut self.said);
    }
}

/// Counts an endpoint as cold for as long as two of its heartbeats take.
pub(super) fn count_as_cold(said: &mut Registration) {
    said.warmup_ms = said.warmup_ms.max(RESTORED_WARMUP_MS);
}
