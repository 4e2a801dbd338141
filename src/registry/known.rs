//! What is known of one endpoint, and how news of it merges.

use std::cmp::Ordering;

use super::{EndpointState, Origin, Registration};

/// Milliseconds for which an endpoint counts as cold after its data hall was taken back:
/// two of its heartbeats, which come every 1.2 s on the platform.
pub(super) const RESTORED_WARMUP_MS: u64 = 2_500;
/// Calls of an endpoint after which it is believed to be warm again: the first may have
/// been sent before.
const SURE_AFTER_CALLS: u64 = 2;

/// Calls by which a start that was taken to have ended shows that it goes on: as many as
/// may have been under way when its end was heard.
const CALLS_AFTER_END: u64 = 4;

/// The first call of a start since an end that may have been another's.
#[derive(Clone, Copy, Debug)]
struct FirstCall {
    started_at_ms: u64,
    sequence: u64,
}

/// An endpoint that was heard of.
#[derive(Clone, Debug)]
pub(super) struct Known {
    /// What it said last.
    pub said: Registration,
    /// Number of the change that was its last.
    pub change: u64,
    /// Whether the endpoint itself said that change here.
    pub direct: bool,
    /// Before this call nothing that it says of being warm is believed: it may have
    /// been under way since before its data hall was taken back.
    sure_from: u64,
    /// The first call that was heard here of a start since it was taken to have ended.
    first_since_end: Option<FirstCall>,
    /// Whether this start was heard to leave.
    leaves: bool,
    /// Whether its end is certain to be this start's: it named it, or a roll-out ended it.
    ended_for_good: bool,
}

impl Known {
    /// An endpoint of which nothing was known.
    pub fn new(said: Registration, direct: bool) -> Known {
        let leaves = said.state == EndpointState::Leaving;
        let ended_for_good = direct && names_its_end(&said);
        Known {
            said,
            change: 0,
            direct,
            sure_from: 0,
            first_since_end: None,
            leaves,
            ended_for_good,
        }
    }

    /// Takes news in. Of two starts the later one counts, and nothing of the earlier one
    /// is kept; returns whether it is a later start.
    pub fn hear(&mut self, news: Registration, origin: Origin) -> bool {
        if is_bare_end(&self.said) && !is_bare_end(&news) {
            return self.hear_behind_bare_end(news, origin);
        }
        if is_bare_end(&news) && self.said.revivals > 0 && origin == Origin::Relayed {
            // The start has gone on since.
            return false;
        }
        let order = news.started_at_ms.cmp(&self.said.started_at_ms);
        match order.then(news.revivals.cmp(&self.said.revivals)) {
            Ordering::Less => false,
            Ordering::Equal => {
                self.hear_of_this_start(news, origin);
                false
            }
            Ordering::Greater if order.is_gt() => {
                self.replace(news, origin);
                true
            }
            Ordering::Greater => {
                self.revive(news);
                false
            }
        }
    }

    fn replace(&mut self, news: Registration, origin: Origin) {
        let change = self.change;
        *self = Known { change, ..Known::new(news, origin == Origin::Direct) };
    }

    /// Only an end is known, with the latest start that it may have been of.
    fn hear_behind_bare_end(&mut self, news: Registration, origin: Origin) -> bool {
        if news.started_at_ms > self.said.started_at_ms || news.revivals > self.said.revivals {
            self.replace(news, origin);
            return true;
        }
        if origin == Origin::Direct && news.state != EndpointState::Gone {
            self.hear_after_end(news);
        }
        false
    }

    fn hear_of_this_start(&mut self, news: Registration, origin: Origin) {
        let direct = origin == Origin::Direct;
        self.leaves |= news.state == EndpointState::Leaving;
        self.ended_for_good |= direct && names_its_end(&news);
        if self.said.state == EndpointState::Gone {
            if direct && news.state != EndpointState::Gone {
                self.hear_after_end(news);
            }
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

    /// The end may have been that of an earlier start, heard late. Calls that go on are this
    /// one's; a few may have been under way since before the end.
    fn hear_after_end(&mut self, mut news: Registration) {
        let started_at_ms = news.started_at_ms;
        let first = match self.first_since_end {
            Some(first) if first.started_at_ms >= started_at_ms => first,
            _ => FirstCall { started_at_ms, sequence: news.sequence },
        };
        self.first_since_end = Some(first);
        let goes_on = news.sequence >= first.sequence + CALLS_AFTER_END;
        if first.started_at_ms == started_at_ms && goes_on {
            news.revivals += 1;
            self.revive(news);
        }
    }

    fn revive(&mut self, news: Registration) {
        if self.ended_for_good {
            return;
        }
        self.said = news;
        self.first_since_end = None;
        if self.leaves {
            self.said.state = self.said.state.max(EndpointState::Leaving);
        }
    }

    /// It takes no more work since a roll-out ended.
    pub fn retire(&mut self, state: EndpointState) {
        self.said.state = state;
        self.direct = false;
        self.ended_for_good = true;
    }

    /// It may have turned cold and not yet said so: it counts as cold until it has said
    /// the contrary twice.
    pub fn doubt(&mut self) {
        self.sure_from = self.said.sequence.saturating_add(SURE_AFTER_CALLS);
        count_as_cold(&mut self.said);
    }
}

/// Whether all that is said is that some start has ended.
fn is_bare_end(said: &Registration) -> bool {
    said.state == EndpointState::Gone && said.address.is_none()
}

/// Whether an endpoint says which of its starts has ended.
fn names_its_end(said: &Registration) -> bool {
    said.state == EndpointState::Gone && said.address.is_some()
}

/// Counts an endpoint as cold for as long as two of its heartbeats take.
pub(super) fn count_as_cold(said: &mut Registration) {
    said.warmup_ms = said.warmup_ms.max(RESTORED_WARMUP_MS);
}
