//! Control hosts and routers as separate processes, each on a loopback address of its
//! own, that are killed, paused, stopped and started again, and what connects them.

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

/// How many processes of each kind there are.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub controls: usize,
    pub routers: usize,
}

impl Size {
    pub fn hosts(self) -> usize {
        self.controls + self.routers
    }

    /// A router's place among the processes: control hosts first.
    pub fn router(self, number: usize) -> usize {
        self.controls + number
    }
}

/// Control hosts that are named to every process, as on the platform.
const SEEDS: usize = 3;
/// Data halls, over which hosts are dealt out.
const HALLS: [&str; 3] = ["a", "b", "c"];
/// Ports, the same on all machines.
const PEER: u16 = 7_400;
/// Where the relay before a control host listens.
const RELAY: u16 = 7_500;
const OPERATOR: u16 = 7_401;
const CONTROL: u16 = 8_705;
const FRONT: u16 = 8_703;
const READY: u16 = 8_704;
/// How often a planned stop is looked at.
const POLL: Duration = Duration::from_millis(20);

/// Each fleet of a test run has addresses of its own, from this network on.
static NEXT: AtomicU32 = AtomicU32::new(FIRST_NET);
const FIRST_NET: u32 = 20;
const NETS: u32 = 200;

pub struct Fleet {
    pub size: Size,
    addresses: Vec<Ipv4Addr>,
    folder: TempDir,
    processes: Mutex<Vec<Option<Child>>>,
    lives: Vec<AtomicU32>,
    /// Before each control host: routers open connections, and take none.
    proxies: Vec<Proxy>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.size.hosts()).for_each(|host| self.kill(host));
    }
}

impl Fleet {
    pub fn start(size: Size) -> Fleet {
        let number = (NEXT.fetch_add(1, Ordering::Relaxed) - FIRST_NET) % NETS + FIRST_NET;
        // Processes of test runs beside this one differ in their numbers.
        let net = (std::process::id() % 250 + 1) as u8;
        let address = |host| Ipv4Addr::new(127, number as u8, net, host as u8 + 1);
        let addresses: Vec<_> = (0..size.hosts()).map(address).collect();
        let proxy = |own: &Ipv4Addr| Proxy::start((*own, RELAY).into(), (*own, PEER).into());
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
            lives: (0..size.hosts()).map(|_| AtomicU32::new(0)).collect(),
        };
        (0..size.hosts()).for_each(|host| fleet.write_settings(host));
        (0..size.hosts()).for_each(|host| fleet.spawn(host));
        fleet
    }

    /// Open connections to any control host for which this holds fall silent for good;
    /// new ones work. Returns how many they are.
    pub fn silence(&self, concerned: impl Fn(&Open) -> bool) -> usize {
        self.proxies.iter().map(|proxy| proxy.silence(&concerned)).sum()
    }

    /// Open connections to any control host for which this holds are reset.
    pub fn reset(&self, concerned: impl Fn(&Open) -> bool) -> usize {
        self.proxies.iter().map(|proxy| proxy.reset(&concerned)).sum()
    }

    /// What is sent to and from one control host on connections waits, or goes on.
    pub fn hold(&self, control: usize, is_held: bool) {
        self.proxies[control].hold(is_held);
    }

    /// Where a control host answers operators and replicas.
    pub fn control(&self, number: usize) -> SocketAddr {
        (self.addresses[number], CONTROL).into()
    }

    /// Where a router answers callers.
    pub fn front(&self, number: usize) -> SocketAddr {
        (self.addresses[self.size.router(number)], FRONT).into()
    }

    /// Counts the starts of a host's process.
    pub fn life(&self, host: usize) -> u32 {
        self.lives[host].load(Ordering::SeqCst)
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
        self.lives[host].fetch_add(1, Ordering::SeqCst);
        self.processes.lock().unwrap()[host] = Some(child);
    }

    fn log(&self, host: usize) -> Stdio {
        let path = self.folder.path().join(format!("{host}.log"));
        std::fs::File::options().create(true).append(true).open(path).unwrap().into()
    }

    /// Keeps the logs, for a seed that failed.
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

    /// Stops a process as planned and waits until it has ended.
    pub async fn stop(&self, host: usize) {
        self.signal(host, Signal::SIGTERM);
        while !self.has_ended(host) {
            tokio::time::sleep(POLL).await;
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
        let seeds = self.addresses[..SEEDS.min(self.size.controls)]
            .iter()
            .map(|a| format!("\"{a}:{CONTROL}\""));
        let seeds = seeds.collect::<Vec<_>>().join(", ");
        let hall = HALLS[host % HALLS.len()];
        let advertised = if host < self.size.controls { RELAY } else { PEER };
        let common = format!(
            "host:\n  name: host-{host}\n  hall: {hall}\n  peer: \"{own}:{PEER}\"\n  \
             advertise: \"{own}:{advertised}\"\n  seeds: [{seeds}]\n  \
             seed_port: {RELAY}\n  heartbeats: control\noperator: \"{own}:{OPERATOR}\"\n"
        );
        // As many may be lost as leave a majority.
        let tolerated = (self.size.controls - 1) / 2;
        let data = self.folder.path().join(format!("data-{host}"));
        let rest = match host < self.size.controls {
            true => format!(
                "platform: \"{own}:{CONTROL}\"\ndata: {}\nfound_with_seeds: true\n\
                 tolerated_losses: {tolerated}\nwait_for_disk: true\n",
                data.display()
            ),
            false => format!(
                "listen: \"{own}:{FRONT}\"\ngateway:\n  ready: \"{own}:{READY}\"\n  \
                 stop_takes_ms: 100\n  stop_within_s: 4\n"
            ),
        };
        std::fs::write(self.folder.path().join(format!("{host}.yaml")), common + &rest).unwrap();
    }
}
