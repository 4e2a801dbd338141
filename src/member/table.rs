//! The member table, a state machine without I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::config::ServiceId;
use crate::dispatch::Millis;
use crate::settings::HeartbeatScope;
use crate::wire::{Beat, Heartbeat, HostId, Role};

/// Milliseconds between two heartbeats.
pub const HEARTBEAT_MS: Millis = 500;
/// The same at first, while no other host has been heard; doubled each time.
pub const FIRST_HEARTBEAT_MS: Millis = 50;
/// Milliseconds of silence after which a host is suspected.
pub const SUSPECT_MS: Millis = 1_600;
/// Milliseconds for which a host that refused a connection is avoided.
const AVOID_MS: Millis = 2_000;
/// So many first heartbeats say the whole: some may be lost, or taken for late.
const WHOLE_FIRST: usize = 6;
/// One heartbeat in so many says the whole.
const WHOLE_EVERY: usize = 10;
/// Milliseconds of silence after which a host is forgotten.
const FORGET_MS: Millis = 600_000;

/// What is known of another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// What it last said of itself.
    pub beat: Heartbeat,
    /// When that was heard.
    pub heard: Millis,
    /// Until when it is avoided after a failed connection.
    pub avoid_until: Millis,
}

/// The hosts that are live at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// What each says of itself, this host included.
    pub live: Vec<Heartbeat>,
    /// Hosts heard before that are now suspected.
    pub suspected: Vec<Heartbeat>,
}

impl View {
    /// The router that dispatches `service`: the highest by rendezvous hash
    /// among live routers that are not in a planned stop.
    pub fn dispatcher(&self, service: ServiceId) -> Option<&Heartbeat> {
        let able = |m: &&Heartbeat| m.role == Role::Router && !m.draining;
        let rank = |m: &&Heartbeat| (rendezvous(service, m.host), m.host);
        self.live.iter().filter(able).max_by_key(rank)
    }

    /// A live member by number.
    pub fn get(&self, host: HostId) -> Option<&Heartbeat> {
        self.live.iter().find(|m| m.host == host)
    }

    /// A member, live or suspected.
    pub fn known(&self, host: HostId) -> Option<&Heartbeat> {
        self.get(host).or_else(|| self.suspected.iter().find(|m| m.host == host))
    }

    /// Live members with a role.
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

/// All hosts heard of.
#[derive(Clone, Debug)]
pub struct MemberTable {
    me: Heartbeat,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<HostId, Member>,
    turn: usize,
    greet: bool,
    unknown_heartbeats: u64,
    scope: HeartbeatScope,
}

impl MemberTable {
    /// A table that knows only this host and where to look for others.
    pub fn new(me: Heartbeat, seeds: Vec<SocketAddr>, scope: HeartbeatScope) -> MemberTable {
        MemberTable {
            me,
            seeds,
            members: BTreeMap::new(),
            turn: 0,
            greet: true,
            unknown_heartbeats: 0,
            scope,
        }
    }

    /// This host's number.
    pub fn me(&self) -> HostId {
        self.me.host
    }

    /// This host has another configuration in force.
    pub fn set_version(&mut self, version: u64) {
        self.me.version = version;
    }

    /// This host is in a planned stop.
    pub fn set_draining(&mut self) {
        self.me.draining = true;
    }

    /// A heartbeat arrived from an address. Those of earlier incarnations are ignored.
    /// Returns what to answer at once, and where: this host introduces itself to
    /// whoever has just started or does not know it, and asks for the whole where a
    /// brief one says nothing.
    pub fn on_heartbeat(
        &mut self,
        now: Millis,
        from: SocketAddr,
        beat: Beat,
    ) -> Option<(SocketAddr, Beat)> {
        match beat {
            Beat::Full(beat) => {
                let newcomer = self.on_full_heartbeat(now, beat)?;
                Some((newcomer, self.full_heartbeat()))
            }
            Beat::Brief { host, incarnation, version, draining } => {
                let known = self.members.get_mut(&host);
                let Some(member) = known.filter(|m| m.beat.incarnation == incarnation) else {
                    self.unknown_heartbeats += 1;
                    return Some((from, Beat::RequestFull(self.me.clone())));
                };
                member.beat.version = version;
                member.beat.draining = draining;
                member.heard = now;
                None
            }
            Beat::RequestFull(beat) => {
                let asker = beat.peer;
                self.on_full_heartbeat(now, beat);
                Some((asker, self.full_heartbeat()))
            }
        }
    }

    /// Returns the address of a host that has just started, if this one exchanges
    /// heartbeats with it.
    fn on_full_heartbeat(&mut self, now: Millis, beat: Heartbeat) -> Option<SocketAddr> {
        if beat.host == self.me.host {
            return None;
        }
        if let Some(address) = beat.also {
            self.add_seed(address);
        }
        let known = self.members.get(&beat.host);
        // Clocks are set back at times: an earlier incarnation is late while the
        // later one is heard, and a restart once that has fallen silent.
        let is_late =
            |m: &Member| m.beat.incarnation > beat.incarnation && now < m.heard + SUSPECT_MS;
        if known.is_some_and(is_late) {
            return None;
        }
        let restarted = known.is_none_or(|m| m.beat.incarnation != beat.incarnation);
        let avoid_until = match known {
            Some(member) if !restarted => member.avoid_until,
            _ => 0,
        };
        // A newcomer must learn of this host too.
        self.greet |= restarted;
        let newcomer = (restarted && self.exchanges_with(beat.role)).then_some(beat.peer);
        let host = beat.host;
        let member = Member { beat, heard: now, avoid_until };
        self.members.insert(host, member);
        newcomer
    }

    /// Brief heartbeats of hosts that have not said the whole, since the start.
    pub fn unknown_heartbeats(&self) -> u64 {
        self.unknown_heartbeats
    }

    /// What introduces this host to a newcomer.
    pub fn full_heartbeat(&self) -> Beat {
        Beat::Full(self.me.clone())
    }

    /// Whether no other host has been heard yet.
    pub fn is_alone(&self) -> bool {
        self.members.is_empty()
    }

    fn add_seed(&mut self, address: SocketAddr) {
        let known = address == self.me.peer || self.seeds.contains(&address);
        if !known {
            self.seeds.push(address);
        }
    }

    /// A connection to a host failed: it is avoided for a while.
    pub fn avoid(&mut self, now: Millis, host: HostId) {
        if let Some(member) = self.members.get_mut(&host) {
            member.avoid_until = now + AVOID_MS;
        }
    }

    /// Forgets hosts not heard of for long.
    pub fn tick(&mut self, now: Millis) {
        self.members.retain(|_, m| m.heard + FORGET_MS > now);
    }

    /// What to send now, and to whom.
    pub fn next_heartbeat(&mut self) -> (Beat, Vec<SocketAddr>) {
        let hears = |m: &&Member| self.exchanges_with(m.beat.role);
        let others = self.members.values().filter(hears);
        let mut targets: Vec<_> = others.map(|m| m.beat.peer).collect();
        let told = |m: &&Member| self.scope == HeartbeatScope::All || m.beat.role == Role::Control;
        let spread: Vec<_> = self.members.values().filter(told).map(|m| m.beat.peer).collect();
        let unknown = self.seeds.iter().filter(|s| **s != self.me.peer && !targets.contains(s));
        let unknown: Vec<_> = unknown.copied().collect();
        let also = spread.get(self.turn % spread.len().max(1)).copied();
        self.turn += 1;
        targets.extend(unknown);
        let greets = std::mem::take(&mut self.greet);
        let whole = greets || self.turn <= WHOLE_FIRST || self.turn % WHOLE_EVERY == 1;
        let beat = match whole {
            true => Beat::Full(Heartbeat { also, ..self.me.clone() }),
            false => Beat::Brief {
                host: self.me.host,
                incarnation: self.me.incarnation,
                version: self.me.version,
                draining: self.me.draining,
            },
        };
        (beat, targets)
    }

    fn exchanges_with(&self, role: Role) -> bool {
        let both_route = self.me.role == Role::Router && role == Role::Router;
        self.scope == HeartbeatScope::All || !both_route
    }

    /// The hosts that are live now.
    pub fn view(&self, now: Millis) -> View {
        let is_live = |m: &&Member| now < m.heard + SUSPECT_MS && now >= m.avoid_until;
        let strip = |m: &Member| Heartbeat { also: None, ..m.beat.clone() };
        let mut live: Vec<_> = self.members.values().filter(is_live).map(strip).collect();
        live.push(Heartbeat { also: None, ..self.me.clone() });
        live.sort_by_key(|m| m.host);
        let suspected = self.members.values().filter(|m| !is_live(m));
        View { live, suspected: suspected.map(strip).collect() }
    }
}
