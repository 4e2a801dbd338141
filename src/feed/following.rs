//! Which feeds to open and which to end, without I/O.
//!
//! A host is suspected by its silence in datagrams. A feed has a connection of its
//! own and may work all the same, so a suspicion ends none; a feed that said nothing
//! while its host was suspected may hang on a dead connection, and is opened anew
//! once the host is heard.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::member::View;
use crate::wire::{Heartbeat, HostId, Role};

/// Why a feed is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its host has started again.
    Restarted,
    /// It said nothing while its host was suspected.
    Silent,
    /// Its host has not been heard of for long.
    Forgotten,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Reason::Restarted => "has started again",
            Reason::Silent => "is back and the feed said nothing meanwhile",
            Reason::Forgotten => "has not been heard of for long",
        })
    }
}

/// What to do about a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// End it.
    End(HostId, Reason),
    /// Open it.
    Open(HostId, SocketAddr),
}

#[derive(Clone, Copy, Debug)]
struct Feed {
    incarnation: u64,
    /// Messages delivered when its host came under suspicion.
    at_suspicion: Option<u64>,
}

/// The feeds that are followed.
#[derive(Clone, Debug, Default)]
pub struct Following {
    feeds: BTreeMap<HostId, Feed>,
}

impl Following {
    /// The view has changed. `delivered` says how many messages a feed has delivered.
    pub fn adopt(
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
                let at_suspicion = (!is_live).then_some(0);
                Feed { incarnation: member.incarnation, at_suspicion }
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
            self.at_suspicion.get_or_insert_with(delivered);
            return None;
        }
        let before = self.at_suspicion.take()?;
        (delivered() == before).then_some(Reason::Silent)
    }
}
