//! Ways for a router to treat the word of an endpoint whose start it may not know.

use std::net::SocketAddr;

use bramblecrank::notice::{Notice, RequestedRest, StartAddress, UnattributedNotices};

use crate::day::{ENDPOINT, Known, Said};

/// Milliseconds for which [`Way::Rest`] leaves a start out.
const LEFT_OUT_MS: u64 = 20_000;

/// A way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// The word counts for the start that was known, and ends with it: what was done before.
    Forget,
    /// The word counts for the next start too.
    Carry,
    /// A later start that had begun, by its own time, before the answer came is left out for
    /// some seconds.
    Rest,
    /// A later start is sent one request, and its answer decides.
    Trial,
    /// A later start is asked: what the product does.
    Ask,
}

/// What a router may do with the start that it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum May {
    Send,
    AskFirst,
    Wait,
}

/// What a start said of itself.
#[derive(Clone, Copy, Debug, Default)]
struct Word {
    start: u64,
    leaves: bool,
    rests_until: u64,
    heard_at: u64,
}

impl Word {
    fn bars(&self, now: u64) -> bool {
        self.leaves || self.rests_until > now
    }
}

/// One router's view of one endpoint.
pub struct Router {
    way: Way,
    /// By the start that was known when the request was sent.
    word: Word,
    unattributed: UnattributedNotices,
    /// A start that was sent its trial.
    tried: Option<u64>,
}

fn start_at(known: Known) -> StartAddress<'static> {
    let address: SocketAddr = ([127, 0, 0, 1], 80).into();
    StartAddress { id: ENDPOINT, started_at_ms: known.born_ms, address }
}

impl Router {
    pub fn new(way: Way) -> Router {
        let unattributed = UnattributedNotices::default();
        Router { way, word: Word::default(), unattributed, tried: None }
    }

    pub fn may(&mut self, now: u64, known: Known) -> May {
        let word = self.word;
        let is_later = known.number > word.start;
        if !is_later && word.bars(now) {
            return May::Wait;
        }
        let is_doubtful = is_later && word.bars(now);
        match self.way {
            Way::Forget => May::Send,
            Way::Carry if is_doubtful => May::Wait,
            Way::Rest if is_doubtful => {
                let had_begun = known.born_ms <= word.heard_at;
                let is_over = now >= word.heard_at + LEFT_OUT_MS;
                if had_begun && !is_over { May::Wait } else { May::Send }
            }
            Way::Trial if is_doubtful && self.tried == Some(known.number) => May::Wait,
            Way::Ask if self.unattributed.may_apply_to(now, start_at(known)) => May::AskFirst,
            _ => May::Send,
        }
    }

    pub fn sent(&mut self, now: u64, known: Known) {
        if self.way == Way::Trial && known.number > self.word.start && self.word.bars(now) {
            self.tried = Some(known.number);
        }
    }

    /// An answer came to a request that was sent when `sent_to` was known; `known` is now.
    pub fn answered(&mut self, now: u64, sent_to: Known, known: Known, said: Said) {
        let notice = Notice {
            is_leaving: said.leaves,
            rest: said.rests_ms.map_or(RequestedRest::None, RequestedRest::For),
        };
        self.unattributed.record(now, start_at(sent_to), &notice);
        if self.way == Way::Trial && self.tried == Some(sent_to.number) {
            self.tried = None;
            self.word = Word { start: sent_to.number, ..Word::default() };
        }
        let counts = self.way == Way::Carry || sent_to.number == known.number;
        if !counts || !notice.refuses_work() {
            return;
        }
        let rests_until = said.rests_ms.map_or(0, |time| now + time + 1);
        let before = Some(self.word).filter(|word| word.start == sent_to.number);
        let before = before.unwrap_or_default();
        self.word = Word {
            start: sent_to.number,
            leaves: before.leaves || said.leaves,
            rests_until: before.rests_until.max(rests_until),
            heard_at: now,
        };
    }
}
