//! Control hosts and routers as separate processes, each on its own loopback address, with
//! functions to kill, pause, stop and restart them and to disturb their connections.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bramblecrank::wire::Open;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;

use crate::proxy::Proxy;

/// Number of processes of each kind.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub controls: usize,
    pub routers: usize,
}

impl Size {
    pub fn hosts(self) -> usize {
        self.controls + self.routers
    }

    /// Index of a router among the processes: control hosts come first.
    pub fn router(self, number: usize) -> usize {
        self.controls + number
    }
}

/// Number of control hosts that every process is given as seeds, as on the platform.
const SEED_HOSTS: usize = 3;
/// Data halls, to which hosts are assigned in turn.
const HALLS: [&str; 3] = ["a", "b", "c"];
/// Ports, the same on every address.
const PEER_PORT: u16 = 7_400;
/// Port of the relay in front of a control host.
const RELAY_PORT: u16 = 7_500;
const OPERATOR_PORT: u16 = 7_401;
const CONTROL_PORT: u16 = 8_705;
const FRONT_PORT: u16 = 8_703;
const READY_PORT: u16 = 8_704;
/// How often [`Fleet::stop`] checks whether the process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Second octet of the next fleet's addresses, so that each fleet of a test run has its own.
static NEXT_NET: AtomicU32 = AtomicU32::new(FIRST_NET);
const FIRST_NET: u32 = 20;
const NETS: u32 = 200;

pub struct Fleet {
    pub size: Size,
    addresses: Vec<Ipv4Addr>,
    folder: TempDir,
    processes: Mutex<Vec<Option<Child>>>,
    start_counts: Vec<AtomicU32>,
    /// One in front of each control host: routers open connections but accept none.
    proxies: Vec<Proxy>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.size.hosts()).for_each(|host| self.kill(host));
    }
}

impl Fleet {
    pub fn start(size: Size) -> Fleet {
        let number = (NEXT_NET.fetch_add(1, Ordering::Relaxed) - FIRST_NET) % NETS + FIRST_NET;
        // Concurrent test runs have different process ids.
        let net = (std::process::id() % 250 + 1) as u8;
        let address = |host| Ipv4Addr::new(127, number as u8, net, host as u8 + 1);
        let addresses: Vec<_> = (0..size.hosts()).map(address).collect();
        let proxy =
            |own: &Ipv4Addr| Proxy::start((*own, RELAY_PORT).into(), (*own, PEER_PORT).into());
        let mut folder = TempDir::new().unwrap();
        if std::env::var_os("SOAK_KEEP_LOGS").is_some() {
            folder.disable_cleanup(true);
            println!("logs in {}", folder.path().display());
        }
        let fleet = Fleet {
            size,
            proxies: addresses[..size.controls].iter().map(proxy).collect(),
            addresses,
            folder,
            processes: Mutex::new((0..size.hosts()).map(|_| None).collect()),
            start_counts: (0..size.hosts()).map(|_| AtomicU32::new(0)).collect(),
        };
        (0..size.hosts()).for_each(|host| fleet.write_settings(host));
        (0..size.hosts()).for_each(|host| fleet.spawn(host));
        fleet
    }

    /// Silences the selected open connections to all control hosts for good; new ones work.
    /// Returns their number.
    pub fn silence(&self, is_selected: impl Fn(&Open) -> bool) -> usize {
        self.proxies.iter().map(|proxy| proxy.silence(&is_selected)).sum()
    }

    /// Resets the selected open connections to all control hosts; returns their number.
    pub fn reset(&self, is_selected: impl Fn(&Open) -> bool) -> usize {
        self.proxies.iter().map(|proxy| proxy.reset(&is_selected)).sum()
    }

    /// Holds back, or releases, all bytes sent on the connections of one control host.
    pub fn hold(&self, control: usize, is_held: bool) {
        self.proxies[control].hold(is_held);
    }

    /// Address at which a control host serves the platform, operators and replicas.
    pub fn control(&self, number: usize) -> SocketAddr {
        (self.addresses[number], CONTROL_PORT).into()
    }

    /// Address at which a router serves callers.
    pub fn front(&self, number: usize) -> SocketAddr {
        (self.addresses[self.size.router(number)], FRONT_PORT).into()
    }

    /// Number of times that a host's process was started.
    pub fn start_number(&self, host: usize) -> u32 {
        self.start_counts[host].load(Ordering::SeqCst)
    }

    pub fn spawn(&self, host: usize) {
        let role = if host < self.size.controls { "control" } else { "router" };
        let child = Command::new(env!("CARGO_BIN_EXE_bramblecrank"))
            .args(["--log-level", "info", "--log-layout", "plain", role, "--settings"])
            .arg(self.folder.path().join(format!("{host}.yaml")))
            .stdin(Stdio::null())
            .stdout(self.log(host))
            .stderr(self.log(host))
            .spawn()
            .unwrap();
        self.start_counts[host].fetch_add(1, Ordering::SeqCst);
        self.processes.lock().unwrap()[host] = Some(child);
    }

    fn log(&self, host: usize) -> Stdio {
        let path = self.folder.path().join(format!("{host}.log"));
        std::fs::File::options().create(true).append(true).open(path).unwrap().into()
    }

    /// Keeps the folder with the logs of a failed seed, and returns its path.
    pub fn keep_logs(&mut self) -> std::path::PathBuf {
        self.folder.disable_cleanup(true);
        self.folder.path().to_path_buf()
    }

    pub fn kill(&self, host: usize) {
        let child = self.processes.lock().unwrap()[host].take();
        if let Some(mut child) = child {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn signal(&self, host: usize, signal: Signal) {
        let processes = self.processes.lock().unwrap();
        if let Some(child) = &processes[host] {
            // It may have ended by itself.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    pub fn pause(&self, host: usize) {
        self.signal(host, Signal::SIGSTOP);
    }

    pub fn resume(&self, host: usize) {
        self.signal(host, Signal::SIGCONT);
    }

    /// Stops a process with SIGTERM and waits until it has ended.
    pub async fn stop(&self, host: usize) {
        self.signal(host, Signal::SIGTERM);
        while !self.has_ended(host) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn has_ended(&self, host: usize) -> bool {
        let mut processes = self.processes.lock().unwrap();
        match &mut processes[host] {
            Some(child) => child.try_wait().unwrap().is_some(),
            None => true,
        }
    }

    fn write_settings(&self, host: usize) {
        let own = self.addresses[host];
        let seeds = self.addresses[..SEED_HOSTS.min(self.size.controls)]
            .iter()
            .map(|a| format!("\"{a}:{CONTROL_PORT}\""));
        let seeds = seeds.collect::<Vec<_>>().join(", ");
        let hall = HALLS[host % HALLS.len()];
        let advertised = if host < self.size.controls { RELAY_PORT } else { PEER_PORT };
        let common = format!(
            "host:\n  name: host-{host}\n  hall: {hall}\n  peer: \"{own}:{PEER_PORT}\"\n  \
             advertise: \"{own}:{advertised}\"\n  seeds: [{seeds}]\n  \
             seed_port: {RELAY_PORT}\n  heartbeats: control\noperator: \"{own}:{OPERATOR_PORT}\"\n"
        );
        // A majority must remain.
        let tolerated = (self.size.controls - 1) / 2;
        let data = self.folder.path().join(format!("data-{host}"));
        let role_settings = match host < self.size.controls {
            true => format!(
                "platform: \"{own}:{CONTROL_PORT}\"\ndata: {}\nfound_with_seeds: true\n\
                 tolerated_losses: {tolerated}\nwait_for_disk: true\n",
                data.display()
            ),
            false => format!(
                "listen: \"{own}:{FRONT_PORT}\"\ngateway:\n  ready: \"{own}:{READY_PORT}\"\n  \
                 stop_takes_ms: 100\n  stop_within_s: 4\n"
            ),
        };
        std::fs::write(self.folder.path().join(format!("{host}.yaml")), common + &role_settings)
            .unwrap();
    }
}
