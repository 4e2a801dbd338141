//! A small deployment for the review's scripts: control hosts and routers as processes of their own,
//! replicas that follow PROTOCOL.md, an operator and callers. Only the standard library is used.
#![allow(dead_code)]

#[path = "relay.rs"]
pub mod relay;

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{ErrorKind, Read, Write};
use std::os::unix::process::CommandExt;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Names the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const BINARY: &str = "target/release/bramblecrank";
/// Interval of the replicas' heartbeats (`heartbeatMs` of the settings).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Whether the disruption is to take place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        Record { started: Instant::now(), lines: Arc::default(), path: path.to_path_buf() }
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:9.3} {}", text.as_ref()));
    }

    /// Writes all lines, and ends the process with this status.
    pub fn finish(&self, status: i32) -> ! {
        self.add(format!("exit status {status}"));
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(error) = fs::write(&self.path, text) {
            eprintln!("cannot write {}: {error}", self.path.display());
            std::process::exit(2);
        }
        std::process::exit(status)
    }
}

/// A process that is ended when this is dropped.
pub struct Process {
    child: Child,
    pub name: String,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        // SAFETY: the child is not reaped before this is dropped, so its id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.is_running() {
            self.signal(SIGKILL);
            self.wait();
        }
    }
}

/// An answer as a caller received it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether its framing ended it.
    pub is_complete: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// No connection could be opened.
    NotConnected,
    /// The connection ended without a head.
    Closed,
    /// Nothing came within the caller's time.
    TimedOut,
}

fn until(deadline: Instant) -> Option<Duration> {
    let left = deadline.saturating_duration_since(Instant::now());
    (left > Duration::ZERO).then_some(left)
}

/// Sends a request on a new connection and reads its answer until the deadline, at which the caller
/// closes its connection.
pub fn call(to: SocketAddr, request: &[u8], deadline: Instant) -> Result<Answer, NoAnswer> {
    let left = until(deadline).ok_or(NoAnswer::TimedOut)?;
    let mut stream = TcpStream::connect_timeout(&to, left.min(Duration::from_secs(1)))
        .map_err(|_| NoAnswer::NotConnected)?;
    let _ = stream.set_nodelay(true);
    stream.write_all(request).map_err(|_| NoAnswer::Closed)?;
    read_answer(&mut stream, deadline)
}

pub fn read_answer(stream: &mut TcpStream, deadline: Instant) -> Result<Answer, NoAnswer> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 << 10];
    let mut ended = false;
    loop {
        if let Some(answer) = parse_answer(&bytes, ended) {
            return Ok(answer);
        }
        if ended {
            return Err(NoAnswer::Closed);
        }
        let Some(left) = until(deadline) else { return Err(NoAnswer::TimedOut) };
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => ended = true,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(NoAnswer::TimedOut);
            }
            Err(_) => ended = true,
        }
    }
}

/// The answer in these bytes; `None` while more of it has to come.
fn parse_answer(bytes: &[u8], ended: bool) -> Option<Answer> {
    let head_end = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let (first, headers) = parse_head(&head);
    let status = first.split(' ').nth(1)?.parse().ok()?;
    if status < 200 {
        return parse_answer(&bytes[head_end..], ended);
    }
    let rest = &bytes[head_end..];
    let mut answer = Answer { status, headers, body: Vec::new(), is_complete: false };
    if let Some(length) = answer.headers.get("content-length").and_then(|n| n.parse::<usize>().ok()) {
        answer.is_complete = rest.len() >= length;
        answer.body = rest[..rest.len().min(length)].to_vec();
    } else if answer.headers.get("transfer-encoding").is_some_and(|t| t.contains("chunked")) {
        (answer.body, answer.is_complete) = parse_chunks(rest);
    } else {
        answer.body = rest.to_vec();
        answer.is_complete = ended;
    }
    (answer.is_complete || ended).then_some(answer)
}

fn parse_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(line_end) = rest.windows(2).position(|two| two == b"\r\n") else { return (body, false) };
        let size = String::from_utf8_lossy(&rest[..line_end]).into_owned();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return (body, false) };
        if size == 0 {
            return (body, true);
        }
        let from = line_end + 2;
        if rest.len() < from + size + 2 {
            body.extend_from_slice(&rest[from.min(rest.len())..]);
            return (body, false);
        }
        body.extend_from_slice(&rest[from..from + size]);
        rest = &rest[from + size + 2..];
    }
}

/// The first line of a head, and its headers by name in lower case.
pub fn parse_head(head: &str) -> (String, BTreeMap<String, String>) {
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_string();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()));
    (first, headers.collect())
}

/// A call of an operator or replica to a control host.
pub fn control_call(to: SocketAddr, method: &str, path: &str, body: &str) -> Result<Answer, NoAnswer> {
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    call(to, request.as_bytes(), Instant::now() + Duration::from_secs(1))
}

/// One process's addresses.
#[derive(Clone, Copy, Debug)]
pub struct Host {
    pub ip: Ipv4Addr,
    pub zone: usize,
}

/// Ports, the same on every address.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub peer: u16,
    pub operator: u16,
    pub control: u16,
    pub front: u16,
    pub ready: u16,
}

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The processes of the system, with settings as the templates of the deploy file fill them.
pub struct Fleet {
    pub record: Record,
    pub folder: PathBuf,
    pub ports: Ports,
    pub controls: Vec<Host>,
    pub routers: Vec<Host>,
    /// Where hosts reach the control hosts, if through relays.
    relays: Vec<Ipv4Addr>,
    /// The host that the relays cut off.
    pub cut_off: relay::CutOff,
    pub control_processes: Vec<Process>,
    pub router_processes: Vec<Process>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.control_processes.clear();
        self.router_processes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts a control host in each zone and `routers_per_zone` routers in each.
    pub fn start(record: Record, routers_per_zone: usize) -> Result<Fleet, String> {
        let mut fleet = Fleet::prepare(record, routers_per_zone, false)?;
        fleet.start_all();
        Ok(fleet)
    }

    /// The same, with a relay in front of each control host.
    pub fn start_relayed(record: Record, routers_per_zone: usize) -> Result<Fleet, String> {
        let mut fleet = Fleet::prepare(record, routers_per_zone, true)?;
        fleet.start_all();
        Ok(fleet)
    }

    /// Writes the settings of a first start, without starting a process.
    pub fn prepare(record: Record, routers_per_zone: usize, is_relayed: bool) -> Result<Fleet, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let net = (std::process::id() % 200 + 20) as u8;
        let ip = |kind: u8, number: usize| Ipv4Addr::new(127, 71, net, kind + number as u8 + 1);
        let controls: Vec<Host> = (0..ZONES.len()).map(|n| Host { ip: ip(0, n), zone: n }).collect();
        let routers: Vec<Host> = (0..ZONES.len() * routers_per_zone)
            .map(|n| Host { ip: ip(20, n), zone: n / routers_per_zone })
            .collect();
        let relays: Vec<Ipv4Addr> = match is_relayed {
            true => (0..ZONES.len()).map(|n| ip(10, n)).collect(),
            false => Vec::new(),
        };
        let hosts = controls.iter().chain(&routers).map(|host| host.ip);
        let all: Vec<Ipv4Addr> = hosts.chain(relays.iter().copied()).collect();
        let first = (20..60).map(|n| n * 500).find(|first| are_free(&all, *first));
        let first = first.ok_or("no free ports")?;
        let ports = Ports {
            peer: first,
            operator: first + 1,
            control: first + 2,
            front: first + 3,
            ready: first + 4,
        };
        let fleet = Fleet {
            record,
            folder,
            ports,
            controls,
            routers,
            relays,
            cut_off: relay::CutOff::default(),
            control_processes: Vec::new(),
            router_processes: Vec::new(),
        };
        for (relay, control) in fleet.relays.iter().zip(&fleet.controls) {
            let (listen, to) = ((*relay, ports.peer).into(), (control.ip, ports.peer).into());
            relay::start(listen, to, &fleet.cut_off).map_err(|error| error.to_string())?;
        }
        for number in 0..fleet.controls.len() {
            fleet.write_control_settings(number, true);
        }
        for number in 0..fleet.routers.len() {
            fleet.write_router_settings(number);
        }
        Ok(fleet)
    }

    fn start_all(&mut self) {
        for number in 0..self.controls.len() {
            self.start_control(number);
        }
        self.start_routers();
    }

    pub fn start_control(&mut self, number: usize) {
        let process = self.spawn("control", &format!("control-{number}"));
        self.control_processes.push(process);
    }

    pub fn start_routers(&mut self) {
        for number in 0..self.routers.len() {
            let process = self.spawn("router", &format!("router-{number}"));
            self.router_processes.push(process);
        }
    }

    fn host_settings(&self, name: &str, host: Host) -> String {
        let Ports { peer, operator, control, .. } = self.ports;
        let seeds: Vec<Ipv4Addr> = match self.relays.is_empty() {
            true => self.controls.iter().map(|control| control.ip).collect(),
            false => self.relays.clone(),
        };
        let seeds: Vec<_> = seeds.iter().map(|ip| format!("\"{ip}:{control}\"")).collect();
        let regions: Vec<_> = ZONES.iter().map(|zone| format!("\"{zone}\": \"region\"")).collect();
        format!(
            "host:\n  name: \"{name}\"\n  hall: \"{}\"\n  peer: \"{}:{peer}\"\n  seeds: [{}]\n  \
             seed_port: {peer}\n  regions: {{ {} }}\n  heartbeats: control\noperator: \"{}:{operator}\"\n",
            ZONES[host.zone],
            host.ip,
            seeds.join(", "),
            regions.join(", "),
            host.ip
        )
    }

    pub fn write_control_settings(&self, number: usize, is_first_start: bool) {
        let host = self.controls[number];
        let name = format!("control-{number}");
        let halls: Vec<_> = ZONES.iter().map(|zone| format!("\"{zone}\"")).collect();
        let mut host_text = self.host_settings(&name, host);
        if let Some(relay) = self.relays.get(number) {
            let reached = format!(
                "  id: {}\n  advertise: \"{relay}:{}\"\n  seed_port:",
                u32::from(*relay),
                self.ports.peer
            );
            host_text = host_text.replace("  seed_port:", &reached);
        }
        let text = host_text
            + &format!(
                "platform: \"{}:{}\"\ndata: \"{}\"\n{}halls: [{}]\n\
                 tolerated_losses: 1\nwait_for_disk: true\ndescriptors: 4096\n",
                host.ip,
                self.ports.control,
                self.folder.join(format!("{name}.data")).display(),
                self.founding_settings(is_first_start),
                halls.join(", ")
            );
        fs::write(self.folder.join(format!("{name}.yaml")), text).expect("settings are written");
    }

    /// Which hosts form the group at the first start. Behind relays they are named by number, as the
    /// addresses of the seeds are not their own.
    fn founding_settings(&self, is_first_start: bool) -> String {
        if self.relays.is_empty() {
            return format!("found_with_seeds: {is_first_start}\n");
        }
        let numbers: Vec<_> = self.relays.iter().map(|relay| u32::from(*relay).to_string()).collect();
        let peer = self.ports.peer;
        let addresses: Vec<_> = self.relays.iter().map(|relay| format!("\"{relay}:{peer}\"")).collect();
        format!("founders: [{}]\ncontrol: [{}]\n", numbers.join(", "), addresses.join(", "))
    }

    fn write_router_settings(&self, number: usize) {
        let host = self.routers[number];
        let name = format!("router-{number}");
        let text = self.host_settings(&name, host)
            + &format!(
                "listen: \"{}:{}\"\ngateway:\n  ready: \"{}:{}\"\n  stop_within_s: 8\n  overload:\n    \
                 descriptors: 4100\n  retry_budget:\n    ratio: 0.2\n    window_s: 10\n    slack: 58\n",
                host.ip, self.ports.front, host.ip, self.ports.ready
            );
        fs::write(self.folder.join(format!("{name}.yaml")), text).expect("settings are written");
    }

    /// Starts a process with the command of the deploy file.
    pub fn spawn(&self, role: &str, name: &str) -> Process {
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.expect("a log file is created");
        let mut command = Command::new(BINARY);
        command
            .args(["--log-layout", "plain", role, "--settings"])
            .arg(self.folder.join(format!("{name}.yaml")))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file is shared"))
            .stderr(log);
        // SAFETY: `prctl` may be called between fork and exec. The process ends with this one, also if
        // this one is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().expect("the program starts");
        self.record.add(format!("started {name}"));
        Process { child, name: name.to_string() }
    }

    pub fn control(&self, number: usize) -> SocketAddr {
        (self.controls[number].ip, self.ports.control).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.controls.len()).map(|number| self.control(number)).collect()
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        (self.routers[number].ip, self.ports.front).into()
    }

    pub fn ready(&self, number: usize) -> SocketAddr {
        (self.routers[number].ip, self.ports.ready).into()
    }

    /// Sends a configuration until it is acknowledged; a redirect leads to the leader.
    pub fn configure(&self, text: &str, within: Duration) -> Result<(), String> {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            for control in self.controls() {
                match control_call(control, "PUT", "/config", text) {
                    Ok(answer) if answer.status == 200 => {
                        self.record.add(format!("configuration acknowledged by {control}"));
                        return Ok(());
                    }
                    Ok(answer) if (400..500).contains(&answer.status) => {
                        return Err(format!("configuration refused: {}", answer.text()));
                    }
                    _ => {}
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("no configuration was acknowledged".to_string())
    }

    pub fn is_ready(&self, number: usize) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = call(self.ready(number), request, Instant::now() + Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until all routers are ready.
    pub fn wait_ready(&self, within: Duration) -> Result<(), String> {
        let deadline = Instant::now() + within;
        while !(0..self.routers.len()).all(|number| self.is_ready(number)) {
            if Instant::now() >= deadline {
                return Err("the routers are not ready".to_string());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// The lines of a process's log that contain `text`.
    pub fn log_lines(&self, name: &str, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_string).collect()
    }
}

fn are_free(addresses: &[Ipv4Addr], first: u16) -> bool {
    let binds = |ip: &Ipv4Addr, port: u16| TcpListener::bind((*ip, port)).is_ok();
    addresses.iter().all(|ip| (first..first + 6).all(|port| binds(ip, port)))
}

/// A request as a replica received it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub at: Instant,
}

/// How a replica serves requests.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// How long it works on a request.
    pub time: Duration,
}

/// A sound replica of a plain service: it runs requests, and drops one once its connection closes.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub service: String,
    pub zone: usize,
    sequence: AtomicU64,
    is_registering: AtomicBool,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    /// Calls to control hosts so far, and which of them is called next.
    turn: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    /// Held during a call to control hosts, so that one follows the other.
    calling: Mutex<()>,
    /// Whether it also says so by `Server-Leaving`, which these pages do not name.
    says_leaving: bool,
}

impl Replica {
    /// Starts a replica on a free port of its own address.
    pub fn start(record: &Record, number: usize, service: &str, zone: usize, work: Work) -> Arc<Replica> {
        let net = (std::process::id() % 200 + 20) as u8;
        let ip = Ipv4Addr::new(127, 72, net, number as u8 + 1);
        let listener = TcpListener::bind((ip, 0)).expect("a replica listens");
        let replica = Arc::new(Replica {
            id: format!("i-{net:02x}{number:06x}"),
            address: listener.local_addr().expect("a bound socket has an address"),
            seen: Arc::default(),
            service: service.to_string(),
            zone,
            sequence: AtomicU64::new(0),
            is_registering: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            turn: AtomicU64::new(0),
            connections: Mutex::default(),
            calling: Mutex::default(),
            says_leaving: std::env::var("SERVER_LEAVING").is_ok(),
        });
        let (served, record) = (replica.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.has_ended.load(Ordering::Relaxed) {
                    return;
                }
                let (replica, record) = (served.clone(), record.clone());
                thread::spawn(move || replica.serve(stream, work, &record));
            }
        });
        replica
    }

    fn serve(&self, mut stream: TcpStream, work: Work, record: &Record) {
        let _ = stream.set_nodelay(true);
        if let Ok(connection) = stream.try_clone() {
            self.connections.lock().unwrap().push(connection);
        }
        let mut bytes = Vec::new();
        while let Some((first, headers)) = read_request(&mut stream, &mut bytes) {
            let path = first.split(' ').nth(1).unwrap_or_default().to_string();
            let id = headers.get("bramblecrank-attempt-id").cloned().unwrap_or_default();
            if headers.get("bramblecrank-expect-replica").is_some_and(|expected| *expected != self.id) {
                let text = "HTTP/1.1 421 Misdirected Request\r\nBramblecrank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if path == "/healthz" {
                // It answers 200 for as long as it is not leaving.
                let status = if self.is_leaving.load(Ordering::Relaxed) { "503 Service Unavailable" } else { "200 OK" };
                let text = format!(
                    "HTTP/1.1 {status}\r\nBramblecrank-Replica-Id: {}\r\n{}Content-Length: 0\r\n\r\n",
                    self.id,
                    self.leaving_headers()
                );
                record.add(format!("{} answers a health check with {status}", self.id));
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let at = Instant::now();
            self.seen.lock().unwrap().push(Seen { id: id.clone(), path, headers, at });
            record.add(format!("{} runs {id}", self.id));
            let is_open = works(&stream, work.time);
            if self.has_ended.load(Ordering::Relaxed) {
                record.add(format!("{} ends while it runs {id}", self.id));
                return;
            }
            if !is_open {
                record.add(format!("{} drops {id}: its connection was closed", self.id));
                return;
            }
            let body = format!("answer to {id}");
            let text = format!(
                "HTTP/1.1 200 OK\r\nBramblecrank-Attempt-Id: {id}\r\nBramblecrank-Replica-Seal: {}.{id}\r\n\
                 {}Content-Length: {}\r\n\r\n{body}",
                self.id,
                self.leaving_headers(),
                body.len()
            );
            let closes = self.is_leaving.load(Ordering::Relaxed);
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            record.add(format!("{} answers {id}", self.id));
            if closes {
                return;
            }
        }
    }

    /// A replica that is leaving puts `Connection: close` in its answers.
    fn leaving_headers(&self) -> &'static str {
        match (self.is_leaving.load(Ordering::Relaxed), self.says_leaving) {
            (true, true) => "Connection: close\r\nServer-Leaving: 1\r\n",
            (true, false) => "Connection: close\r\n",
            (false, _) => "",
        }
    }

    /// Calls one control host after the other, each call with a number of its own, until one
    /// acknowledges it. Each round begins with the next control host. Returns which one did.
    fn call_controls(&self, controls: &[SocketAddr], mut request: impl FnMut(u64) -> (&'static str, String)) -> Option<usize> {
        let _calling = self.calling.lock().unwrap();
        let first = self.turn.fetch_add(1, Ordering::Relaxed) as usize;
        (0..controls.len()).map(|offset| (first + offset) % controls.len()).find(|number| {
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let (method, body) = request(sequence);
            let path = format!("/replicas/{}", self.id);
            let answer = control_call(controls[*number], method, &path, &body);
            answer.is_ok_and(|answer| answer.status == 200)
        })
    }

    fn heartbeat(&self, controls: &[SocketAddr], record: &Record, state: &str) -> bool {
        let acknowledged_by = self.call_controls(controls, |sequence| {
            record.add(format!("{} sends heartbeat {sequence}, {state}", self.id));
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":100,"state":"{state}","warmupLeftMs":0,"callSeq":{sequence}}}"#,
                self.service, self.address, ZONES[self.zone]
            );
            ("PUT", body)
        });
        acknowledged_by.is_some()
    }

    /// Waits until a heartbeat was sent and the next one begins with this control host.
    pub fn wait_for_turn(&self, control: usize, controls: usize) {
        let next = || self.turn.load(Ordering::Relaxed) as usize % controls;
        while next() == control {
            thread::sleep(Duration::from_millis(5));
        }
        while next() != control {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(HEARTBEAT * 9 / 10);
    }

    /// Sends `DELETE /replicas/ID` without having stated `draining`, and goes on serving. Returns
    /// when it was acknowledged.
    pub fn leave(&self, controls: &[SocketAddr], record: &Record) -> Result<Instant, String> {
        self.is_registering.store(false, Ordering::Relaxed);
        self.is_leaving.store(true, Ordering::Relaxed);
        let acknowledged_by = self.call_controls(controls, |sequence| {
            record.add(format!("{} sends DELETE, call {sequence}", self.id));
            ("DELETE", String::new())
        });
        let number = acknowledged_by.ok_or(format!("no control host acknowledges the end of {}", self.id))?;
        record.add(format!("control-{number} acknowledges the end of {}", self.id));
        Ok(Instant::now())
    }

    /// Ends: nothing is served any more, and what runs breaks off.
    pub fn end(&self, record: &Record) {
        self.has_ended.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        self.connections.lock().unwrap().iter().for_each(close);
        record.add(format!("{} has ended", self.id));
    }

    /// Registers, and goes on sending heartbeats.
    pub fn register(self: &Arc<Self>, controls: Vec<SocketAddr>, record: &Record) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(10);
        while !self.heartbeat(&controls, record, "ready") {
            if Instant::now() > deadline {
                return Err(format!("replica {} is not acknowledged", self.id));
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.is_registering.store(true, Ordering::Relaxed);
        let (replica, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            let mut due = Instant::now();
            loop {
                due += HEARTBEAT;
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if !replica.is_registering.load(Ordering::Relaxed) {
                    return;
                }
                replica.heartbeat(&controls, &record, "ready");
            }
        });
        Ok(())
    }
}

/// Works for a time; false once the connection is closed.
fn works(stream: &TcpStream, time: Duration) -> bool {
    let deadline = Instant::now() + time;
    let _ = stream.set_nonblocking(true);
    let mut is_open = true;
    while is_open && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(5));
        is_open = match stream.peek(&mut [0]) {
            Ok(0) => false,
            Ok(_) => true,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        };
    }
    let _ = stream.set_nonblocking(false);
    is_open
}

/// Reads the next request of a connection up to the end of its body.
fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(String, BTreeMap<String, String>)> {
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let (first, headers) = parse_head(&head);
            let length = headers.get("content-length").and_then(|n| n.parse::<usize>().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                bytes.drain(..end + 4 + length);
                return Some((first, headers));
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
        }
    }
}

/// Ends a connection at once in both directions.
pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}
