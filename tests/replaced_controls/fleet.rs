//! Control hosts and routers as separate processes, each on its own loopback address. A control
//! host that is lost for good stays as a stopped process: connections to it open and nothing
//! answers, as at an address that drops everything.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bramblecrank::operator::{self, proto};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;

use crate::http::Answer;
use crate::record;

const CONTROLS: usize = 3;
const ROUTERS: usize = 3;
/// Last octets of the addresses of the first control hosts, and of the replacement of each.
/// Hosts announce each other in the order of their addresses.
const FIRST: [u8; CONTROLS] = [50, 40, 80];
const REPLACEMENTS: [u8; CONTROLS] = [70, 60, 90];
/// Number of control hosts that every process is given as seeds, as on the platform.
const SEED_HOSTS: usize = 3;
/// Data halls, to which hosts are assigned in turn.
const HALLS: [&str; 3] = ["a", "b", "c"];
/// Ports, the same on every address.
const PEER_PORT: u16 = 7_400;
const OPERATOR_PORT: u16 = 7_401;
const CONTROL_PORT: u16 = 8_705;
const FRONT_PORT: u16 = 8_703;
const READY_PORT: u16 = 8_704;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Second octet of the next fleet's addresses, so that each fleet of a test run has its own.
static NEXT_NET: AtomicU32 = AtomicU32::new(221);

/// The control hosts that a process is given as seeds when everything restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seeds {
    /// Those that run.
    Current,
    /// Two that were replaced, and one that runs.
    Outdated,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Control,
    Router,
}

struct Host {
    role: Role,
    address: Ipv4Addr,
    process: Option<Child>,
    /// Whether it was lost for good.
    is_lost: bool,
}

pub struct Fleet {
    hosts: Mutex<Vec<Host>>,
    folder: TempDir,
    /// Rises while every process is killed, and after that.
    life: AtomicU32,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
    }
}

impl Fleet {
    /// Starts the control hosts, with empty disks, and the routers.
    pub fn start() -> Fleet {
        let net = NEXT_NET.fetch_add(1, Ordering::Relaxed) as u8;
        // Concurrent test runs have different process ids.
        let run = (std::process::id() % 250 + 1) as u8;
        let address = |last: u8| Ipv4Addr::new(127, net, run, last);
        let host =
            |role, last| Host { role, address: address(last), process: None, is_lost: false };
        let controls = FIRST.map(|last| host(Role::Control, last));
        let routers = (0..ROUTERS as u8).map(|number| host(Role::Router, 100 + number));
        let hosts: Vec<_> = controls.into_iter().chain(routers).collect();
        let count = hosts.len();
        let fleet = Fleet {
            hosts: Mutex::new(hosts),
            folder: TempDir::new().unwrap(),
            life: AtomicU32::new(0),
        };
        let seeds = fleet.seeds(Seeds::Current);
        (0..count).for_each(|host| fleet.spawn(host, &seeds, true));
        fleet
    }

    /// Keeps the folder with the logs, and returns its path.
    pub fn keep_logs(mut self) -> PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_path_buf()
    }

    /// The present life of the routers' processes.
    pub fn life(&self) -> u32 {
        self.life.load(Ordering::SeqCst)
    }

    fn with_hosts<T>(&self, f: impl FnOnce(&mut Vec<Host>) -> T) -> T {
        f(&mut self.hosts.lock().unwrap())
    }

    fn numbers(&self, is_wanted: impl Fn(&Host) -> bool) -> Vec<usize> {
        self.with_hosts(|hosts| {
            let numbered = hosts.iter().enumerate();
            numbered.filter(|(_, host)| is_wanted(host)).map(|(number, _)| number).collect()
        })
    }

    fn controls(&self) -> Vec<usize> {
        self.numbers(|host| host.role == Role::Control && !host.is_lost)
    }

    pub fn routers(&self) -> Vec<usize> {
        self.numbers(|host| host.role == Role::Router)
    }

    fn address(&self, host: usize) -> Ipv4Addr {
        self.with_hosts(|hosts| hosts[host].address)
    }

    /// Where a router serves its metrics.
    pub fn ready(&self, router: usize) -> SocketAddr {
        (self.address(router), READY_PORT).into()
    }

    /// Where a router serves callers.
    pub fn front(&self, router: usize) -> SocketAddr {
        (self.address(router), FRONT_PORT).into()
    }

    /// Where the control hosts that are not lost serve operators.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let controls = self.controls().into_iter();
        controls.map(|control| (self.address(control), CONTROL_PORT).into()).collect()
    }

    /// The numbers of the control hosts that are not lost, as control hosts state them.
    pub fn running_controls(&self) -> BTreeSet<u32> {
        self.controls().into_iter().map(|control| self.address(control).to_bits()).collect()
    }

    /// The voters, as one that leads states them.
    pub async fn voters(&self) -> Option<BTreeSet<u32>> {
        let leader = self.leader().await?;
        let to: SocketAddr = (self.address(leader), OPERATOR_PORT).into();
        let status = async {
            let mut client = operator::connect(to).await.ok()?;
            Some(client.status(proto::StatusRequest {}).await.ok()?.into_inner())
        };
        let group = tokio::time::timeout(REQUEST_TIMEOUT, status).await.ok()??.group?;
        Some(group.members.iter().filter(|m| m.voter).map(|m| m.host).collect())
    }

    /// The control host that confirms that it leads.
    pub async fn leader(&self) -> Option<usize> {
        for control in self.controls() {
            let to = (self.address(control), CONTROL_PORT).into();
            if get_configuration(to).await.is_some_and(|answer| answer.status == 200) {
                return Some(control);
            }
        }
        None
    }

    /// The control hosts that started first.
    pub fn first_controls(&self) -> Vec<usize> {
        (0..CONTROLS).collect()
    }

    /// Loses a control host for good, and starts one with an empty disk at another address.
    pub fn replace(&self, lost: usize) {
        let new = self.with_hosts(|hosts| {
            let host = &mut hosts[lost];
            host.is_lost = true;
            let child = host.process.as_ref().unwrap();
            kill(Pid::from_raw(child.id() as i32), Signal::SIGSTOP).unwrap();
            let [a, b, c, _] = host.address.octets();
            let address = Ipv4Addr::new(a, b, c, REPLACEMENTS[lost]);
            hosts.push(Host { role: Role::Control, address, process: None, is_lost: false });
            hosts.len() - 1
        });
        self.spawn(new, &self.seeds(Seeds::Current), false);
    }

    pub fn kill(&self, host: usize) {
        self.with_hosts(|hosts| {
            let mut child = hosts[host].process.take().unwrap();
            child.kill().unwrap();
            child.wait().unwrap();
        });
    }

    /// Starts a host with seeds that are all lost.
    pub fn start_with_lost_seeds(&self, host: usize) {
        let lost = self.numbers(|host| host.is_lost);
        let seeds: Vec<_> = lost.into_iter().map(|host| self.address(host)).collect();
        self.spawn(host, &seeds, false);
    }

    /// Writes the settings file of a running host anew, with the control hosts that run as seeds.
    pub fn update_seeds(&self, host: usize) {
        let role = self.with_hosts(|hosts| hosts[host].role);
        let text = self.settings(host, role, &self.seeds(Seeds::Current), false);
        std::fs::write(self.settings_file(host), text).unwrap();
    }

    fn settings_file(&self, host: usize) -> PathBuf {
        self.folder.path().join(format!("{host}.yaml"))
    }

    /// Kills every process, and the lost ones for good.
    pub fn kill_all(&self) {
        // What is observed meanwhile counts as another life.
        self.life.fetch_add(1, Ordering::SeqCst);
        self.with_hosts(|hosts| {
            for mut child in hosts.iter_mut().filter_map(|host| host.process.take()) {
                // It may have ended by itself.
                let _ = child.kill();
                let _ = child.wait();
            }
        });
        self.life.fetch_add(1, Ordering::SeqCst);
    }

    /// Empties the disk of a host that does not run.
    pub fn lose_disk(&self, host: usize) {
        std::fs::remove_dir_all(self.data(host)).unwrap();
    }

    /// Starts every host; also the lost ones if `lost_too`.
    pub fn start_all(&self, seeds: Seeds, lost_too: bool) {
        let seeds = self.seeds(seeds);
        for host in self.numbers(|host| lost_too || !host.is_lost) {
            self.spawn(host, &seeds, false);
        }
    }

    fn seeds(&self, seeds: Seeds) -> Vec<Ipv4Addr> {
        let running = self.controls();
        let chosen: Vec<_> = match seeds {
            Seeds::Current => running.into_iter().take(SEED_HOSTS).collect(),
            Seeds::Outdated => {
                let lost = self.numbers(|host| host.is_lost);
                lost.into_iter().take(SEED_HOSTS - 1).chain(running.into_iter().take(1)).collect()
            }
        };
        chosen.into_iter().map(|host| self.address(host)).collect()
    }

    fn data(&self, host: usize) -> PathBuf {
        self.folder.path().join(format!("data-{host}"))
    }

    fn spawn(&self, host: usize, seeds: &[Ipv4Addr], is_first_start: bool) {
        let settings = self.settings_file(host);
        let role = self.with_hosts(|hosts| hosts[host].role);
        std::fs::write(&settings, self.settings(host, role, seeds, is_first_start)).unwrap();
        let log = || {
            let path = self.folder.path().join(format!("{host}.log"));
            Stdio::from(std::fs::File::options().create(true).append(true).open(path).unwrap())
        };
        let role = if role == Role::Control { "control" } else { "router" };
        let child = Command::new(env!("CARGO_BIN_EXE_bramblecrank"))
            .args(["--log-level", "info", "--log-layout", "plain", role, "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log())
            .stderr(log())
            .spawn()
            .unwrap();
        self.with_hosts(|hosts| hosts[host].process = Some(child));
    }

    fn settings(
        &self,
        host: usize,
        role: Role,
        seeds: &[Ipv4Addr],
        is_first_start: bool,
    ) -> String {
        let own = self.address(host);
        let hall = HALLS[host % HALLS.len()];
        let seeds = seeds.iter().map(|seed| format!("\"{seed}:{CONTROL_PORT}\""));
        let seeds = seeds.collect::<Vec<_>>().join(", ");
        let common = format!(
            "host:\n  name: host-{host}\n  hall: {hall}\n  peer: \"{own}:{PEER_PORT}\"\n  \
             seeds: [{seeds}]\n  seed_port: {PEER_PORT}\n  heartbeats: control\n\
             operator: \"{own}:{OPERATOR_PORT}\"\n"
        );
        let tolerated = (CONTROLS - 1) / 2;
        let data = self.data(host);
        common
            + &match role {
                Role::Control => format!(
                    "platform: \"{own}:{CONTROL_PORT}\"\ndata: {}\n\
                     found_with_seeds: {is_first_start}\ntolerated_losses: {tolerated}\n\
                     wait_for_disk: true\nsnapshot_every: 20\n",
                    data.display()
                ),
                Role::Router => format!(
                    "listen: \"{own}:{FRONT_PORT}\"\ngateway:\n  ready: \"{own}:{READY_PORT}\"\n  \
                     stop_takes_ms: 100\n  stop_within_s: 4\n"
                ),
            }
    }

    /// The version of the configuration that is read from the leader.
    pub async fn read_configuration(&self) -> Option<u64> {
        for control in self.control_addresses() {
            let answer = get_configuration(control).await.filter(|answer| answer.status == 200);
            if let Some(answer) = answer {
                return answer.body.split_once(',')?.0.rsplit(':').next()?.parse().ok();
            }
        }
        None
    }
}

async fn get_configuration(control: SocketAddr) -> Option<Answer> {
    let text = "GET /config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    record::exchange(control, text, REQUEST_TIMEOUT).await
}
