//! What is known of each endpoint, without I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::DrainedHalls;

/// Endpoints that are gone are remembered up to this number, so that a late
/// message does not bring one back.
const KEPT_GONE: usize = 4_096;

/// Milliseconds for which an endpoint counts as cold after its data hall was taken back:
/// two of its heartbeats, which come every 1.2 s on the platform.
const RESTORED_WARMUP_MS: u64 = 2_500;
/// Calls of an endpoint after which it is believed to be warm again: the first may have
/// been sent before.
const SURE_AFTER_CALLS: u64 = 2;

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
    /// Its id. It may start again under the same one: see `born`.
    pub id: String,
    /// When it started, in milliseconds since the epoch; 0 where it does not say. The
    /// higher of two is the later start, which knows nothing of the earlier one.
    pub born: u64,
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
}

impl Registration {
    /// The end of an endpoint of which nothing else need be known.
    pub fn gone(id: &str) -> Registration {
        Registration {
            id: id.to_string(),
            born: 0,
            service: String::new(),
            version: String::new(),
            address: None,
            hall: String::new(),
            slots: 0,
            state: EndpointState::Gone,
            warmup_ms: 0,
            sequence: 0,
        }
    }

    /// Whether others need to hear of the step from `before` to this.
    fn differs_from(&self, before: &Registration) -> bool {
        let of = |r: &Registration| (r.state, r.address, r.slots, r.warmup_ms > 0);
        let is_colder = self.warmup_ms > before.warmup_ms;
        of(self) != of(before) || self.service != before.service || is_colder
    }
}

/// An endpoint that was heard of.
#[derive(Clone, Debug)]
struct Known {
    said: Registration,
    /// Number of the change that was its last.
    change: u64,
    /// Whether the endpoint itself said that change here.
    first_hand: bool,
    /// Before this call nothing that it says of being warm is believed: it may have
    /// been under way since before its data hall was taken back.
    sure_from: u64,
}

/// From whom news of an endpoint came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hearing {
    /// The endpoint called here.
    FirstHand,
    /// Another process passed it on.
    SecondHand,
}

/// Which changes a listener wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Scope {
    /// All of them.
    #[default]
    All,
    /// Those that endpoints themselves said here.
    FirstHand,
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
}

impl Registry {
    /// Takes in what an endpoint said, directly or through another process.
    /// Returns what is known now if it differs in what routing looks at.
    pub fn merge(&mut self, news: Registration, hearing: Hearing) -> Option<Registration> {
        let first_hand = hearing == Hearing::FirstHand;
        self.remembered.remove(&news.id);
        let Some(known) = self.endpoints.get_mut(&news.id) else {
            let known = Known { said: news.clone(), change: 0, first_hand, sure_from: 0 };
            self.endpoints.insert(news.id.clone(), known);
            return Some(self.changed(news));
        };
        if known.said.state == EndpointState::Gone {
            return None;
        }
        let before = known.said.clone();
        let state = before.state.max(news.state);
        if news.address.is_some() && news.sequence > before.sequence {
            known.said = news;
            if known.said.sequence < known.sure_from {
                known.said.warmup_ms = known.said.warmup_ms.max(before.warmup_ms);
            }
        }
        known.said.state = state;
        let now = known.said.clone();
        if !now.differs_from(&before) {
            return None;
        }
        known.first_hand = first_hand;
        Some(self.changed(now))
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
            let known = self.endpoints.get(id).filter(|k| k.first_hand || scope == Scope::All);
            changes.endpoints.extend(known.map(|known| known.said.clone()));
        }
        changes
    }

    /// Adopts newer orders about data halls; returns whether they are newer. Endpoints
    /// of a hall that is taken back may have turned cold and not yet said so: they
    /// count as cold until they have said the contrary twice since.
    pub fn adopt_drained(&mut self, drained: DrainedHalls) -> bool {
        if drained.revision() <= self.drained.revision() {
            return false;
        }
        let before = std::mem::replace(&mut self.drained, drained);
        let is_back = |hall: &str| before.contains(hall) && !self.drained.contains(hall);
        let mut back = Vec::new();
        for known in self.endpoints.values_mut().filter(|known| is_back(&known.said.hall)) {
            known.sure_from = known.said.sequence + SURE_AFTER_CALLS;
            known.said.warmup_ms = known.said.warmup_ms.max(RESTORED_WARMUP_MS);
            back.push(known.said.clone());
        }
        back.into_iter().for_each(|endpoint| {
            self.changed(endpoint);
        });
        self.last_change += 1;
        true
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
        self.remembered.extend(unheard.into_iter().map(|e| (e.id.clone(), e)));
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
