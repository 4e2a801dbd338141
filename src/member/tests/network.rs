//! Hosts that exchange heartbeats in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use super::super::{FIRST_HEARTBEAT_MS, HEARTBEAT_MS, MemberTable};
use crate::dispatch::Millis;
use crate::settings::HeartbeatScope;
use crate::wire::{Beat, Heartbeat, HostId, Role};

/// One way between any two hosts.
const DELAY_MS: Millis = 1;

/// Of so many datagrams in a row, a link loses one at most.
pub const LOSES_ONE_OF: u32 = 3;

/// A process that runs.
struct Process {
    table: MemberTable,
    next_beat: Millis,
    pause: Millis,
}

struct Datagram {
    arrives: Millis,
    from: SocketAddr,
    to: SocketAddr,
    beat: Beat,
}

/// Routers, numbered from 1, and control hosts behind them, the routers' and each
/// other's seeds.
pub struct Network {
    now: Millis,
    routers: u32,
    controls: u32,
    processes: BTreeMap<u32, Process>,
    in_flight: VecDeque<Datagram>,
    /// Of the datagrams sent, each `true` is lost; used once each.
    losses: VecDeque<bool>,
    /// Datagrams that a link has still to deliver before it may lose another one.
    to_deliver: BTreeMap<(SocketAddr, SocketAddr), u32>,
}

fn address(host: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + host as u16))
}

impl Network {
    /// A network without processes yet.
    pub fn new(routers: u32, controls: u32) -> Network {
        Network {
            now: 0,
            routers,
            controls,
            processes: BTreeMap::new(),
            in_flight: VecDeque::new(),
            losses: VecDeque::new(),
            to_deliver: BTreeMap::new(),
        }
    }

    /// From here on datagrams are lost by this pattern, of each link at most one in
    /// [`LOSES_ONE_OF`].
    pub fn lose(&mut self, losses: Vec<bool>) {
        self.losses = losses.into();
    }

    pub fn router_numbers(&self) -> std::ops::RangeInclusive<u32> {
        1..=self.routers
    }

    pub fn control_numbers(&self) -> std::ops::RangeInclusive<u32> {
        self.routers + 1..=self.routers + self.controls
    }

    /// Starts a process that remembers nothing.
    pub fn start(&mut self, host: u32) {
        let is_control = self.control_numbers().contains(&host);
        let me = Heartbeat {
            host: HostId(host),
            incarnation: self.now + 1,
            role: if is_control { Role::Control } else { Role::Router },
            hall: "a".into(),
            peer: address(host),
            operator: address(host),
            version: 0,
            draining: false,
            also: None,
        };
        let seeds = self.control_numbers().map(address).collect();
        let table = MemberTable::new(me, seeds, HeartbeatScope::Control);
        let process = Process { table, next_beat: self.now, pause: FIRST_HEARTBEAT_MS };
        self.processes.insert(host, process);
    }

    /// Kills a process; its incarnation is not used again.
    pub fn kill(&mut self, host: u32) {
        self.processes.remove(&host);
    }

    /// Lets so many milliseconds pass.
    pub fn run(&mut self, ms: Millis) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 1;
            self.deliver();
            self.beat();
        }
    }

    fn deliver(&mut self) {
        while let Some(datagram) = self.in_flight.pop_front_if(|d| d.arrives <= self.now) {
            let to = u32::from(datagram.to.port()) - 7_000;
            let Some(process) = self.processes.get_mut(&to) else { continue };
            let answer = process.table.on_heartbeat(self.now, datagram.from, datagram.beat);
            if let Some((answer_to, beat)) = answer {
                self.send(address(to), answer_to, beat);
            }
        }
    }

    fn beat(&mut self) {
        let due: Vec<u32> = self.processes.keys().copied().collect();
        for host in due {
            let now = self.now;
            let process = self.processes.get_mut(&host).unwrap();
            if now < process.next_beat {
                continue;
            }
            process.table.tick(now);
            let (beat, targets) = process.table.next_heartbeat();
            let alone = process.table.is_alone();
            process.next_beat = now + process.pause;
            process.pause =
                if alone { (process.pause * 2).min(HEARTBEAT_MS) } else { HEARTBEAT_MS };
            for to in targets {
                self.send(address(host), to, beat.clone());
            }
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, beat: Beat) {
        let lost = self.losses.pop_front().unwrap_or(false);
        let to_deliver = self.to_deliver.entry((from, to)).or_default();
        if lost && *to_deliver == 0 {
            *to_deliver = LOSES_ONE_OF - 1;
            return;
        }
        *to_deliver = to_deliver.saturating_sub(1);
        let arrives = self.now + DELAY_MS;
        self.in_flight.push_back(Datagram { arrives, from, to, beat });
    }

    /// Whether `host` takes the present process of `other` for live.
    pub fn knows(&self, host: u32, other: u32) -> bool {
        let view = self.processes[&host].table.view(self.now);
        let Beat::Full(present) = self.processes[&other].table.full_heartbeat() else {
            panic!("an introduction says the whole");
        };
        view.get(HostId(other)).is_some_and(|m| m.incarnation == present.incarnation)
    }

    /// Pairs of a router and a control host of which one does not know the other.
    pub fn strangers(&self) -> Vec<(u32, u32)> {
        let pairs = self.router_numbers().flat_map(|r| self.control_numbers().map(move |c| (r, c)));
        pairs.filter(|(r, c)| !self.knows(*r, *c) || !self.knows(*c, *r)).collect()
    }
}
