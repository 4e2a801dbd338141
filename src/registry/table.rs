//! What is known of each endpoint, without I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

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
    /// Its id, new with each start.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
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
            service: String::new(),
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
        of(self) != of(before) || self.service != before.service
    }
}

/// All endpoints that were heard of.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    endpoints: BTreeMap<String, Registration>,
    /// Endpoints that took work before this host restarted, and have not been heard
    /// since.
    remembered: BTreeMap<String, Registration>,
    gone: std::collections::VecDeque<String>,
}

impl Registry {
    /// Takes in what an endpoint said, directly or through another process.
    /// Returns what is known now if it differs in what routing looks at.
    pub fn merge(&mut self, news: Registration) -> Option<Registration> {
        self.remembered.remove(&news.id);
        let Some(known) = self.endpoints.get_mut(&news.id) else {
            if news.state == EndpointState::Gone {
                self.remember_gone(&news.id);
            }
            self.endpoints.insert(news.id.clone(), news.clone());
            return Some(news);
        };
        if known.state == EndpointState::Gone {
            return None;
        }
        let before = known.clone();
        let state = known.state.max(news.state);
        if news.address.is_some() && news.sequence > known.sequence {
            *known = news;
        }
        known.state = state;
        let now = known.clone();
        if state == EndpointState::Gone {
            self.remember_gone(&now.id);
        }
        now.differs_from(&before).then_some(now)
    }

    fn remember_gone(&mut self, id: &str) {
        self.gone.push_back(id.to_string());
        if self.gone.len() > KEPT_GONE
            && let Some(oldest) = self.gone.pop_front()
        {
            self.endpoints.remove(&oldest);
        }
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
        self.endpoints.get(id).or_else(|| self.remembered.get(id))
    }

    /// All endpoints, those that are gone included.
    pub fn all(&self) -> impl Iterator<Item = &Registration> {
        self.endpoints.values()
    }

    /// Endpoints of a service that take work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Registration> {
        let is_ready =
            move |r: &&Registration| r.state == EndpointState::Ready && r.service == service;
        self.endpoints.values().chain(self.remembered.values()).filter(is_ready)
    }
}
