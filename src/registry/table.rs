//! What is known of each endpoint, without I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::known::{Known, count_as_cold};
use super::{DrainedHalls, EndpointStart, Retirement};

/// Endpoints that are gone are remembered up to this number, so that a late
/// message does not bring one back.
const KEPT_GONE: usize = 4_096;

/// How far an endpoint's life has come. The order is that of life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It has ended.
    Gone,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Its id. It may start again under the same one: see `started_at_ms`.
    pub id: String,
    /// When it started, in milliseconds since the epoch; 0 where it does not say. The
    /// higher of two is the later start, which knows nothing of the earlier one.
    pub started_at_ms: u64,
    /// The service that it belongs to.
    pub service: String,
    /// The release of its software; empty where it does not say.
    pub version: String,
    /// Where it listens; none when only its end is known.
    pub address: Option<SocketAddr>,
    /// Its data hall.
    pub hall: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How far its life has come.
    pub state: EndpointState,
    /// Milliseconds for which it is still slow after its start.
    pub warmup_ms: u64,
    /// Rises with each of its calls.
    pub sequence: u64,
    /// How often this start was taken to have ended and went on calling: an end names no
    /// start. Of two the higher is the later news. Only the registry counts it.
    pub revivals: u32,
}

impl Registration {
    /// The end of an endpoint of which nothing else need be known.
    pub fn gone(id: &str) -> Registration {
        Registration {
            id: id.to_string(),
            started_at_ms: 0,
            service: String::new(),
            version: String::new(),
            address: None,
            hall: String::new(),
            slots: 0,
            state: EndpointState::Gone,
            warmup_ms: 0,
            sequence: 0,
            revivals: 0,
        }
    }

    /// Whether others need to hear of the step from `before` to this.
    fn differs_from(&self, before: &Registration) -> bool {
        let of = |r: &Registration| {
            (r.started_at_ms, r.revivals, r.state, r.address, r.slots, r.warmup_ms > 0)
        };
        let is_colder = self.warmup_ms > before.warmup_ms;
        let is_elsewhere = self.service != before.service || self.hall != before.hall;
        let is_other = is_elsewhere || self.version != before.version;
        of(self) != of(before) || is_other || is_colder
    }
}

/// From whom news of an endpoint came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The endpoint called here.
    Direct,
    /// Another process passed it on.
    Relayed,
}

/// Which changes a listener wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Scope {
    /// All of them.
    #[default]
    All,
    /// Those that endpoints themselves said here.
    Direct,
}

/// Endpoints that changed, in the order of their last changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Number of the last change that is contained.
    pub upto: u64,
    /// The endpoints as they are now.
    pub endpoints: Vec<Registration>,
}

/// All endpoints that were heard of.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    endpoints: BTreeMap<String, Known>,
    /// Endpoints by the number of their last change. What was told before is looked up
    /// here, so that who reads slowly costs no memory.
    by_change: BTreeMap<u64, String>,
    last_change: u64,
    /// Endpoints that took work before this host restarted, and have not been heard
    /// since.
    remembered: BTreeMap<String, Registration>,
    gone: std::collections::VecDeque<String>,
    drained: DrainedHalls,
    /// Data halls taken back a moment ago. What is learnt of their endpoints now may
    /// have been said before they turned cold.
    just_restored: BTreeSet<String>,
}

impl Registry {
    /// Takes in what an endpoint said, directly or through another process.
    /// Returns what is known now if it differs in what routing looks at.
    pub fn merge(&mut self, mut news: Registration, origin: Origin) -> Option<Registration> {
        let direct = origin == Origin::Direct;
        if direct && let Some(known) = self.get(&news.id) {
            if news.address.is_none() {
                // Who says only that it ends is taken to mean the start that is known.
                news.started_at_ms = known.started_at_ms;
            }
            if news.started_at_ms == known.started_at_ms {
                news.revivals = known.revivals;
            }
        }
        if !self.replaces_remembered(&news) {
            return None;
        }
        let is_doubtful = self.just_restored.contains(&news.hall);
        let Some(known) = self.endpoints.get_mut(&news.id) else {
            let mut known = Known::new(news, direct);
            if is_doubtful {
                known.doubt();
            }
            let now = known.said.clone();
            self.endpoints.insert(now.id.clone(), known);
            return Some(self.changed(now));
        };
        let before = known.said.clone();
        if known.hear(news, origin) && is_doubtful {
            known.doubt();
        }
        let now = known.said.clone();
        if !now.differs_from(&before) {
            return None;
        }
        known.direct = direct;
        if before.state == EndpointState::Gone {
            self.gone.retain(|id| *id != now.id);
        }
        Some(self.changed(now))
    }

    /// One start of an endpoint was heard to leave by other words than a registration.
    /// Returns what is known now, if this start was known to take work.
    pub fn record_leaving(
        &mut self,
        start: &EndpointStart,
        origin: Origin,
    ) -> Option<Registration> {
        let known = self.get(&start.id)?;
        let is_meant = known.started_at_ms == start.started_at_ms;
        if !is_meant || known.state != EndpointState::Ready {
            return None;
        }
        let leaving = Registration { state: EndpointState::Leaving, ..known.clone() };
        self.merge(leaving, origin)
    }

    /// At most so many endpoints that leave.
    pub fn leaving(&self, most: usize) -> Vec<EndpointStart> {
        let leaving = self.all().filter(|endpoint| endpoint.state == EndpointState::Leaving);
        leaving.take(most).map(EndpointStart::of).collect()
    }

    /// Whether one start of an endpoint is known to take new work.
    pub fn start_takes_work(&self, endpoint: &Registration) -> bool {
        let known = self.get_ready(&endpoint.id);
        known.is_some_and(|known| known.started_at_ms == endpoint.started_at_ms)
    }

    /// Whether news is of no earlier start than what is remembered, which it replaces.
    fn replaces_remembered(&mut self, news: &Registration) -> bool {
        if self
            .remembered
            .get(&news.id)
            .is_some_and(|before| before.started_at_ms > news.started_at_ms)
        {
            return false;
        }
        self.remembered.remove(&news.id);
        true
    }

    /// Endpoints take no more work since a roll-out ended: they do not say so themselves.
    /// Returns their number.
    pub fn retire(&mut self, retired: Retirement<'_>) -> usize {
        let before = self.remembered.len();
        self.remembered.retain(|_, said| !retired.includes(said));
        let forgotten = before - self.remembered.len();
        let mut changed = Vec::new();
        for known in self.endpoints.values_mut().filter(|known| retired.includes(&known.said)) {
            known.retire(retired.state());
            changed.push(known.said.clone());
        }
        let number = changed.len();
        changed.into_iter().for_each(|endpoint| {
            self.changed(endpoint);
        });
        number + forgotten
    }

    /// An endpoint has changed to `now`: gives the change a number.
    fn changed(&mut self, now: Registration) -> Registration {
        self.last_change += 1;
        if let Some(known) = self.endpoints.get_mut(&now.id) {
            self.by_change.remove(&known.change);
            known.change = self.last_change;
            self.by_change.insert(self.last_change, now.id.clone());
        }
        if now.state == EndpointState::Gone {
            self.remember_gone(&now.id);
        }
        now
    }

    fn remember_gone(&mut self, id: &str) {
        self.gone.push_back(id.to_string());
        if self.gone.len() > KEPT_GONE
            && let Some(oldest) = self.gone.pop_front()
            && let Some(known) = self.endpoints.remove(&oldest)
        {
            self.by_change.remove(&known.change);
        }
    }

    /// Number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// The first `most` endpoints that changed after change `after`.
    pub fn changes_after(&self, after: u64, most: usize, scope: Scope) -> Changes {
        let mut changes = Changes { upto: self.last_change, endpoints: Vec::new() };
        for (number, id) in self.by_change.range(after + 1..) {
            if changes.endpoints.len() == most {
                break;
            }
            changes.upto = *number;
            let known = self.endpoints.get(id).filter(|k| k.direct || scope == Scope::All);
            changes.endpoints.extend(known.map(|known| known.said.clone()));
        }
        changes
    }

    /// Adopts newer orders about data halls; returns whether they are newer. Endpoints
    /// of a hall that is taken back may have turned cold and not yet said so: they
    /// count as cold until they have said the contrary twice since, those too that are
    /// learnt of in the next moment.
    pub fn adopt_drained(&mut self, drained: DrainedHalls) -> bool {
        if drained.revision() <= self.drained.revision() {
            return false;
        }
        let before = std::mem::replace(&mut self.drained, drained);
        // Orders may have come together: what stood between them was never seen here.
        let back: BTreeSet<_> = self.drained.restored_after(before.revision()).collect();
        self.just_restored.retain(|hall| !self.drained.contains(hall));
        self.just_restored.extend(back.iter().map(|hall| hall.to_string()));
        let mut doubted = Vec::new();
        for known in self.endpoints.values_mut().filter(|k| back.contains(&*k.said.hall)) {
            known.doubt();
            doubted.push(known.said.clone());
        }
        self.remembered.values_mut().filter(|e| back.contains(&*e.hall)).for_each(count_as_cold);
        doubted.into_iter().for_each(|endpoint| {
            self.changed(endpoint);
        });
        self.last_change += 1;
        true
    }

    /// Since the order of this revision so much time has passed that what endpoints say
    /// now they say of the time after it.
    pub fn forget_restored(&mut self, revision: u64) {
        let (drained, just_restored) = (&self.drained, &mut self.just_restored);
        let later: BTreeSet<_> = drained.restored_after(revision).collect();
        just_restored.retain(|hall| later.contains(hall.as_str()));
    }

    /// The data halls whose endpoints get no new work.
    pub fn drained(&self) -> &DrainedHalls {
        &self.drained
    }

    /// Takes in endpoints that took work before a restart. They count as ready until
    /// they say something else, or are forgotten.
    pub fn remember(&mut self, endpoints: Vec<Registration>) {
        let unheard = endpoints.into_iter().filter(|e| !self.endpoints.contains_key(&e.id));
        let unheard: Vec<_> = unheard.filter(|e| e.state == EndpointState::Ready).collect();
        for mut endpoint in unheard {
            if self.just_restored.contains(&endpoint.hall) {
                count_as_cold(&mut endpoint);
            }
            let before = self.remembered.get(&endpoint.id).map(|before| before.started_at_ms);
            if before.is_none_or(|started_at_ms| started_at_ms <= endpoint.started_at_ms) {
                self.remembered.insert(endpoint.id.clone(), endpoint);
            }
        }
    }

    /// Endpoints that are remembered and were not heard since; returns their number.
    pub fn forget_remembered(&mut self) -> usize {
        std::mem::take(&mut self.remembered).len()
    }

    /// Endpoints that are only remembered.
    pub fn remembered(&self) -> impl Iterator<Item = &Registration> {
        self.remembered.values()
    }

    /// One endpoint.
    pub fn get(&self, id: &str) -> Option<&Registration> {
        let known = self.endpoints.get(id).map(|known| &known.said);
        known.or_else(|| self.remembered.get(id))
    }

    /// One endpoint, if it takes new work.
    pub fn get_ready(&self, id: &str) -> Option<&Registration> {
        self.get(id).filter(|endpoint| self.takes_work(endpoint))
    }

    /// All endpoints, those that are gone included.
    pub fn all(&self) -> impl Iterator<Item = &Registration> {
        self.endpoints.values().map(|known| &known.said)
    }

    /// Endpoints of a service that take work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Registration> {
        let is_ready = move |r: &&Registration| r.service == service && self.takes_work(r);
        self.all().chain(self.remembered.values()).filter(is_ready)
    }

    /// Whether an endpoint gets new work.
    fn takes_work(&self, endpoint: &Registration) -> bool {
        endpoint.state == EndpointState::Ready && !self.drained.contains(&endpoint.hall)
    }
}
