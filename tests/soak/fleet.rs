//! Three control hosts and two routers as separate processes, each on a loopback
//! address of its own, that are killed, paused, stopped and started again.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;

pub const CONTROLS: usize = 3;
pub const ROUTERS: usize = 2;
const HOSTS: usize = CONTROLS + ROUTERS;
/// Ports, the same on all machines.
const PEER: u16 = 7_400;
const OPERATOR: u16 = 7_401;
const CONTROL: u16 = 8_705;
const FRONT: u16 = 8_703;
const READY: u16 = 8_704;
/// How often a planned stop is looked at.
const POLL: Duration = Duration::from_millis(20);

/// Each fleet of a test run has addresses of its own.
static NEXT: AtomicU32 = AtomicU32::new(0);

pub struct Fleet {
    addresses: Vec<Ipv4Addr>,
    folder: TempDir,
    processes: Mutex<Vec<Option<Child>>>,
    lives: Vec<AtomicU32>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..HOSTS).for_each(|host| self.kill(host));
    }
}

/// A host's place among the processes: control hosts first.
pub fn router(number: usize) -> usize {
    CONTROLS + number
}

impl Fleet {
    pub fn start() -> Fleet {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) as usize;
        // Processes of test runs beside this one differ in their numbers.
        let net = (std::process::id() % 250 + 1) as u8;
        let address = |host| Ipv4Addr::new(127, 10, net, (number * HOSTS + host + 1) as u8);
        let fleet = Fleet {
            addresses: (0..HOSTS).map(address).collect(),
            folder: TempDir::new().unwrap(),
            processes: Mutex::new((0..HOSTS).map(|_| None).collect()),
            lives: (0..HOSTS).map(|_| AtomicU32::new(0)).collect(),
        };
        (0..HOSTS).for_each(|host| fleet.write_settings(host));
        (0..HOSTS).for_each(|host| fleet.spawn(host));
        fleet
    }

    /// Where a control host answers operators and replicas.
    pub fn control(&self, number: usize) -> SocketAddr {
        (self.addresses[number], CONTROL).into()
    }

    /// Where a router answers callers.
    pub fn front(&self, number: usize) -> SocketAddr {
        (self.addresses[router(number)], FRONT).into()
    }

    /// Counts the starts of a host's process.
    pub fn life(&self, host: usize) -> u32 {
        self.lives[host].load(Ordering::SeqCst)
    }

    pub fn spawn(&self, host: usize) {
        let role = if host < CONTROLS { "control" } else { "router" };
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
        let seeds = self.addresses[..CONTROLS].iter().map(|a| format!("\"{a}:{CONTROL}\""));
        let seeds = seeds.collect::<Vec<_>>().join(", ");
        let common = format!(
            "host:\n  name: host-{host}\n  hall: a\n  peer: \"{own}:{PEER}\"\n  seeds: [{seeds}]\n  \
             seed_port: {PEER}\n  heartbeats: control\noperator: \"{own}:{OPERATOR}\"\n"
        );
        let data = self.folder.path().join(format!("data-{host}"));
        let rest = match host < CONTROLS {
            true => format!(
                "platform: \"{own}:{CONTROL}\"\ndata: {}\nfound_with_seeds: true\n\
                 tolerated_losses: 1\nwait_for_disk: true\n",
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
