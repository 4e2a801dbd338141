//! What answers said of an endpoint that a later start of it may have said.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::rest::rest_end;
use super::{Millis, Notice};

/// Endpoints of which notices are kept: more than a fleet has.
const MAX_ENDPOINTS: usize = 4_096;
/// Addresses of one endpoint of which notices are kept.
const MAX_ADDRESSES: usize = 4;

/// One start of an endpoint, and where it listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartAddress<'a> {
    /// The endpoint's id.
    pub id: &'a str,
    /// When it started, in milliseconds since the epoch by the endpoint's own clock.
    pub started_at_ms: u64,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What answers from one address said.
#[derive(Clone, Copy, Debug)]
struct Said {
    address: SocketAddr,
    /// The latest start that was known when the connection of the answer was opened.
    known_start_ms: u64,
    leaves: bool,
    rests_until: Millis,
    heard_at: Millis,
}

impl Said {
    fn holds(&self, now: Millis) -> bool {
        self.leaves || self.rests_until > now
    }

    fn may_apply_to(&self, start: StartAddress<'_>) -> bool {
        self.address == start.address && self.known_start_ms < start.started_at_ms
    }
}

/// Notices by endpoint that a later start than the known one may have given.
///
/// An endpoint may start again under its id and at its address, and answer before anybody
/// has heard of that start. An answer proves a start no earlier than the one that was known
/// when its connection was opened. Its notice counts for that one, and here for each later
/// one at the same address, until an answer on a connection opened since that one is known
/// shows what it says itself. Without this a start that leaves or rests gets work as soon as
/// it is known; if the notice simply counted for the next start, one that takes work could
/// be left out for good. Times of day are not compared: clocks differ.
#[derive(Clone, Debug, Default)]
pub struct UnattributedNotices {
    by_endpoint: BTreeMap<String, Vec<Said>>,
}

impl UnattributedNotices {
    /// An answer came on a connection to `start`, opened while that was the latest one known.
    pub fn record(&mut self, now: Millis, start: StartAddress<'_>, notice: &Notice) {
        self.forget_before(start);
        if !notice.refuses_work() {
            return;
        }
        if !self.by_endpoint.contains_key(start.id) && self.by_endpoint.len() >= MAX_ENDPOINTS {
            self.forget_oldest();
        }
        let said = Said {
            address: start.address,
            known_start_ms: start.started_at_ms,
            leaves: notice.leaves,
            rests_until: notice.rest.duration_ms().map_or(0, |time| rest_end(now, time)),
            heard_at: now,
        };
        merge(self.by_endpoint.entry(start.id.to_string()).or_default(), said);
    }

    /// Whether a notice may be of this start, which has not answered since it became known.
    pub fn may_apply_to(&self, now: Millis, start: StartAddress<'_>) -> bool {
        let said = self.by_endpoint.get(start.id).into_iter().flatten();
        said.into_iter().any(|said| said.holds(now) && said.may_apply_to(start))
    }

    /// Starts that were known when an answer said that the endpoint leaves, `most` of them.
    pub fn leaving(&self, most: usize) -> impl Iterator<Item = StartAddress<'_>> {
        let said = self.by_endpoint.iter().flat_map(|(id, all)| all.iter().map(move |s| (id, s)));
        let leaving = said.filter(|(_, said)| said.leaves).take(most);
        leaving.map(|(id, said)| StartAddress {
            id,
            started_at_ms: said.known_start_ms,
            address: said.address,
        })
    }

    /// An answer of `start` or a later one came: what was said before it was known is settled.
    fn forget_before(&mut self, start: StartAddress<'_>) {
        let Some(said) = self.by_endpoint.get_mut(start.id) else { return };
        said.retain(|said| !said.may_apply_to(start));
        if said.is_empty() {
            self.by_endpoint.remove(start.id);
        }
    }

    fn forget_oldest(&mut self) {
        let last = |all: &Vec<Said>| all.iter().map(|said| said.heard_at).max();
        let oldest = self.by_endpoint.iter().min_by_key(|(_, all)| last(all));
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.by_endpoint.remove(&id);
        }
    }
}

fn merge(all: &mut Vec<Said>, news: Said) {
    let Some(known) = all.iter_mut().find(|said| said.address == news.address) else {
        if all.len() >= MAX_ADDRESSES {
            all.remove(0);
        }
        all.push(news);
        return;
    };
    // A connection that was opened before may belong to the later start as well.
    known.known_start_ms = known.known_start_ms.min(news.known_start_ms);
    known.leaves |= news.leaves;
    known.rests_until = known.rests_until.max(news.rests_until);
    known.heard_at = news.heard_at;
}
