//! A simulated network of hosts that exchange heartbeats in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use super::super::{FIRST_HEARTBEAT_MS, HEARTBEAT_MS, MemberTable};
use crate::dispatch::Millis;
use crate::settings::HeartbeatScope;
use crate::wire::{Heartbeat, HeartbeatMessage, HostId, Role};

/// One-way delay between any two hosts, in milliseconds.
const DELAY_MS: Millis = 1;

/// A link loses at most one of this many datagrams in a row.
pub const LOSS_WINDOW: u32 = 3;

/// A running process.
struct Process {
    table: MemberTable,
    heartbeat_due: Millis,
    interval: Millis,
}

struct Datagram {
    arrives: Millis,
    from: SocketAddr,
    to: SocketAddr,
    heartbeat: HeartbeatMessage,
}

/// Routers, numbered from 1, and control hosts, numbered after them. The first control hosts are
/// the seeds of all, unless others are given.
pub struct Network {
    now: Millis,
    routers: u32,
    controls: u32,
    processes: BTreeMap<u32, Process>,
    in_flight: VecDeque<Datagram>,
    /// Whether each of the next datagrams sent is lost.
    losses: VecDeque<bool>,
    /// The number of datagrams that a link must deliver before it may lose another one.
    to_deliver: BTreeMap<(SocketAddr, SocketAddr), u32>,
}

fn address(host: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + host as u16))
}

impl Network {
    /// A network without processes.
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

    /// Loses the next datagrams by this pattern, but on each link at most one of
    /// [`LOSS_WINDOW`].
    pub fn set_losses(&mut self, losses: Vec<bool>) {
        self.losses = losses.into();
    }

    pub fn router_numbers(&self) -> std::ops::RangeInclusive<u32> {
        1..=self.routers
    }

    pub fn control_numbers(&self) -> std::ops::RangeInclusive<u32> {
        self.routers + 1..=self.routers + self.controls
    }

    /// Starts a process with an empty member table.
    pub fn start(&mut self, host: u32) {
        let seeds: Vec<u32> = self.control_numbers().collect();
        self.start_with_seeds(host, &seeds);
    }

    /// Starts a process with an empty member table and these seeds.
    pub fn start_with_seeds(&mut self, host: u32, seeds: &[u32]) {
        let is_control = !self.router_numbers().contains(&host);
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
        let seeds = seeds.iter().copied().map(address).collect();
        let table = MemberTable::new(me, seeds, HeartbeatScope::Control);
        let process = Process { table, heartbeat_due: self.now, interval: FIRST_HEARTBEAT_MS };
        self.processes.insert(host, process);
    }

    /// Kills a process; its incarnation is not used again.
    pub fn kill(&mut self, host: u32) {
        self.processes.remove(&host);
    }

    /// Gives a process further seeds.
    pub fn add_seeds(&mut self, host: u32, seeds: &[u32]) {
        let table = &mut self.processes.get_mut(&host).unwrap().table;
        for seed in seeds {
            table.add_seed(address(*seed));
        }
    }

    /// Runs for `ms` milliseconds while a process stands still.
    pub fn run_without(&mut self, host: u32, ms: Millis) {
        let frozen = self.processes.remove(&host).unwrap();
        self.run(ms);
        self.processes.insert(host, frozen);
    }

    /// Advances time by `ms` milliseconds.
    pub fn run(&mut self, ms: Millis) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 1;
            self.deliver();
            self.send_heartbeats();
        }
    }

    fn deliver(&mut self) {
        while let Some(datagram) = self.in_flight.pop_front_if(|d| d.arrives <= self.now) {
            let to = u32::from(datagram.to.port()) - 7_000;
            let Some(process) = self.processes.get_mut(&to) else { continue };
            let answer = process.table.on_heartbeat(self.now, datagram.from, datagram.heartbeat);
            if let Some((answer_to, heartbeat)) = answer {
                self.send(address(to), answer_to, heartbeat);
            }
        }
    }

    fn send_heartbeats(&mut self) {
        let hosts: Vec<u32> = self.processes.keys().copied().collect();
        for host in hosts {
            let now = self.now;
            let process = self.processes.get_mut(&host).unwrap();
            if now < process.heartbeat_due {
                continue;
            }
            process.table.tick(now);
            let (heartbeat, targets) = process.table.next_heartbeat();
            let alone = process.table.is_alone();
            process.heartbeat_due = now + process.interval;
            process.interval =
                if alone { (process.interval * 2).min(HEARTBEAT_MS) } else { HEARTBEAT_MS };
            for to in targets {
                self.send(address(host), to, heartbeat.clone());
            }
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, heartbeat: HeartbeatMessage) {
        let lost = self.losses.pop_front().unwrap_or(false);
        let to_deliver = self.to_deliver.entry((from, to)).or_default();
        if lost && *to_deliver == 0 {
            *to_deliver = LOSS_WINDOW - 1;
            return;
        }
        *to_deliver = to_deliver.saturating_sub(1);
        let arrives = self.now + DELAY_MS;
        self.in_flight.push_back(Datagram { arrives, from, to, heartbeat });
    }

    /// Whether `host` has the current incarnation of `other` as live.
    pub fn sees_live(&self, host: u32, other: u32) -> bool {
        let view = self.processes[&host].table.view(self.now);
        let HeartbeatMessage::Full(current) = self.processes[&other].table.full_heartbeat() else {
            panic!("a full heartbeat has all fields");
        };
        view.get(HostId(other)).is_some_and(|m| m.incarnation == current.incarnation)
    }

    /// Pairs of a running router and a running control host of which one does not have the other
    /// as live.
    pub fn unknown_pairs(&self) -> Vec<(u32, u32)> {
        let (routers, controls): (Vec<u32>, Vec<u32>) =
            self.processes.keys().partition(|host| self.router_numbers().contains(host));
        let pairs = routers.iter().flat_map(|r| controls.iter().map(move |c| (*r, *c)));
        pairs.filter(|(r, c)| !self.sees_live(*r, *c) || !self.sees_live(*c, *r)).collect()
    }
}
