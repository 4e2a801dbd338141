//! Decides which feeds to open and which to end, without I/O.
//!
//! A host is suspected when its heartbeats, which are datagrams, stop. Its feed has a
//! connection of its own that may still work, so a suspicion ends no feed. A feed that
//! delivered nothing while its host was suspected may have a dead connection, so it is
//! replaced once the host is live again.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::member::View;
use crate::wire::{Heartbeat, HostId, Role};

/// Why a feed is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its host has restarted.
    Restarted,
    /// It delivered nothing while its host was suspected.
    Silent,
    /// Its host is no longer in the view.
    Forgotten,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Reason::Restarted => "has restarted",
            Reason::Silent => "is back, the feed was silent meanwhile",
            Reason::Forgotten => "is no longer in the view",
        })
    }
}

/// What to do with a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// End the feed of this host.
    End(HostId, Reason),
    /// Open a feed of this host, at its address for peers.
    Open(HostId, SocketAddr),
}

#[derive(Clone, Copy, Debug)]
struct Feed {
    incarnation: u64,
    /// The number of messages delivered when its host became suspected; `None` while it is
    /// live.
    delivered_at_suspicion: Option<u64>,
}

/// The feeds that are open or being opened.
#[derive(Clone, Debug, Default)]
pub struct FeedPlan {
    feeds: BTreeMap<HostId, Feed>,
}

impl FeedPlan {
    /// Adapts the feeds to a view. `delivered` returns the number of messages that the feed of
    /// a host has delivered.
    pub fn apply(
        &mut self,
        me: HostId,
        view: &View,
        delivered: impl Fn(HostId) -> u64,
    ) -> Vec<Step> {
        let is_control = |m: &&Heartbeat| m.role == Role::Control && m.host != me;
        let live = view.live.iter().filter(is_control).map(|m| (m, true));
        let suspected = view.suspected.iter().filter(is_control).map(|m| (m, false));
        let known: BTreeMap<_, _> =
            live.chain(suspected).map(|(m, live)| (m.host, (m, live))).collect();
        let mut steps = Vec::new();
        self.feeds.retain(|host, feed| {
            let reason = match known.get(host) {
                Some((member, is_live)) => {
                    feed.reason_to_end(member, *is_live, || delivered(*host))
                }
                None => Some(Reason::Forgotten),
            };
            steps.extend(reason.map(|reason| Step::End(*host, reason)));
            reason.is_none()
        });
        for (host, (member, is_live)) in known {
            self.feeds.entry(host).or_insert_with(|| {
                steps.push(Step::Open(host, member.peer));
                let delivered_at_suspicion = (!is_live).then_some(0);
                Feed { incarnation: member.incarnation, delivered_at_suspicion }
            });
        }
        steps
    }
}

impl Feed {
    fn reason_to_end(
        &mut self,
        member: &Heartbeat,
        is_live: bool,
        delivered: impl Fn() -> u64,
    ) -> Option<Reason> {
        if member.incarnation != self.incarnation {
            return Some(Reason::Restarted);
        }
        if !is_live {
            self.delivered_at_suspicion.get_or_insert_with(delivered);
            return None;
        }
        let before = self.delivered_at_suspicion.take()?;
        (delivered() == before).then_some(Reason::Silent)
    }
}
