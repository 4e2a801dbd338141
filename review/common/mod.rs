//! What the review cases share: a small fleet of the project's own processes on loopback
//! addresses, a plain HTTP/1.1 client and server, and the record of what happened.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Whether the disruption takes place; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run, with a time in seconds before each line.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create() -> io::Result<Record> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { began: Instant::now(), file })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}\n", text.as_ref());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("/")
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked"))
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }
}

/// Reads a head; `None` if the connection ended before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            if head.first_line.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first_line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first_line.is_empty() {
            head.first_line = line.to_string();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads the body that belongs to a head.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    body.resize(head.length().unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<(Head, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    stream.write_all(&request_bytes(method, path, headers, body))?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head)?;
    Ok((head, body))
}

pub fn request_bytes(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text.push_str("Host: x\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    [text.into_bytes(), body.to_vec()].concat()
}

pub fn epoch_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

const PEER_PORT: u16 = 7_400;
const OPERATOR_PORT: u16 = 7_401;
const FRONT_PORT: u16 = 8_783;
const READY_PORT: u16 = 8_780;
const CONTROL_PORT: u16 = 8_785;
const HALLS: [&str; 3] = ["perak-a", "perak-b", "gresik"];

/// A process of the fleet on an address of its own.
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    role: &'static str,
    child: Option<Child>,
}

impl Host {
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT_PORT).into()
    }

    pub fn ready(&self) -> SocketAddr {
        (self.ip, READY_PORT).into()
    }

    pub fn control(&self) -> SocketAddr {
        (self.ip, CONTROL_PORT).into()
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process, as `kill` does.
    pub fn signal(&self, signal: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(pid.to_string()).status();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// The resident memory of the process, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib =
            line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Three control hosts and some routers, each a process with the settings that the platform's
/// templates produce.
pub struct Fleet {
    pub controls: Vec<Host>,
    pub routers: Vec<Host>,
    folder: PathBuf,
    record: Record,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.controls.clear();
        self.routers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn binary() -> String {
    std::env::var("PROGRAM").unwrap_or_else(|_| "target/release/bramblecrank".into())
}

/// A loopback network in which all ports of the fleet are free.
fn free_network() -> Result<[u8; 2], Failure> {
    let start = std::process::id();
    for attempt in 0..500u32 {
        let number = start.wrapping_mul(7).wrapping_add(attempt * 13);
        let net = [(20 + number % 100) as u8, (1 + (number / 100) % 250) as u8];
        let is_free = |last: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, net[0], net[1], last), port)).is_ok()
        };
        let ports = [PEER_PORT, OPERATOR_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT];
        if (1..=9).all(|last| ports.iter().all(|port| is_free(last, *port))) {
            return Ok(net);
        }
    }
    Err("no free loopback network".into())
}

impl Fleet {
    pub fn start(record: &Record, routers: usize) -> Result<Fleet, Failure> {
        let net = free_network()?;
        let ip = |last: usize| Ipv4Addr::new(127, net[0], net[1], last as u8);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let host = |role: &'static str, number: usize, last: usize| Host {
            name: format!("{role}-{}", number + 1),
            ip: ip(last),
            role,
            child: None,
        };
        let controls: Vec<_> = (0..3).map(|n| host("control", n, n + 1)).collect();
        let routers: Vec<_> = (0..routers).map(|n| host("router", n, n + 4)).collect();
        let mut fleet = Fleet { controls, routers, folder, record: record.clone() };
        for number in 0..fleet.controls.len() {
            fleet.start_control(number, true)?;
        }
        for number in 0..fleet.routers.len() {
            fleet.start_router(number)?;
        }
        Ok(fleet)
    }

    fn host_settings(&self, host: &Host, number: usize) -> String {
        let seeds: Vec<_> = self.controls.iter().map(|c| format!("\"{}\"", c.control())).collect();
        let regions: Vec<_> = HALLS.iter().map(|hall| format!("\"{hall}\": \"jatim\"")).collect();
        format!(
            "host:\n  name: \"{}\"\n  hall: \"{}\"\n  peer: \"{}:{PEER_PORT}\"\n  seeds: [{}]\n  \
             seed_port: {PEER_PORT}\n  regions: {{ {} }}\n  heartbeats: control\n",
            host.name,
            HALLS[number % HALLS.len()],
            host.ip,
            seeds.join(","),
            regions.join(","),
        )
    }

    pub fn start_control(&mut self, number: usize, is_first_start: bool) -> Result<(), Failure> {
        let host = &self.controls[number];
        let data = self.folder.join(format!("data-{number}"));
        std::fs::create_dir_all(&data)?;
        let halls: Vec<_> = HALLS.iter().map(|hall| format!("\"{hall}\"")).collect();
        let text = format!(
            "{}operator: \"{}:{OPERATOR_PORT}\"\nplatform: \"{}\"\ndata: \"{}\"\n\
             found_with_seeds: {is_first_start}\nhalls: [{}]\ntolerated_losses: 1\n\
             wait_for_disk: true\n",
            self.host_settings(host, number),
            host.ip,
            host.control(),
            data.display(),
            halls.join(","),
        );
        let child = self.spawn(host, text)?;
        self.controls[number].child = Some(child);
        Ok(())
    }

    pub fn start_router(&mut self, number: usize) -> Result<(), Failure> {
        let host = &self.routers[number];
        let text = format!(
            "{}listen: \"{}\"\noperator: \"{}:{OPERATOR_PORT}\"\ngateway:\n  ready: \"{}\"\n  \
             stop_within_s: 8\n  overload:\n    descriptors: 4100\n  retry_budget:\n    \
             ratio: 0.2\n    window_s: 10\n    slack: 58\n",
            self.host_settings(host, number),
            host.front(),
            host.ip,
            host.ready(),
        );
        let child = self.spawn(host, text)?;
        self.routers[number].child = Some(child);
        Ok(())
    }

    fn spawn(&self, host: &Host, settings: String) -> Result<Child, Failure> {
        let path = self.folder.join(format!("{}.yaml", host.name));
        std::fs::write(&path, settings)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", host.name)))?;
        let child = Command::new(binary())
            .args(["--log-layout", "plain", host.role, "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if let Ok(pids) = std::env::var("PIDS") {
            let mut pids = File::options().create(true).append(true).open(pids)?;
            writeln!(pids, "{}", child.id())?;
        }
        self.record.line(format!("{} started on {}", host.name, host.ip));
        Ok(child)
    }

    /// Sends an operator's call, following redirections, to one host after the other until one
    /// answers it with another status than a 5xx.
    pub fn operate(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        within: Duration,
    ) -> Result<(u16, Vec<u8>), Failure> {
        let until = Instant::now() + within;
        let mut number = 0;
        while Instant::now() < until {
            let mut to = self.controls[number % self.controls.len()].control();
            number += 1;
            for _ in 0..3 {
                let answer = call(to, method, path, &JSON, body, Duration::from_secs(1));
                let Ok((head, answer)) = answer else { break };
                match head.status() {
                    307 => {
                        let location = head.header("location").unwrap_or_default();
                        let address = location.trim_start_matches("http://").split('/').next();
                        match address.and_then(|a| a.parse().ok()) {
                            Some(address) => to = address,
                            None => break,
                        }
                    }
                    status if status >= 500 => break,
                    status => return Ok((status, answer)),
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{method} {path} got no clear answer").into())
    }

    /// Puts a configuration in force and waits until every router is ready.
    pub fn configure(&self, configuration: &str) -> Result<(), Failure> {
        let within = Duration::from_secs(20);
        let (status, _) = self.operate("PUT", "/config", configuration.as_bytes(), within)?;
        self.record.line(format!("operator: configuration sent, answer {status}"));
        if status != 200 {
            return Err(format!("the configuration was answered with {status}").into());
        }
        for router in &self.routers {
            wait_until(within, || {
                let answer =
                    call(router.ready(), "GET", "/ready", &[], &[], Duration::from_secs(1));
                answer.is_ok_and(|(head, _)| head.status() == 200)
            })?;
        }
        self.record.line("all routers are ready");
        Ok(())
    }
}

pub const JSON: [(&str, &str); 1] = [("Content-Type", "application/json")];

pub fn wait_until(within: Duration, mut holds: impl FnMut() -> bool) -> Result<(), Failure> {
    let until = Instant::now() + within;
    while !holds() {
        if Instant::now() > until {
            return Err("a condition did not come about in time".into());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// How a replica answers a request that it received whole.
pub type Answerer = dyn Fn(&Replica, &Head, &[u8], &mut TcpStream) -> io::Result<()> + Send + Sync;

/// A stand-in for a replica. It registers itself, and serves one request at a time on each
/// connection.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub slots: u32,
    /// How often each request was run here.
    pub runs: Mutex<HashMap<String, u32>>,
    pub record: Record,
    sequence: Mutex<u64>,
    software: Mutex<Software>,
    connections: Mutex<Vec<TcpStream>>,
}

/// What a replica runs.
#[derive(Clone)]
struct Software {
    version: String,
    /// When it started, in milliseconds since the epoch.
    born: u64,
}

impl Replica {
    pub fn start(
        record: &Record,
        controls: Vec<SocketAddr>,
        id: &str,
        service: &str,
        zone: &'static str,
        slots: u32,
        answerer: Arc<Answerer>,
    ) -> Result<Arc<Replica>, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Arc::new(Replica {
            id: id.to_string(),
            service: service.to_string(),
            address: listener.local_addr()?,
            zone,
            slots,
            runs: Mutex::default(),
            record: record.clone(),
            sequence: Mutex::default(),
            software: Mutex::new(Software { version: "v1".into(), born: epoch_ms() }),
            connections: Mutex::default(),
        });
        let serving = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (replica, answerer) = (serving.clone(), answerer.clone());
                std::thread::spawn(move || {
                    let _ = replica.serve(stream, &*answerer);
                });
            }
        });
        let beating = replica.clone();
        std::thread::spawn(move || {
            loop {
                let _ = beating.beat(&controls, "ready");
                std::thread::sleep(Duration::from_millis(1_200));
            }
        });
        Ok(replica)
    }

    /// Starts it again with software of this version, under its id and at its address.
    pub fn restart(&self, version: &str) {
        *self.software.lock().unwrap() = Software { version: version.into(), born: epoch_ms() };
        *self.sequence.lock().unwrap() = 0;
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn version(&self) -> String {
        self.software.lock().unwrap().version.clone()
    }

    pub fn beat(&self, controls: &[SocketAddr], state: &str) -> Result<SocketAddr, Failure> {
        let sequence = {
            let mut sequence = self.sequence.lock().unwrap();
            *sequence += 1;
            *sequence
        };
        let Software { version, born } = self.software.lock().unwrap().clone();
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{version}","slots":{},"state":"{state}","warmupLeftMs":0,"callSeq":{sequence},"born":{born}}}"#,
            self.service, self.address, self.zone, self.slots
        );
        let path = format!("/replicas/{}", self.id);
        for control in controls {
            let answer =
                call(*control, "PUT", &path, &JSON, body.as_bytes(), Duration::from_secs(1));
            if answer.is_ok_and(|(head, _)| head.status() / 100 == 2) {
                return Ok(*control);
            }
        }
        Err("no control host acknowledged a heartbeat".into())
    }

    fn serve(&self, mut stream: TcpStream, answerer: &Answerer) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.connections.lock().unwrap().push(stream.try_clone()?);
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head)?;
            if head.path() == "/healthz" {
                let id = &self.id;
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nBramblecrank-Replica-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            if head.header("bramblecrank-expect-replica").is_some_and(|id| id != self.id) {
                stream.write_all(b"HTTP/1.1 421 Misdirected Request\r\nBramblecrank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            answerer(self, &head, &body, &mut stream)?;
        }
        Ok(())
    }

    /// Counts a run of a request.
    pub fn run(&self, head: &Head) -> String {
        let id = head.header("bramblecrank-attempt-id").unwrap_or_default().to_string();
        *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        self.record.line(format!("replica {} runs request {id}", self.id));
        id
    }

    pub fn run_count(&self, id: &str) -> u32 {
        self.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }
}

/// A whole answer of a replica.
pub fn answer_bytes(id: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nBramblecrank-Attempt-Id: {id}\r\nBramblecrank-Replica-Seal: {}\r\n\
         Content-Type: application/octet-stream\r\nContent-Length: {}\r\n\r\n",
        seal(id, body.len()),
        body.len()
    );
    [head.into_bytes(), body.to_vec()].concat()
}

pub fn seal(id: &str, length: usize) -> String {
    format!("5ea1.{id}.{length}")
}

/// Runs a case and ends the process with its result: 0 if the rule held, 1 if it was broken, 2 if
/// the case could not run.
pub fn main_of(case: impl FnOnce(&Record) -> Result<bool, Failure>) -> ! {
    let record = match Record::create() {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            std::process::exit(2);
        }
    };
    record.line(format!("trouble: {}", if has_trouble() { "yes" } else { "no" }));
    let code = match case(&record) {
        Ok(true) => {
            record.line("result: the rule was broken");
            1
        }
        Ok(false) => {
            record.line("result: the rule held");
            0
        }
        Err(error) => {
            record.line(format!("result: could not run: {error}"));
            2
        }
    };
    std::process::exit(code);
}
