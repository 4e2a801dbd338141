//! What control hosts last said of the fleet, without I/O.

use std::collections::BTreeMap;

use super::LeaderNews;
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Milliseconds for which a smaller number of routers is not believed. A control
/// host that restarts hears routers one after the other, and each router would take
/// a larger part of what they share; the longest window of those bounds is 10 s.
const FALL_AFTER_MS: Millis = 10_000;

/// Milliseconds after which what control hosts said may not hold any more: one keep-alive
/// is missing, so the connections may be dead. Callers count on a configuration 2 s after
/// it was accepted; until then a router may deny what it does not know.
const CONFIRMED_MS: Millis = 1_500;

/// Milliseconds between two ticks from which on this process counts as having stood still:
/// what it reads next may have been said long before.
const STOOD_STILL_MS: Millis = 500;

/// What one control host last said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct HostNews {
    leader: LeaderNews,
    routers: usize,
    /// When it last said anything.
    heard: Millis,
    /// The last waking of this process since which it is known to have said something.
    spoke_since: u64,
}

/// What the control hosts with an open feed last said.
#[derive(Clone, Debug, Default)]
pub struct News {
    hosts: BTreeMap<HostId, HostNews>,
    routers: usize,
    falls_at: Option<Millis>,
    ticked: Option<Millis>,
    /// How often this process stood still.
    wakings: u64,
}

impl News {
    /// A feed was opened.
    pub fn opened(&mut self, now: Millis, from: HostId) {
        let spoke_since = self.wakings;
        self.hosts.insert(from, HostNews { heard: now, spoke_since, ..HostNews::default() });
    }

    /// To be called some times a second. Returns whether the process stood still since the
    /// last time, as when its host is suspended: what is read then was said before, and only
    /// an answer to a question asked now shows that a control host speaks.
    pub fn tick(&mut self, now: Millis) -> bool {
        let stood_still = !self.is_awake(now);
        self.ticked = Some(now);
        self.wakings += u64::from(stood_still);
        stood_still
    }

    /// How often this process stood still, and the control hosts that have not spoken since
    /// the last time.
    pub fn not_spoken(&self) -> (u64, Vec<HostId>) {
        let silent = self.hosts.iter().filter(|(_, news)| news.spoke_since != self.wakings);
        (self.wakings, silent.map(|(host, _)| *host).collect())
    }

    /// A control host answered what was asked at a waking.
    pub fn spoke_since(&mut self, from: HostId, waking: u64) {
        if let Some(news) = self.hosts.get_mut(&from) {
            news.spoke_since = waking;
        }
    }

    /// Whether what is read of a control host now was said a moment ago.
    pub fn speaks_now(&self, now: Millis, from: HostId) -> bool {
        self.is_awake(now)
            && self.hosts.get(&from).is_some_and(|news| news.spoke_since == self.wakings)
    }

    fn is_awake(&self, now: Millis) -> bool {
        self.ticked.is_none_or(|ticked| now.saturating_sub(ticked) < STOOD_STILL_MS)
    }

    /// A feed said something.
    pub fn heard(&mut self, now: Millis, from: HostId) {
        if let Some(news) = self.hosts.get_mut(&from) {
            news.heard = now;
        }
    }

    /// Milliseconds since the feed that spoke last did so; none where none is open.
    pub fn shortest_silence_ms(&self, now: Millis) -> Option<Millis> {
        self.hosts.values().map(|news| now.saturating_sub(news.heard)).min()
    }

    /// Whether a newer configuration would be known here, but for what is on its way: a
    /// control host that `is_live`, was heard lately, and knows the newest leader has
    /// applied all that was accepted before.
    pub fn is_confirmed(&self, now: Millis, is_live: impl Fn(HostId) -> bool) -> bool {
        let live = || self.hosts.iter().filter(|(host, _)| is_live(**host));
        let leaders = live().map(|(_, news)| news.leader).filter(|news| news.leader.is_some());
        let newest_term = leaders.map(|news| news.term).max();
        live().any(|(host, news)| {
            self.speaks_now(now, *host)
                && news.leader.leader.is_some()
                && Some(news.leader.term) == newest_term
                && news.leader.has_caught_up
                && now.saturating_sub(news.heard) < CONFIRMED_MS
        })
    }

    /// Milliseconds for which the feed that is silent longest has said nothing.
    pub fn longest_silence_ms(&self, now: Millis) -> Option<Millis> {
        self.hosts.values().map(|news| now.saturating_sub(news.heard)).max()
    }

    /// A feed has ended: what it said may not hold any more.
    pub fn lost(&mut self, from: HostId) {
        self.hosts.remove(&from);
    }

    /// A control host said who leads, if it knows, and in which term.
    pub fn set_leader(&mut self, from: HostId, leader: LeaderNews) {
        if let Some(news) = self.hosts.get_mut(&from) {
            news.leader = leader;
        }
    }

    /// A control host said how many routers it hears.
    pub fn set_routers(&mut self, now: Millis, from: HostId, routers: usize) {
        if let Some(news) = self.hosts.get_mut(&from) {
            news.routers = routers;
        }
        self.settle_routers(now);
    }

    /// Control hosts with an open feed.
    pub fn open_feeds(&self) -> usize {
        self.hosts.len()
    }

    /// The leader of the highest term that a control host names which `is_live`.
    pub fn leader(&self, is_live: impl Fn(HostId) -> bool) -> Option<HostId> {
        self.leadership(is_live).map(|(_, leader)| leader)
    }

    /// The same, and its term.
    pub fn leadership(&self, is_live: impl Fn(HostId) -> bool) -> Option<(u64, HostId)> {
        let live = self.hosts.iter().filter(|(host, _)| is_live(**host));
        let named = live.filter_map(|(_, news)| Some((news.leader.term, news.leader.leader?)));
        named.max_by_key(|(term, _)| *term)
    }

    /// The most routers that a control host hears; 1 before any has said so. It
    /// rises at once and falls after [`FALL_AFTER_MS`].
    pub fn routers(&mut self, now: Millis) -> usize {
        self.settle_routers(now);
        self.routers.max(1)
    }

    fn settle_routers(&mut self, now: Millis) {
        // Without a feed nothing is known of any change.
        let told = self.hosts.values().map(|news| news.routers).max().filter(|n| *n > 0);
        let told = told.unwrap_or(self.routers);
        let is_believed =
            told >= self.routers || now >= *self.falls_at.get_or_insert(now + FALL_AFTER_MS);
        if is_believed {
            self.routers = told;
            self.falls_at = None;
        }
    }
}
