//! A fleet of real processes, and the state of a scenario that uses it.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bramblecrank::error::Result;
use bramblecrank::load::LoadReport;
use bramblecrank::operator::{apply_document, connect, proto};
use bramblecrank::site::{SampleSite, Site};
use cucumber::World;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;
use tokio::task::JoinHandle;

/// How long anything that must happen may take in a scenario. Exact timings are measured by
/// the benchmarks.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const FIRST_PORT: u16 = 2_000;
const PORTS_PER_RANGE: u16 = 1_000;
const PORT_RANGES: usize = 16;

static PORT_RANGES_IN_USE: Mutex<[bool; PORT_RANGES]> = Mutex::new([false; PORT_RANGES]);

/// A range of ports, released when dropped.
#[derive(Debug)]
struct PortRange(usize);

impl PortRange {
    fn reserve() -> PortRange {
        let mut taken = PORT_RANGES_IN_USE.lock().unwrap();
        let base = |slot: usize| FIRST_PORT + slot as u16 * PORTS_PER_RANGE;
        let free = |slot: &usize| {
            let callers = SocketAddr::from(([127, 0, 0, 1], base(*slot) + 100));
            !taken[*slot] && TcpListener::bind(callers).is_ok()
        };
        let slot = (0..PORT_RANGES).find(free).expect("no free range of ports");
        taken[slot] = true;
        PortRange(slot)
    }

    fn base(&self) -> u16 {
        FIRST_PORT + self.0 as u16 * PORTS_PER_RANGE
    }
}

impl Drop for PortRange {
    fn drop(&mut self) {
        PORT_RANGES_IN_USE.lock().unwrap()[self.0] = false;
    }
}

/// The state of one scenario.
#[derive(Debug, Default, World)]
pub struct FleetWorld {
    pub fleet: Option<Fleet>,
    pub load: Option<JoinHandle<Result<LoadReport>>>,
    pub report: Option<LoadReport>,
    pub replies: Vec<proto::ApplyReply>,
    pub answers: Vec<Answer>,
    /// Number of engines that ended without being stopped.
    pub ended_engines: usize,
}

/// An answer to a caller.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub outcome: String,
    pub reason: String,
    pub retry_after: Option<u64>,
    pub replayed: bool,
    pub trace: String,
    pub body: String,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl FleetWorld {
    pub fn fleet(&mut self) -> &mut Fleet {
        self.fleet.as_mut().expect("the scenario has no fleet")
    }
}

/// The processes of one site.
#[derive(Debug)]
pub struct Fleet {
    pub site: Site,
    pub folder: TempDir,
    processes: BTreeMap<String, Child>,
    _port_range: PortRange,
}

impl Fleet {
    /// Starts all processes, applies the configuration and waits until routers are ready.
    pub async fn start(routers: u16, controls: u16, engines: u16, services: u16) -> Fleet {
        let ports = PortRange::reserve();
        let folder = TempDir::new().unwrap();
        let plan = SampleSite::Perak.plan(ports.base(), &folder.path().join("data"));
        let site = Site { routers, controls, engines, services, ..plan };
        let mut files = site.files();
        for engine in &mut files.engines {
            engine.slots = 4;
            engine.token_us = 1_000;
            engine.crashes = true;
        }
        for endpoint in &mut files.configuration.endpoints {
            endpoint.slots = 4;
        }
        for service in &mut files.services {
            service.slots = 4;
        }
        files.write(folder.path()).unwrap();
        let mut fleet = Fleet { site, folder, processes: BTreeMap::new(), _port_range: ports };
        let mut names = vec!["platform".to_string()];
        names.extend((1..=engines).map(|n| format!("engine-{n}")));
        names.extend((1..=services).map(|n| format!("service-{n}")));
        names.extend((1..=controls).map(|n| format!("control-{n}")));
        names.extend((1..=routers).map(|n| format!("router-{n}")));
        names.iter().for_each(|name| fleet.spawn(name));
        let document = serde_saphyr::to_string(&files.configuration).unwrap();
        let reply = fleet.apply("first", None, &document).await;
        assert_eq!(reply.result(), proto::apply_reply::Result::Accepted, "{reply:?}");
        for n in 0..routers {
            fleet.wait_ready(n).await;
        }
        fleet
    }

    /// Starts the process of that name with its settings, unless it is running.
    pub fn spawn(&mut self, name: &str) {
        // A second process would outlive the scenario and interfere with the next.
        if self.processes.contains_key(name) {
            return;
        }
        let kind: &[&str] = match name.split('-').next().unwrap() {
            "router" => &["router"],
            "control" => &["control"],
            "engine" => &["emulate", "engine"],
            "service" => &["emulate", "service"],
            _ => &["emulate", "platform"],
        };
        let log = self.folder.path().join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_bramblecrank"))
            .args(["--log-level", "info"])
            .args(kind)
            .arg("--settings")
            .arg(self.folder.path().join(format!("{name}.yaml")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.processes.insert(name.to_string(), child);
    }

    /// Process id of a running process.
    pub fn process_id(&self, name: &str) -> u32 {
        self.processes[name].id()
    }

    fn signal(&self, name: &str, signal: Signal) {
        let pid = Pid::from_raw(self.processes[name].id() as i32);
        kill(pid, signal).unwrap();
    }

    pub fn kill(&mut self, name: &str) {
        let mut child = self.processes.remove(name).expect("not running");
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Restarts engines that ended without being stopped; returns their number.
    pub fn start_ended_engines(&mut self) -> usize {
        let is_engine = |name: &str| name.starts_with("engine-");
        let engines = self.processes.iter_mut().filter(|(name, _)| is_engine(name));
        let ended = engines.filter_map(|(name, child)| {
            let has_ended = child.try_wait().unwrap().is_some();
            has_ended.then(|| name.clone())
        });
        let ended: Vec<_> = ended.collect();
        for name in &ended {
            self.processes.remove(name);
            self.spawn(name);
        }
        ended.len()
    }

    pub fn pause(&self, name: &str) {
        self.signal(name, Signal::SIGSTOP);
    }

    pub fn resume(&self, name: &str) {
        self.signal(name, Signal::SIGCONT);
    }

    /// Stops a process with SIGTERM and waits for its end; returns whether it exited successfully.
    pub async fn stop(&mut self, name: &str) -> bool {
        self.signal(name, Signal::SIGTERM);
        let mut child = self.processes.remove(name).unwrap();
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if let Some(status) = child.try_wait().unwrap() {
                return status.success();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        child.kill().unwrap();
        child.wait().unwrap();
        false
    }

    pub fn lose_disk(&self, control: u16) {
        let data = self.site.control(control - 1).data;
        std::fs::remove_dir_all(data).unwrap();
    }

    pub fn operators(&self) -> Vec<SocketAddr> {
        (0..self.site.controls).map(|n| self.site.control_operator(n)).collect()
    }

    pub async fn apply(
        &self,
        operation: &str,
        base: Option<u64>,
        document: &str,
    ) -> proto::ApplyReply {
        let request = proto::ApplyRequest {
            operation: operation.into(),
            base,
            document: document.into(),
            leaving: Vec::new(),
        };
        apply_document(&self.operators(), request).await.unwrap()
    }

    pub async fn wait_ready(&self, router: u16) {
        let address = self.site.router_address(router);
        until("a router accepts requests", async || {
            tokio::net::TcpStream::connect(address).await.is_ok()
        })
        .await;
    }

    /// The status of a host; `None` if it does not answer.
    pub async fn status(&self, operator: SocketAddr) -> Option<proto::StatusReply> {
        let mut client = connect(operator).await.ok()?;
        let reply = client.status(proto::StatusRequest {}).await.ok()?;
        Some(reply.into_inner())
    }

    /// Number, from 1, of the control host that reports itself leader in the highest term.
    pub async fn leader(&self) -> u16 {
        let mut found = 0;
        until("a control host leads", async || {
            found = self.leader_now().await.unwrap_or(0);
            found > 0
        })
        .await;
        found
    }

    async fn leader_now(&self) -> Option<u16> {
        let mut leaders = Vec::new();
        for n in 0..self.site.controls {
            let group = self.status(self.site.control_operator(n)).await.and_then(|s| s.group);
            if let Some(group) = group.filter(|g| g.state == "leader") {
                leaders.push((group.term, n + 1));
            }
        }
        leaders.into_iter().max().map(|(_, n)| n)
    }

    /// Number, from 1, of the router that dispatches a service for the most routers.
    pub async fn dispatcher(&self, service: &str) -> u16 {
        let mut found = 0;
        until("a router dispatches", async || {
            let mut best = (0, 0);
            for n in 0..self.site.routers {
                let status = self.status(self.site.router_operator(n)).await;
                let dispatchers = status.map(|s| s.dispatchers).unwrap_or_default();
                let mine = dispatchers.iter().find(|d| d.service == service);
                best = best.max((mine.map_or(0, |d| d.routers.len()), n + 1));
            }
            found = best.1;
            best.0 > 0
        })
        .await;
        found
    }

    pub async fn rehearse(&self, operator: SocketAddr, request: proto::RehearseRequest) {
        until("the host accepts the rehearsal", async || {
            let Ok(mut client) = connect(operator).await else { return false };
            client.rehearse(request.clone()).await.is_ok_and(|r| r.into_inner().accepted)
        })
        .await;
    }

    /// Operator address, host id and data hall of every host.
    pub fn hosts(&self) -> Vec<(SocketAddr, u32, String)> {
        let routers = (0..self.site.routers).map(|n| self.site.router(n));
        let routers = routers.map(|r| (r.operator, r.host.host_id().0, r.host.hall));
        let controls = (0..self.site.controls).map(|n| self.site.control(n));
        let controls = controls.map(|c| (c.operator, c.host.host_id().0, c.host.hall));
        routers.chain(controls).collect()
    }

    /// The log of a process.
    pub fn log(&self, name: &str) -> String {
        let path = self.folder.path().join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_FOLDERS").is_some() {
            self.folder.disable_cleanup(true);
            println!("kept {}", self.folder.path().display());
        }
        for child in self.processes.values_mut() {
            // Both fail if the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Polls until `condition` holds; panics after [`WAIT_TIMEOUT`].
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < WAIT_TIMEOUT, "not within {WAIT_TIMEOUT:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
