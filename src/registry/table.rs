//! The records of all endpoints, without I/O.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::ready_index::ReadyIndex;
use super::record::{EndpointRecord, count_as_cold};
use super::{DrainedHalls, EndpointStart, EndpointState, Origin, Registration, Retirement};

/// Number of ended endpoints that are kept at least, so that a late message does not bring one
/// back. As many are kept as there are others, since a release may replace all of them within
/// seconds.
const MIN_GONE_KEPT: usize = 4_096;

/// Changes that a listener receives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Scope {
    /// All of them.
    #[default]
    All,
    /// Those that endpoints themselves sent to this process.
    Direct,
}

/// Endpoints that changed, in the order of their last changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Number of the last change that is contained.
    pub upto: u64,
    /// The current registrations of the endpoints.
    pub endpoints: Vec<Registration>,
}

/// All known endpoints, and the drained data halls.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    endpoints: BTreeMap<String, EndpointRecord>,
    /// Endpoint ids by the number of their last change. Changes are read from here, so that
    /// a slow listener costs no memory.
    by_change: BTreeMap<u64, String>,
    last_change: u64,
    /// Rises with each change of many endpoints that is not in `by_change`.
    bulk_changes: u64,
    ready: ReadyIndex,
    /// Endpoints that accepted requests before this host restarted, and have not registered since.
    remembered: BTreeMap<String, Registration>,
    /// Ids of ended endpoints, the earliest end first.
    gone: std::collections::VecDeque<String>,
    drained: DrainedHalls,
    /// Data halls restored a short time ago. Updates of their endpoints received now may have
    /// been sent before the endpoints turned cold.
    just_restored: BTreeSet<String>,
}

impl Registry {
    /// Merges an update, received from the endpoint or through another process. Returns the
    /// current registration if it changed in a field that routing uses.
    pub fn merge(&mut self, mut update: Registration, origin: Origin) -> Option<Registration> {
        let direct = origin == Origin::Direct;
        if direct && let Some(known) = self.get(&update.id) {
            if update.address.is_none() {
                // An end without a start counts as that of the recorded start.
                update.started_at_ms = known.started_at_ms;
            }
            if update.started_at_ms == known.started_at_ms {
                update.revivals = known.revivals;
            }
        }
        if direct && update.address.is_none() {
            self.record_remembered(&update.id);
        }
        if !self.replaces_remembered(&update) {
            return None;
        }
        let may_be_cold = self.just_restored.contains(&update.hall);
        let Some(record) = self.endpoints.get_mut(&update.id) else {
            let mut record = EndpointRecord::new(update, direct);
            if may_be_cold {
                record.presume_cold();
            }
            let current = record.registration.clone();
            self.endpoints.insert(current.id.clone(), record);
            return Some(self.record_change(current));
        };
        let before = record.registration.clone();
        if record.merge(update, origin) && may_be_cold {
            record.presume_cold();
        }
        let current = record.registration.clone();
        if !current.differs_from(&before) {
            return None;
        }
        record.direct = direct;
        if before.state == EndpointState::Gone {
            self.gone.retain(|id| *id != current.id);
        }
        Some(self.record_change(current))
    }

    /// Records a start that is leaving, as reported by other means than a registration.
    /// Returns the current registration, if this start was recorded as accepting requests.
    pub fn record_leaving(
        &mut self,
        start: &EndpointStart,
        origin: Origin,
    ) -> Option<Registration> {
        let known = self.get(&start.id)?;
        let is_same_start = known.started_at_ms == start.started_at_ms;
        if !is_same_start || known.state != EndpointState::Ready {
            return None;
        }
        let leaving = Registration { state: EndpointState::Leaving, ..known.clone() };
        self.merge(leaving, origin)
    }

    /// At most `limit` endpoints that are leaving.
    pub fn leaving(&self, limit: usize) -> Vec<EndpointStart> {
        let leaving = self.all().filter(|endpoint| endpoint.state == EndpointState::Leaving);
        leaving.take(limit).map(EndpointStart::of).collect()
    }

    /// Whether the start and version of this registration are the recorded ones and accept new
    /// requests.
    pub fn start_accepts_requests(&self, endpoint: &Registration) -> bool {
        let known = self.get_ready(&endpoint.id);
        known.is_some_and(|known| {
            known.started_at_ms == endpoint.started_at_ms && known.version == endpoint.version
        })
    }

    /// Records an endpoint remembered from before the restart as if it had registered, so that
    /// its end is merged with what is known of it.
    fn record_remembered(&mut self, id: &str) {
        if let Some(before) = self.remembered.remove(id) {
            self.endpoints.insert(id.to_string(), EndpointRecord::new(before, false));
        }
    }

    /// Whether an update is of no earlier start than the endpoint remembered from before the
    /// restart; if so, removes the latter.
    fn replaces_remembered(&mut self, update: &Registration) -> bool {
        if self
            .remembered
            .get(&update.id)
            .is_some_and(|before| before.started_at_ms > update.started_at_ms)
        {
            return false;
        }
        self.remembered.remove(&update.id);
        true
    }

    /// Retires endpoints because a rollout ended; they do not report this themselves.
    /// Returns their number.
    pub fn retire(&mut self, retirement: Retirement<'_>) -> usize {
        let before = self.remembered.len();
        self.remembered.retain(|_, registration| !retirement.includes(registration));
        let removed = before - self.remembered.len();
        self.bulk_changes += u64::from(removed > 0);
        let mut changed = Vec::new();
        for record in
            self.endpoints.values_mut().filter(|record| retirement.includes(&record.registration))
        {
            record.retire(retirement.state());
            changed.push(record.registration.clone());
        }
        let number = changed.len();
        changed.into_iter().for_each(|endpoint| {
            self.record_change(endpoint);
        });
        number + removed
    }

    /// Numbers the change of an endpoint to the registration `current`, and returns that.
    fn record_change(&mut self, current: Registration) -> Registration {
        self.last_change += 1;
        if let Some(record) = self.endpoints.get_mut(&current.id) {
            self.by_change.remove(&record.change);
            record.change = self.last_change;
            self.by_change.insert(self.last_change, current.id.clone());
            let service = (current.state == EndpointState::Ready).then(|| current.service.clone());
            if record.listed_under != service {
                let listed_under = std::mem::replace(&mut record.listed_under, service.clone());
                self.ready.relist(&current.id, listed_under, service);
            }
        }
        if current.state == EndpointState::Gone {
            self.record_gone(&current.id);
        }
        current
    }

    fn record_gone(&mut self, id: &str) {
        self.gone.push_back(id.to_string());
        if self.gone.len() > MIN_GONE_KEPT.max(self.endpoints.len() / 2)
            && let Some(oldest) = self.gone.pop_front()
            && let Some(record) = self.endpoints.remove(&oldest)
        {
            self.by_change.remove(&record.change);
        }
    }

    /// Number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Rises with each change that [`Registry::changes_after`] does not contain: of the drained
    /// data halls, and of endpoints remembered from before a restart.
    pub fn bulk_changes(&self) -> u64 {
        self.bulk_changes
    }

    /// The first `limit` endpoints that changed after the change numbered `after`.
    pub fn changes_after(&self, after: u64, limit: usize, scope: Scope) -> Changes {
        let mut changes = Changes { upto: self.last_change, endpoints: Vec::new() };
        for (number, id) in self.by_change.range(after + 1..) {
            if changes.endpoints.len() == limit {
                break;
            }
            changes.upto = *number;
            let record = self.endpoints.get(id).filter(|k| k.direct || scope == Scope::All);
            changes.endpoints.extend(record.map(|record| record.registration.clone()));
        }
        changes
    }

    /// Adopts the drained data halls if their revision is newer; returns whether it is.
    /// Endpoints of a restored hall may have turned cold without having reported it yet: they
    /// count as cold until they have reported twice that they are warm. This includes
    /// endpoints learned of until [`Registry::forget_restored`].
    pub fn adopt_drained(&mut self, drained: DrainedHalls) -> bool {
        if drained.revision() <= self.drained.revision() {
            return false;
        }
        self.bulk_changes += 1;
        let before = std::mem::replace(&mut self.drained, drained);
        // Several orders may arrive as one, so halls that were drained and restored in between
        // have not been recorded here as drained.
        let restored: BTreeSet<_> = self.drained.restored_after(before.revision()).collect();
        self.just_restored.retain(|hall| !self.drained.contains(hall));
        self.just_restored.extend(restored.iter().map(|hall| hall.to_string()));
        let mut presumed_cold = Vec::new();
        for record in
            self.endpoints.values_mut().filter(|k| restored.contains(&*k.registration.hall))
        {
            record.presume_cold();
            presumed_cold.push(record.registration.clone());
        }
        self.remembered
            .values_mut()
            .filter(|e| restored.contains(&*e.hall))
            .for_each(count_as_cold);
        presumed_cold.into_iter().for_each(|endpoint| {
            self.record_change(endpoint);
        });
        self.last_change += 1;
        true
    }

    /// Ends the special treatment of halls restored up to this revision: updates received
    /// from now on were sent after the order.
    pub fn forget_restored(&mut self, revision: u64) {
        let (drained, just_restored) = (&self.drained, &mut self.just_restored);
        let later: BTreeSet<_> = drained.restored_after(revision).collect();
        just_restored.retain(|hall| later.contains(hall.as_str()));
    }

    /// The data halls whose endpoints get no new requests.
    pub fn drained(&self) -> &DrainedHalls {
        &self.drained
    }

    /// Adds endpoints that accepted requests before this host restarted. They count as ready
    /// until they register again, or [`Registry::forget_remembered`] removes them.
    pub fn remember(&mut self, endpoints: Vec<Registration>) {
        let unconfirmed = endpoints.into_iter().filter(|e| !self.endpoints.contains_key(&e.id));
        let unconfirmed: Vec<_> = unconfirmed.filter(|e| e.state == EndpointState::Ready).collect();
        self.bulk_changes += u64::from(!unconfirmed.is_empty());
        for mut endpoint in unconfirmed {
            if self.just_restored.contains(&endpoint.hall) {
                count_as_cold(&mut endpoint);
            }
            let before = self.remembered.get(&endpoint.id).map(|before| before.started_at_ms);
            if before.is_none_or(|started_at_ms| started_at_ms <= endpoint.started_at_ms) {
                self.remembered.insert(endpoint.id.clone(), endpoint);
            }
        }
    }

    /// Removes the endpoints remembered from before a restart that have not registered since;
    /// returns their number.
    pub fn forget_remembered(&mut self) -> usize {
        let forgotten = std::mem::take(&mut self.remembered).len();
        self.bulk_changes += u64::from(forgotten > 0);
        forgotten
    }

    /// Whether an endpoint is only remembered from before a restart: what it runs may have changed
    /// since.
    pub fn is_remembered(&self, id: &str) -> bool {
        self.remembered.contains_key(id)
    }

    /// Endpoints remembered from before a restart that have not registered since.
    pub fn remembered(&self) -> impl Iterator<Item = &Registration> {
        self.remembered.values()
    }

    /// The current registration of an endpoint.
    pub fn get(&self, id: &str) -> Option<&Registration> {
        let record = self.endpoints.get(id).map(|record| &record.registration);
        record.or_else(|| self.remembered.get(id))
    }

    /// The current registration of an endpoint, if it accepts new requests.
    pub fn get_ready(&self, id: &str) -> Option<&Registration> {
        self.get(id).filter(|endpoint| self.accepts_requests(endpoint))
    }

    /// All endpoints that have registered, including ended ones.
    pub fn all(&self) -> impl Iterator<Item = &Registration> {
        self.endpoints.values().map(|record| &record.registration)
    }

    /// Endpoints of a service that accept new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Registration> {
        self.ready_from(service, 0)
    }

    /// Endpoints of a service that accept new requests, those first that follow `start` in the
    /// order of [`crate::eligibility::order_of`].
    pub fn ready_from<'a>(
        &'a self,
        service: &'a str,
        start: u32,
    ) -> impl Iterator<Item = &'a Registration> {
        let records = self.ready.ids_from(service, start).filter_map(|id| self.endpoints.get(id));
        let registered = records.map(|record| &record.registration);
        registered.filter(|r| self.accepts_requests(r)).chain(self.remembered_ready(service))
    }

    /// The number of endpoints of a service that accept new requests.
    pub fn ready_count(&self, service: &str) -> usize {
        let all_listed = self.drained.names().next().is_none() && self.remembered.is_empty();
        match all_listed {
            true => self.ready.len(service),
            false => self.ready(service).count(),
        }
    }

    fn remembered_ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Registration> {
        let is_ready = move |r: &&Registration| r.service == service && self.accepts_requests(r);
        self.remembered.values().filter(is_ready)
    }

    /// Whether an endpoint accepts new requests: it is ready, and its data hall is not drained.
    fn accepts_requests(&self, endpoint: &Registration) -> bool {
        endpoint.state == EndpointState::Ready && !self.drained.contains(&endpoint.hall)
    }
}
