//! Strategies for a router to treat a notice of an endpoint whose start it may not know.

use std::net::SocketAddr;

use bramblecrank::notice::{Notice, RequestedRest, StartAddress, UnattributedNotices};

use crate::day::{ENDPOINT, KnownStart, ResponseHead};

/// Milliseconds for which [`Strategy::Rest`] excludes a start.
const EXCLUSION_MS: u64 = 20_000;

/// A strategy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The notice applies to the start that was known, and expires with it: the former strategy
    /// of the product.
    Forget,
    /// The notice applies to the next start too.
    Carry,
    /// Excludes a later start for [`EXCLUSION_MS`] if, by its own clock, it began before the
    /// answer arrived.
    Rest,
    /// Sends one request to a later start, whose answer decides.
    Trial,
    /// Queries a later start before sending to it: the strategy of the product.
    Ask,
}

/// Whether a router may send requests to the known start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    Send,
    QueryFirst,
    Wait,
}

/// The latest notice of a start, with times in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct RecordedNotice {
    start: u64,
    leaves: bool,
    rests_until: u64,
    received_at: u64,
}

impl RecordedNotice {
    fn refuses_work_at(&self, now: u64) -> bool {
        self.leaves || self.rests_until > now
    }
}

/// One router's view of one endpoint.
pub struct Router {
    strategy: Strategy,
    /// Attributed to the start that was known when the request was sent.
    recorded: RecordedNotice,
    unattributed: UnattributedNotices,
    /// The start that was sent a trial request.
    trial_sent_to: Option<u64>,
}

fn start_address(known: KnownStart) -> StartAddress<'static> {
    let address: SocketAddr = ([127, 0, 0, 1], 80).into();
    StartAddress { id: ENDPOINT, started_at_ms: known.started_at_ms, address }
}

impl Router {
    pub fn new(strategy: Strategy) -> Router {
        let unattributed = UnattributedNotices::default();
        Router { strategy, recorded: RecordedNotice::default(), unattributed, trial_sent_to: None }
    }

    pub fn permission(&mut self, now: u64, known: KnownStart) -> Permission {
        let recorded = self.recorded;
        let is_later = known.number > recorded.start;
        if !is_later && recorded.refuses_work_at(now) {
            return Permission::Wait;
        }
        let is_uncertain = is_later && recorded.refuses_work_at(now);
        match self.strategy {
            Strategy::Forget => Permission::Send,
            Strategy::Carry if is_uncertain => Permission::Wait,
            Strategy::Rest if is_uncertain => {
                let had_begun = known.started_at_ms <= recorded.received_at;
                let is_over = now >= recorded.received_at + EXCLUSION_MS;
                if had_begun && !is_over { Permission::Wait } else { Permission::Send }
            }
            Strategy::Trial if is_uncertain && self.trial_sent_to == Some(known.number) => {
                Permission::Wait
            }
            Strategy::Ask if self.unattributed.may_apply_to(now, start_address(known)) => {
                Permission::QueryFirst
            }
            _ => Permission::Send,
        }
    }

    pub fn record_sent(&mut self, now: u64, known: KnownStart) {
        if self.strategy == Strategy::Trial
            && known.number > self.recorded.start
            && self.recorded.refuses_work_at(now)
        {
            self.trial_sent_to = Some(known.number);
        }
    }

    /// Records an answer to a request that was sent when `sent_to` was the known start; `known`
    /// is the known start now.
    pub fn record_response(
        &mut self,
        now: u64,
        sent_to: KnownStart,
        known: KnownStart,
        head: ResponseHead,
    ) {
        let notice = Notice {
            is_leaving: head.leaves,
            rest: head.rests_ms.map_or(RequestedRest::None, RequestedRest::For),
        };
        self.unattributed.record(now, start_address(sent_to), &notice);
        if self.strategy == Strategy::Trial && self.trial_sent_to == Some(sent_to.number) {
            self.trial_sent_to = None;
            self.recorded = RecordedNotice { start: sent_to.number, ..RecordedNotice::default() };
        }
        let is_recorded = self.strategy == Strategy::Carry || sent_to.number == known.number;
        if !is_recorded || !notice.refuses_work() {
            return;
        }
        let rests_until = head.rests_ms.map_or(0, |duration_ms| now + duration_ms + 1);
        let before = Some(self.recorded).filter(|recorded| recorded.start == sent_to.number);
        let before = before.unwrap_or_default();
        self.recorded = RecordedNotice {
            start: sent_to.number,
            leaves: before.leaves || head.leaves,
            rests_until: before.rests_until.max(rests_until),
            received_at: now,
        };
    }
}
