//! A test fleet of one control host and one or two routers. Each is a separate process with its
//! own loopback address, as if it ran on its own machine.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;

use crate::http::{Answer, call};
use crate::replica::Replica;

#[path = "fleet_settings.rs"]
mod settings;

use settings::{HANDS_OVER_ALL, SERVES_ALL, UNLIMITED_RETRIES, write_settings};

/// Interval between two checks of a condition that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Ports, the same on every address.
const PEER_PORT: u16 = 7_400;
const OPERATOR_PORT: u16 = 7_401;
const CONTROL_PORT: u16 = 8_705;
const FRONT_PORT: u16 = 8_703;
const READY_PORT: u16 = 8_704;

/// Number of the next fleet; each fleet of a test run has its own three loopback addresses.
static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);
/// Fleets in one network of 256 addresses, and the second octet of the first network.
const FLEETS_PER_NET: u32 = 84;
const FIRST_NET: u32 = 9;

pub struct Fleet {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    control: SocketAddr,
    folder: TempDir,
    control_process: Option<Child>,
    router_process: Option<Child>,
    /// Where the second router accepts requests, if it runs.
    pub neighbour: SocketAddr,
    neighbour_process: Option<Child>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_control();
        self.kill_router();
        self.kill_neighbour();
    }
}

/// A configuration with a route of each kind.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","host":"shop.example","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":2000,"sloMs":500,"priority":1,"service":"app","attempts":2,{more}"sticky":false}}"#
        )
    };
    let routes = [
        route("safe", "idempotent", ""),
        route("once", "non_idempotent", ""),
        route("public", "idempotent", r#""public":true,"#),
        route("stream", "streaming", ""),
        route("resumable", "streaming", r#""resumable":true,"#),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"app","healthPath":"/healthz","maxConns":50}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4096,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"one","apiKeys":["key-one"]}},{{"name":"two","apiKeys":["key-two"]}}]}}"#,
        routes.join(",")
    )
}

impl Fleet {
    pub async fn start() -> Fleet {
        Fleet::start_in_regions("{}").await
    }

    /// Starts a fleet with these regions of data halls. All hosts are in hall `a`.
    pub async fn start_in_regions(regions: &str) -> Fleet {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        // Concurrent test processes have other process ids, hence other networks.
        let net = (std::process::id() % 250 + 1) as u8;
        let (block, number) = (number / FLEETS_PER_NET, number % FLEETS_PER_NET);
        let address = |last: u32| {
            Ipv4Addr::new(127, (FIRST_NET + block) as u8, net, (number * 3 + last) as u8)
        };
        let (control, router, neighbour) = (address(1), address(2), address(3));
        let folder = TempDir::new().unwrap();
        write_settings(&folder, [control, router, neighbour], regions);
        let mut fleet = Fleet {
            front: (router, FRONT_PORT).into(),
            ready: (router, READY_PORT).into(),
            control: (control, CONTROL_PORT).into(),
            folder,
            control_process: None,
            router_process: None,
            neighbour: (neighbour, FRONT_PORT).into(),
            neighbour_process: None,
        };
        fleet.start_control();
        fleet.start_router();
        fleet.wait_listening(fleet.control).await;
        fleet.wait_listening(fleet.front).await;
        fleet
    }

    fn spawn(&self, name: &str) -> Child {
        let role = if name == "control" { "control" } else { "router" };
        let log_level = std::env::var("FLEET_LOG_LEVEL").unwrap_or_else(|_| "warn".into());
        Command::new(env!("CARGO_BIN_EXE_bramblecrank"))
            .args(["--log-level", &log_level, role, "--settings"])
            .arg(self.folder.path().join(format!("{name}.yaml")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap()
    }

    pub fn start_control(&mut self) {
        self.control_process = Some(self.spawn("control"));
    }

    pub fn start_router(&mut self) {
        self.router_process = Some(self.spawn("router"));
    }

    /// Starts a second router in the same data hall.
    pub async fn start_neighbour(&mut self) {
        self.neighbour_process = Some(self.spawn("neighbour"));
        self.wait_listening(self.neighbour).await;
    }

    pub fn kill_neighbour(&mut self) {
        kill_child(&mut self.neighbour_process);
    }

    /// Restarts the router with settings that make it hand over every connection, however long
    /// the other router takes to answer.
    pub async fn restart_router_handing_over(&mut self) {
        self.kill_router();
        let path = self.folder.path().join("router.yaml");
        let text = std::fs::read_to_string(&path).unwrap();
        std::fs::write(path, text.replace(SERVES_ALL, HANDS_OVER_ALL)).unwrap();
        self.start_router();
        self.wait_ready().await;
    }

    /// Restarts the router with settings that bound its descriptors.
    pub async fn restart_router_with_descriptors(&mut self, descriptors: usize) {
        self.kill_router();
        let path = self.folder.path().join("router.yaml");
        let text = std::fs::read_to_string(&path).unwrap();
        let bounded = format!("{SERVES_ALL}    descriptors: {descriptors}\n");
        std::fs::write(path, text.replace(SERVES_ALL, &bounded)).unwrap();
        self.start_router();
        self.wait_ready().await;
    }

    /// Restarts the router with the default time for which a planned stop takes requests.
    pub async fn restart_router_with_default_stop(&mut self) {
        self.kill_router();
        let path = self.folder.path().join("router.yaml");
        let text = std::fs::read_to_string(&path).unwrap();
        std::fs::write(path, text.replace("stop_takes_ms: 300\n  ", "")).unwrap();
        self.start_router();
        self.wait_ready().await;
    }

    /// Where the control host serves operators and replicas.
    pub fn control_address(&self) -> SocketAddr {
        self.control
    }

    /// Process id of the second router.
    pub fn neighbour_id(&self) -> u32 {
        self.neighbour_process.as_ref().unwrap().id()
    }

    /// A value of the router's memory in KiB, as the system reports it under this name.
    pub fn memory_kib(&self, name: &str) -> u64 {
        let [router, _] = self.process_ids();
        let status = std::fs::read_to_string(format!("/proc/{router}/status")).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        line.trim_matches([':', ' ', '\t', 'k', 'B']).parse().unwrap()
    }

    /// Restarts the router with an unlimited budget for retries.
    pub async fn restart_router_retrying(&mut self) {
        self.kill_router();
        let path = self.folder.path().join("router.yaml");
        let text = std::fs::read_to_string(&path).unwrap();
        std::fs::write(path, text + UNLIMITED_RETRIES).unwrap();
        self.start_router();
        self.wait_ready().await;
    }

    /// Value of a metric of the first router; 0 if the metric is missing.
    pub async fn metric(&self, name: &str) -> u64 {
        let answer = call(self.ready, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").await;
        let line = answer.body.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        line.map_or(0, |value| value.parse().unwrap())
    }

    /// Waits until the first router has this number of routers in its directory.
    pub async fn wait_known_routers(&self, number: u64) {
        while self.metric("bramblecrank_gateway_known_routers").await != number {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the first router has noticed that no control host is left.
    pub async fn wait_feeds_lost(&self) {
        while self.metric("bramblecrank_gateway_open_feeds").await != 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Bytes in the control host's data folder.
    pub fn stored_bytes(&self) -> u64 {
        let files = std::fs::read_dir(self.folder.path().join("data")).unwrap();
        // A temporary file may be renamed meanwhile.
        files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len())).sum()
    }

    pub fn kill_control(&mut self) {
        kill_child(&mut self.control_process);
    }

    pub fn kill_router(&mut self) {
        kill_child(&mut self.router_process);
    }

    /// Asks the control host to stop.
    pub fn terminate_control(&self) {
        let [_, control] = self.process_ids();
        kill(Pid::from_raw(control as i32), Signal::SIGTERM).unwrap();
    }

    pub fn terminate_router(&self) {
        self.signal_router(Signal::SIGTERM);
    }

    pub fn terminate_neighbour(&self) {
        let neighbour = self.neighbour_process.as_ref().unwrap().id();
        kill(Pid::from_raw(neighbour as i32), Signal::SIGTERM).unwrap();
    }

    pub fn hang_up_router(&self) {
        self.signal_router(Signal::SIGHUP);
    }

    /// Freezes the router; it is killed when the fleet is dropped.
    pub fn freeze_router(&self) {
        self.signal_router(Signal::SIGSTOP);
    }

    /// Lets the frozen router run again.
    pub fn thaw_router(&self) {
        self.signal_router(Signal::SIGCONT);
    }

    fn signal_router(&self, signal: Signal) {
        let [router, _] = self.process_ids();
        kill(Pid::from_raw(router as i32), signal).unwrap();
    }

    /// Freezes the second router.
    pub fn freeze_neighbour(&self) {
        self.signal_neighbour(Signal::SIGSTOP);
    }

    /// Lets the second router run again.
    pub fn thaw_neighbour(&self) {
        self.signal_neighbour(Signal::SIGCONT);
    }

    fn signal_neighbour(&self, signal: Signal) {
        let neighbour = self.neighbour_process.as_ref().unwrap().id();
        kill(Pid::from_raw(neighbour as i32), signal).unwrap();
    }

    /// Process ids of the router and the control host.
    pub fn process_ids(&self) -> [u32; 2] {
        [&self.router_process, &self.control_process].map(|child| child.as_ref().unwrap().id())
    }

    /// Waits until the router exits; it must exit successfully.
    pub async fn wait_router_end(&mut self) {
        loop {
            let router = self.router_process.as_mut().unwrap();
            if let Some(status) = router.try_wait().unwrap() {
                assert!(status.success(), "{status}");
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether the router has exited, however it did.
    pub fn router_has_ended(&mut self) -> bool {
        self.router_process.as_mut().unwrap().try_wait().unwrap().is_some()
    }

    async fn wait_listening(&self, address: SocketAddr) {
        while tokio::net::TcpStream::connect(address).await.is_err() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the router reports that it is ready and has the current configuration.
    pub async fn wait_ready(&self) {
        self.wait_listening(self.ready).await;
        while call(self.ready, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await.status != 200 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.settle().await;
    }

    /// Waits until the router reports that it is not ready.
    pub async fn wait_not_ready(&self) {
        while call(self.ready, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await.status != 503 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the router has received everything that the control host has recorded so far:
    /// adds a probe route to the configuration and waits until the router has it.
    pub async fn settle(&self) {
        self.settle_router(self.front).await;
    }

    /// Waits until the second router has received everything, like [`Fleet::settle`].
    pub async fn settle_neighbour(&self) {
        self.settle_router(self.neighbour).await;
    }

    async fn settle_router(&self, front: SocketAddr) {
        let document = self.read_configuration().await;
        let (head, rest) = document.split_once(',').unwrap();
        let version: u64 = head.rsplit(':').next().unwrap().parse().unwrap();
        let next = version + 1;
        let probe = format!("/probe-{next}/");
        let route = format!(
            r#"{{"name":"probe-{next}","host":"probe.example","pathPrefix":"{probe}","kind":"idempotent","timeoutMs":2000,"service":"app","public":true}},"#
        );
        let text = rest.replacen("[", &format!("[{route}"), 1);
        self.configure(&format!("{{\"version\":{next},{text}")).await;
        let request = format!(
            "GET {probe} HTTP/1.1\r\nHost: probe.example\r\nBramblecrank-Deadline-Ms: 1\r\n\r\n"
        );
        loop {
            let answer = call(front, &request).await;
            let is_behind = matches!(answer.body.as_str(), "routing_unconfirmed" | "no_routing");
            if answer.status != 404 && !is_behind {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn control_call(&self, method: &str, path: &str, body: &str) -> Answer {
        self.wait_listening(self.control).await;
        let head = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json");
        let length = body.len();
        let text = format!("{head}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}");
        call(self.control, &text).await
    }

    pub async fn put_configuration(&self, text: &str) -> u16 {
        self.control_call("PUT", "/config", text).await.status
    }

    /// Sends a configuration until it is acknowledged.
    pub async fn configure(&self, text: &str) {
        loop {
            match self.put_configuration(text).await {
                200 => return,
                503 => tokio::time::sleep(POLL_INTERVAL).await,
                status => panic!("a valid configuration got {status}"),
            }
        }
    }

    /// Reads the newest configuration, retrying while the control host answers 503.
    pub async fn read_configuration(&self) -> String {
        loop {
            let answer = self.control_call("GET", "/config", "").await;
            match answer.status {
                200 => return answer.body,
                503 => tokio::time::sleep(POLL_INTERVAL).await,
                status => panic!("a read got {status}"),
            }
        }
    }

    pub async fn register(&self, replica: &Replica, state: &str, sequence: u64) {
        self.register_in("a", replica, state, sequence).await;
    }

    /// Registers a replica in a data hall.
    pub async fn register_in(&self, hall: &str, replica: &Replica, state: &str, sequence: u64) {
        self.register_release("v1", hall, replica, state, sequence).await;
    }

    /// Registers a replica of a release.
    pub async fn register_release(
        &self,
        version: &str,
        hall: &str,
        replica: &Replica,
        state: &str,
        sequence: u64,
    ) {
        let body = format!(
            r#"{{"service":"app","address":"{}","zone":"{hall}","version":"{version}","slots":6,"state":"{state}","warmupLeftMs":0,"callSeq":{sequence}}}"#,
            replica.address
        );
        let path = format!("/replicas/{}", replica.id);
        assert_eq!(self.control_call("PUT", &path, &body).await.status, 200);
    }

    /// Sends a heartbeat under an id; returns the status of the answer.
    pub async fn heartbeat(&self, id: &str, body: &str) -> u16 {
        self.control_call("PUT", &format!("/replicas/{id}"), body).await.status
    }

    /// The metrics of the control host.
    pub async fn control_metrics(&self) -> String {
        self.control_call("GET", "/metrics", "").await.body
    }

    /// Restarts the control host as one of three with empty disks. The other two never start, so
    /// there is no group and no leader.
    pub fn restart_control_without_group(&mut self) {
        self.kill_control();
        let path = self.folder.path().join("control.yaml");
        let text = std::fs::read_to_string(&path).unwrap();
        let seed = format!("seeds: [\"{}\"", self.control);
        let others = [4, 5].map(|last| format!("\"127.9.0.{last}:{CONTROL_PORT}\"")).join(", ");
        std::fs::write(&path, text.replace(&seed, &format!("{seed}, {others}"))).unwrap();
        std::fs::remove_dir_all(self.folder.path().join("data")).unwrap();
        self.start_control();
    }

    /// Runs an operator's command against the control host; returns whether it
    /// succeeded and what it printed.
    pub async fn command(&self, arguments: &[&str]) -> (bool, String) {
        let operator = SocketAddr::new(self.control.ip(), OPERATOR_PORT);
        self.wait_listening(operator).await;
        let mut command = Command::new(env!("CARGO_BIN_EXE_bramblecrank"));
        let output = command.args(arguments).arg("--to").arg(operator.to_string()).output();
        let output = output.unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8_lossy(&text).into_owned())
    }

    /// Drains (`POST`) or restores (`DELETE`) a data hall, retrying after each 503.
    pub async fn order_hall(&self, method: &str, hall: &str) -> u16 {
        loop {
            match self.control_call(method, &format!("/evacuate/{hall}"), "").await.status {
                503 => tokio::time::sleep(POLL_INTERVAL).await,
                status => return status,
            }
        }
    }

    /// Orders a roll-out, retrying after each 503.
    pub async fn order_rollout(&self, order: &str) -> u16 {
        loop {
            match self.order_rollout_once(order).await {
                503 => tokio::time::sleep(POLL_INTERVAL).await,
                status => return status,
            }
        }
    }

    pub async fn order_rollout_once(&self, order: &str) -> u16 {
        self.control_call("POST", "/rollouts", order).await.status
    }

    /// Reads the state of a service's roll-out, retrying after each 503.
    pub async fn read_rollout(&self, service: &str) -> Answer {
        loop {
            let answer = self.control_call("GET", &format!("/rollouts/{service}"), "").await;
            match answer.status {
                503 => tokio::time::sleep(POLL_INTERVAL).await,
                _ => return answer,
            }
        }
    }

    pub async fn deregister(&self, replica: &Replica) {
        self.deregister_id(&replica.id).await;
    }

    pub async fn deregister_id(&self, id: &str) {
        let path = format!("/replicas/{id}");
        assert_eq!(self.control_call("DELETE", &path, "").await.status, 200);
    }
}

fn kill_child(child: &mut Option<Child>) {
    if let Some(mut child) = child.take() {
        // It may have exited already.
        let _ = child.kill();
        let _ = child.wait();
    }
}
