//! Memory and descriptors of a running process, as its machine counts them.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// State of a listening socket in `/proc/net/tcp`; its queue holds connections instead of bytes.
const LISTENING: &str = "0A";

/// What a process may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_bytes: u64,
    pub descriptors: usize,
}

/// What a process used at most.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Its resident memory and the bytes that its sockets have received and it has not read.
    pub memory_bytes: u64,
    pub descriptors: usize,
}

/// Samples a process until it is dropped.
pub struct Watch {
    name: &'static str,
    pid: u32,
    peak: Arc<Mutex<Usage>>,
    stop: Arc<AtomicBool>,
    sampling: Option<JoinHandle<()>>,
}

impl Watch {
    /// Watches a process that is the only one with sockets at `place`.
    pub fn start(name: &'static str, pid: u32, place: Place) -> Watch {
        let peak = Arc::<Mutex<Usage>>::default();
        let stop = Arc::<AtomicBool>::default();
        let sampling = {
            let (peak, stop) = (peak.clone(), stop.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let memory_bytes =
                        status_bytes(pid, "VmRSS:") + Queues::at(&place).unread_bytes;
                    let descriptors = descriptors(pid);
                    let mut peak = peak.lock().unwrap();
                    peak.memory_bytes = peak.memory_bytes.max(memory_bytes);
                    peak.descriptors = peak.descriptors.max(descriptors);
                    drop(peak);
                    std::thread::sleep(SAMPLE_INTERVAL);
                }
            })
        };
        Watch { name, pid, peak, stop, sampling: Some(sampling) }
    }

    /// Checks that the process lives and has stayed within its limits since it started.
    pub fn assert_within(&self, limits: Limits) {
        let resident = status_bytes(self.pid, "VmHWM:");
        assert!(resident > 0, "the {} has ended", self.name);
        let mut peak = *self.peak.lock().unwrap();
        peak.memory_bytes = peak.memory_bytes.max(resident);
        println!("{} used at most {peak:?}", self.name);
        let is_within =
            peak.memory_bytes <= limits.memory_bytes && peak.descriptors <= limits.descriptors;
        assert!(is_within, "the {} used {peak:?} of {limits:?}", self.name);
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(sampling) = self.sampling.take() {
            let _ = sampling.join();
        }
    }
}

/// A size in `/proc/PID/status` in bytes; 0 once the process has ended.
fn status_bytes(pid: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kib = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}

fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Where connections end, as the beginning of an address in `/proc/net/tcp`.
#[derive(Clone, Debug)]
pub struct Place(String);

impl Place {
    /// All ports of the IP address of a socket.
    pub fn host(socket: SocketAddr) -> Place {
        let IpAddr::V4(ip) = socket.ip() else { panic!("the tests use IPv4, not {socket}") };
        Place(format!("{:08X}:", u32::from_le_bytes(ip.octets())))
    }

    /// One port of an IP address.
    pub fn port(socket: SocketAddr) -> Place {
        Place(format!("{}{:04X}", Place::host(socket).0, socket.port()))
    }
}

/// What waits in the kernel at one end of connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Queues {
    /// Bytes received by the sockets of a place and not read.
    pub unread_bytes: u64,
    /// Bytes sent to that place and not received.
    pub unsent_bytes: u64,
    /// Connections to that place that are not accepted.
    pub unaccepted: u64,
}

impl Queues {
    /// What waits at a place now.
    pub fn at(place: &Place) -> Queues {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let mut queues = Queues::default();
        for line in table.lines().skip(1) {
            let fields: Vec<_> = line.split_whitespace().collect();
            let [_, local, remote, state, lengths, ..] = fields[..] else { continue };
            let Some((sending, receiving)) = lengths.split_once(':') else { continue };
            let length = |text: &str| u64::from_str_radix(text, 16).unwrap_or(0);
            if local.starts_with(&place.0) {
                match state {
                    LISTENING => queues.unaccepted += length(receiving),
                    _ => queues.unread_bytes += length(receiving),
                }
            } else if remote.starts_with(&place.0) {
                queues.unsent_bytes += length(sending);
            }
        }
        queues
    }
}
