//! The member table: a state machine without I/O that follows other hosts' heartbeats.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::config::ServiceId;
use crate::dispatch::Millis;
use crate::settings::HeartbeatScope;
use crate::wire::{Heartbeat, HeartbeatMessage, HostId, Role};

/// Milliseconds between two heartbeats.
pub const HEARTBEAT_MS: Millis = 500;
/// Milliseconds between the first two heartbeats after a start; the interval doubles each
/// time, up to [`HEARTBEAT_MS`], until a heartbeat of another host arrives.
pub const FIRST_HEARTBEAT_MS: Millis = 50;
/// Milliseconds of silence after which a host is suspected.
pub const SUSPECT_AFTER_MS: Millis = 1_600;
/// Milliseconds for which a host is avoided after a connection to it failed.
const AVOID_MS: Millis = 2_000;
/// Number of heartbeats after a start that are all full: some may be lost, or be ignored
/// as late ones of an earlier incarnation.
const INITIAL_FULL_HEARTBEATS: usize = 6;
/// One of this many heartbeats is full.
const FULL_HEARTBEAT_PERIOD: usize = 10;
/// Number of heartbeats that announce a host which others may not know: datagrams may be lost.
const ANNOUNCEMENTS: usize = 3;
/// Milliseconds of silence after which a host is removed from the table.
const FORGET_AFTER_MS: Millis = 600_000;

/// The recorded state of another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its last full heartbeat, updated from brief ones.
    pub heartbeat: Heartbeat,
    /// When its last heartbeat arrived, in milliseconds.
    pub last_heard: Millis,
    /// Until when it is avoided after a failed connection, in milliseconds.
    pub avoid_until: Millis,
}

impl Member {
    fn is_silent(&self, now: Millis) -> bool {
        now >= self.last_heard + SUSPECT_AFTER_MS
    }

    /// What a view shows of it.
    fn shown(&self) -> Heartbeat {
        Heartbeat { also: None, ..self.heartbeat.clone() }
    }
}

/// The hosts that are live at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The live hosts' heartbeats, by host number, with this host's own.
    pub live: Vec<Heartbeat>,
    /// Hosts that have been silent for too long or are avoided.
    pub suspected: Vec<Heartbeat>,
}

impl View {
    /// The router that dispatches `service`: the one with the highest rendezvous hash
    /// among the live routers that are not in a planned stop.
    pub fn dispatcher(&self, service: ServiceId) -> Option<&Heartbeat> {
        let can_dispatch = |m: &&Heartbeat| m.role == Role::Router && !m.draining;
        let rank = |m: &&Heartbeat| (rendezvous(service, m.host), m.host);
        self.live.iter().filter(can_dispatch).max_by_key(rank)
    }

    /// The live member with this number.
    pub fn get(&self, host: HostId) -> Option<&Heartbeat> {
        let at = self.live.binary_search_by_key(&host, |m| m.host).ok()?;
        self.live.get(at)
    }

    /// The member with this number, live or suspected.
    pub fn known(&self, host: HostId) -> Option<&Heartbeat> {
        self.get(host).or_else(|| self.suspected.iter().find(|m| m.host == host))
    }

    /// The live members with this role.
    pub fn with_role(&self, role: Role) -> impl Iterator<Item = &Heartbeat> {
        self.live.iter().filter(move |m| m.role == role)
    }
}

fn rendezvous(service: ServiceId, host: HostId) -> u64 {
    let mut key = [0; 6];
    key[..2].copy_from_slice(&service.0.to_be_bytes());
    key[2..].copy_from_slice(&host.0.to_be_bytes());
    xxh3_64(&key)
}

/// This host and all others whose heartbeats have arrived.
#[derive(Clone, Debug)]
pub struct MemberTable {
    me: Heartbeat,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<HostId, Member>,
    sent_count: usize,
    full_heartbeat_due: bool,
    /// Addresses of control hosts that other hosts may not know; each of the next heartbeats
    /// announces one of them.
    to_announce: VecDeque<SocketAddr>,
    /// The number of addresses that were announced in turn.
    announced_count: usize,
    unknown_heartbeats: u64,
    /// Whether a heartbeat has changed what [`MemberTable::view`] shows.
    view_changed: bool,
    scope: HeartbeatScope,
}

impl MemberTable {
    /// A table without other hosts; heartbeats go to the seeds at first.
    pub fn new(me: Heartbeat, seeds: Vec<SocketAddr>, scope: HeartbeatScope) -> MemberTable {
        MemberTable {
            me,
            seeds,
            members: BTreeMap::new(),
            sent_count: 0,
            full_heartbeat_due: true,
            to_announce: VecDeque::new(),
            announced_count: 0,
            unknown_heartbeats: 0,
            view_changed: false,
            scope,
        }
    }

    /// This host's number.
    pub fn me(&self) -> HostId {
        self.me.host
    }

    /// Sets the version of the configuration in force on this host.
    pub fn set_version(&mut self, version: u64) {
        self.me.version = version;
    }

    /// Marks this host as being in a planned stop.
    pub fn set_draining(&mut self) {
        self.me.draining = true;
    }

    /// Records a heartbeat that arrived from an address; those of earlier incarnations are
    /// ignored. Returns the answer to send at once, and its address: a full heartbeat to a
    /// host that has just started or asks for one, and a request for a full heartbeat if a
    /// brief one comes from an incarnation that is not in the table.
    pub fn on_heartbeat(
        &mut self,
        now: Millis,
        from: SocketAddr,
        heartbeat: HeartbeatMessage,
    ) -> Option<(SocketAddr, HeartbeatMessage)> {
        match heartbeat {
            HeartbeatMessage::Full(heartbeat) => {
                let answer_to = self.on_full_heartbeat(now, heartbeat)?;
                Some((answer_to, self.full_heartbeat()))
            }
            HeartbeatMessage::Brief { host, incarnation, version, draining } => {
                let known = self.members.get_mut(&host);
                let Some(member) = known.filter(|m| m.heartbeat.incarnation == incarnation) else {
                    self.unknown_heartbeats += 1;
                    return Some((from, HeartbeatMessage::RequestFull(self.me.clone())));
                };
                let shown = (member.heartbeat.version, member.heartbeat.draining);
                let was_silent = member.is_silent(now);
                self.view_changed |= shown != (version, draining) || was_silent;
                member.heartbeat.version = version;
                member.heartbeat.draining = draining;
                member.last_heard = now;
                if was_silent {
                    self.announce_soon(host);
                }
                None
            }
            HeartbeatMessage::RequestFull(heartbeat) => {
                let requester = heartbeat.peer;
                self.on_full_heartbeat(now, heartbeat);
                Some((requester, self.full_heartbeat()))
            }
        }
    }

    /// Records a full heartbeat. Returns the sender's address if it has just started and
    /// this host exchanges heartbeats with it.
    fn on_full_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) -> Option<SocketAddr> {
        if heartbeat.host == self.me.host {
            return None;
        }
        if let Some(address) = heartbeat.also {
            self.add_seed(address);
        }
        let known = self.members.get(&heartbeat.host);
        // An incarnation is the clock at the start, and clocks may be set back. A lower one is
        // a late heartbeat while the higher one sends heartbeats, and a restart once it is silent.
        let is_late =
            |m: &Member| m.heartbeat.incarnation > heartbeat.incarnation && !m.is_silent(now);
        if known.is_some_and(is_late) {
            return None;
        }
        let restarted = known.is_none_or(|m| m.heartbeat.incarnation != heartbeat.incarnation);
        let avoid_until = match known {
            Some(member) if !restarted => member.avoid_until,
            _ => 0,
        };
        // A host that has just started needs a full heartbeat of this one.
        self.full_heartbeat_due |= restarted;
        let answer_to =
            (restarted && self.exchanges_with(heartbeat.role)).then_some(heartbeat.peer);
        let member = Member { heartbeat, last_heard: now, avoid_until };
        let was_silent = known.is_some_and(|m| m.is_silent(now));
        self.view_changed |= known.is_none_or(|m| was_silent || m.shown() != member.shown());
        let host = member.heartbeat.host;
        self.members.insert(host, member);
        if restarted {
            self.announce_all_to_newcomer(now);
        }
        if restarted || was_silent {
            self.announce_soon(host);
        }
        answer_to
    }

    /// The number of brief heartbeats since the start from incarnations without a full one.
    pub fn unknown_heartbeats(&self) -> u64 {
        self.unknown_heartbeats
    }

    /// This host's full heartbeat.
    pub fn full_heartbeat(&self) -> HeartbeatMessage {
        HeartbeatMessage::Full(self.me.clone())
    }

    /// Whether a heartbeat has changed the view since the last call. Members that fall silent
    /// change it without a heartbeat.
    pub fn take_view_change(&mut self) -> bool {
        std::mem::take(&mut self.view_changed)
    }

    /// Whether the table holds no other host.
    pub fn is_alone(&self) -> bool {
        self.members.is_empty()
    }

    /// Announces a control host with the next heartbeat: one that has just started at this
    /// address is known only to hosts that it was given as seeds.
    fn announce_soon(&mut self, host: HostId) {
        let Some(member) = self.members.get(&host) else { return };
        if member.heartbeat.role == Role::Control {
            let address = member.heartbeat.peer;
            self.to_announce.retain(|queued| *queued != address);
            (0..ANNOUNCEMENTS).for_each(|_| self.to_announce.push_front(address));
        }
    }

    /// Announces the live control hosts, one with each heartbeat, to a host that has just started
    /// and may know only some of them.
    fn announce_all_to_newcomer(&mut self, now: Millis) {
        let is_live_control = |m: &&Member| m.heartbeat.role == Role::Control && !m.is_silent(now);
        let live = self.members.values().filter(is_live_control).map(|m| m.heartbeat.peer);
        let unqueued: Vec<_> = live.filter(|peer| !self.to_announce.contains(peer)).collect();
        (0..ANNOUNCEMENTS).for_each(|_| self.to_announce.extend(&unqueued));
    }

    /// Sends heartbeats to this address from now on. Returns whether it is a new one.
    pub fn add_seed(&mut self, address: SocketAddr) -> bool {
        let is_new = address != self.me.peer && !self.seeds.contains(&address);
        if is_new {
            self.seeds.push(address);
            // A host that does not know this one ignores brief heartbeats at first.
            self.full_heartbeat_due = true;
        }
        is_new
    }

    /// Treats a host as suspected for `AVOID_MS`, after a connection to it failed.
    pub fn avoid(&mut self, now: Millis, host: HostId) {
        if let Some(member) = self.members.get_mut(&host) {
            member.avoid_until = now + AVOID_MS;
        }
    }

    /// Removes hosts that have been silent for `FORGET_AFTER_MS`.
    pub fn tick(&mut self, now: Millis) {
        self.members.retain(|_, m| m.last_heard + FORGET_AFTER_MS > now);
    }

    /// The heartbeat to send now, and the addresses of its receivers.
    pub fn next_heartbeat(&mut self) -> (HeartbeatMessage, Vec<SocketAddr>) {
        let is_target = |m: &&Member| self.exchanges_with(m.heartbeat.role);
        let others = self.members.values().filter(is_target);
        let mut targets: Vec<_> = others.map(|m| m.heartbeat.peer).collect();
        let is_announced =
            |m: &&Member| self.scope == HeartbeatScope::All || m.heartbeat.role == Role::Control;
        let announced: Vec<_> =
            self.members.values().filter(is_announced).map(|m| m.heartbeat.peer).collect();
        let seeds_only = self.seeds.iter().filter(|s| **s != self.me.peer && !targets.contains(s));
        let seeds_only: Vec<_> = seeds_only.copied().collect();
        let in_turn = announced.get(self.announced_count % announced.len().max(1)).copied();
        self.sent_count += 1;
        targets.extend(seeds_only);
        let urgent = self.to_announce.pop_front();
        let is_due = std::mem::take(&mut self.full_heartbeat_due);
        let is_full = is_due
            || urgent.is_some()
            || self.sent_count <= INITIAL_FULL_HEARTBEATS
            || self.sent_count % FULL_HEARTBEAT_PERIOD == 1;
        // Counted apart from the heartbeats: a fixed part of these is full, and would announce only
        // some of the members.
        if is_full && urgent.is_none() {
            self.announced_count += 1;
        }
        let also = urgent.or(in_turn);
        let heartbeat = match is_full {
            true => HeartbeatMessage::Full(Heartbeat { also, ..self.me.clone() }),
            false => HeartbeatMessage::Brief {
                host: self.me.host,
                incarnation: self.me.incarnation,
                version: self.me.version,
                draining: self.me.draining,
            },
        };
        (heartbeat, targets)
    }

    fn exchanges_with(&self, role: Role) -> bool {
        let are_both_routers = self.me.role == Role::Router && role == Role::Router;
        self.scope == HeartbeatScope::All || !are_both_routers
    }

    /// The live and suspected hosts at this time.
    pub fn view(&self, now: Millis) -> View {
        let is_live = |m: &&Member| !m.is_silent(now) && now >= m.avoid_until;
        let mut live: Vec<_> = self.members.values().filter(is_live).map(Member::shown).collect();
        live.push(Heartbeat { also: None, ..self.me.clone() });
        live.sort_by_key(|m| m.host);
        let suspected = self.members.values().filter(|m| !is_live(m));
        View { live, suspected: suspected.map(Member::shown).collect() }
    }
}
