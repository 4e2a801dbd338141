//! Notices from answers that may have come from a later start of an endpoint than the known one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::rest::rest_end;
use super::{Millis, Notice};

/// Endpoints whose notices are kept: more than a fleet has.
const MAX_ENDPOINTS: usize = 4_096;
/// Addresses per endpoint whose notices are kept.
const MAX_ADDRESSES: usize = 4;

/// One start of an endpoint, and the address at which it listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartAddress<'a> {
    /// The endpoint's id.
    pub id: &'a str,
    /// When it started, in milliseconds since the epoch by the endpoint's own clock.
    pub started_at_ms: u64,
    /// The address at which it listens.
    pub address: SocketAddr,
}

/// The notices in answers from one address, combined.
#[derive(Clone, Copy, Debug)]
struct AddressNotice {
    address: SocketAddr,
    /// The latest start that was known when the connection of the answer was opened.
    known_start_ms: u64,
    is_leaving: bool,
    resting_until: Millis,
    received_at: Millis,
}

impl AddressNotice {
    fn is_active(&self, now: Millis) -> bool {
        self.is_leaving || self.resting_until > now
    }

    fn may_apply_to(&self, start: StartAddress<'_>) -> bool {
        self.address == start.address && self.known_start_ms < start.started_at_ms
    }
}

/// Notices by endpoint that may have come from a later start than the known one.
///
/// An endpoint may restart under the same id and address, and answer before any host has recorded
/// the new start. So an answer comes from the start that was known when its connection was opened,
/// or from a later one. Its notice counts for the known start, and is kept here for every later
/// start at the same address until that start answers on a connection opened after it became
/// known. Without this, a leaving or resting start would get requests as soon as it is known. If
/// the notice simply counted for the next start, a start that accepts requests could be left out
/// for good. Times of day are not compared, because clocks differ.
#[derive(Clone, Debug, Default)]
pub struct UnattributedNotices {
    by_endpoint: BTreeMap<String, Vec<AddressNotice>>,
}

impl UnattributedNotices {
    /// Records the notice of an answer on a connection that was opened while `start` was the latest
    /// known start. Returns how many milliseconds are left of an earlier rest that `start` may have
    /// requested before it was known, if it requests one by this notice as well; otherwise 0.
    pub fn record(&mut self, now: Millis, start: StartAddress<'_>, notice: &Notice) -> Millis {
        let earlier_rest_end = self.discard_superseded(start);
        if !notice.refuses_work() {
            return 0;
        }
        let requested_rest_end = notice.rest.duration_ms().map(|time| rest_end(now, time));
        let resting_until = requested_rest_end.map_or(0, |end| end.max(earlier_rest_end));
        if !self.by_endpoint.contains_key(start.id) && self.by_endpoint.len() >= MAX_ENDPOINTS {
            self.evict_oldest();
        }
        let received = AddressNotice {
            address: start.address,
            known_start_ms: start.started_at_ms,
            is_leaving: notice.is_leaving,
            resting_until,
            received_at: now,
        };
        merge(self.by_endpoint.entry(start.id.to_string()).or_default(), received);
        requested_rest_end.map_or(0, |_| earlier_rest_end.saturating_sub(now))
    }

    /// Whether a notice may have come from this start, which has not answered since it became
    /// known.
    pub fn may_apply_to(&self, now: Millis, start: StartAddress<'_>) -> bool {
        let notices = self.by_endpoint.get(start.id).into_iter().flatten();
        notices.into_iter().any(|notice| notice.is_active(now) && notice.may_apply_to(start))
    }

    /// Starts that were known when an answer reported that the endpoint is leaving, at most `max`.
    pub fn leaving(&self, max: usize) -> impl Iterator<Item = StartAddress<'_>> {
        let notices = self
            .by_endpoint
            .iter()
            .flat_map(|(id, all)| all.iter().map(move |notice| (id, notice)));
        let leaving = notices.filter(|(_, notice)| notice.is_leaving).take(max);
        leaving.map(|(id, notice)| StartAddress {
            id,
            started_at_ms: notice.known_start_ms,
            address: notice.address,
        })
    }

    /// Discards notices from before `start` was known, since `start` or a later one has answered.
    /// Returns when the last of the rests in them ends; 0 if there was none.
    fn discard_superseded(&mut self, start: StartAddress<'_>) -> Millis {
        let Some(notices) = self.by_endpoint.get_mut(start.id) else { return 0 };
        let superseded = notices.extract_if(.., |notice| notice.may_apply_to(start));
        let last_rest_end = superseded.map(|notice| notice.resting_until).max().unwrap_or(0);
        if notices.is_empty() {
            self.by_endpoint.remove(start.id);
        }
        last_rest_end
    }

    fn evict_oldest(&mut self) {
        let last_received =
            |all: &Vec<AddressNotice>| all.iter().map(|notice| notice.received_at).max();
        let oldest = self.by_endpoint.iter().min_by_key(|(_, all)| last_received(all));
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.by_endpoint.remove(&id);
        }
    }
}

fn merge(all: &mut Vec<AddressNotice>, new: AddressNotice) {
    let Some(known) = all.iter_mut().find(|notice| notice.address == new.address) else {
        if all.len() >= MAX_ADDRESSES {
            all.remove(0);
        }
        all.push(new);
        return;
    };
    // An answer on an earlier connection may have come from the later start as well.
    known.known_start_ms = known.known_start_ms.min(new.known_start_ms);
    known.is_leaving |= new.is_leaving;
    known.resting_until = known.resting_until.max(new.resting_until);
    known.received_at = new.received_at;
}
