//! Measures how fast a configuration propagates to many hosts, and the cost of heartbeats. The
//! hosts are emulated in one process, each with its own ports and state. For `docs/CAPACITY.md`.
//!
//! Run with `cargo run --release --example spread -- HOSTS CUSTOMERS CHANGES`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bramblecrank::config::{Change, Config, Customer, Document, History};
use bramblecrank::peer::{Incoming, Peers};
use bramblecrank::settings::HostSettings;
use bramblecrank::spread::{self, CurrentConfig};
use bramblecrank::wire::{HostId, Open, Role};
use tokio::sync::mpsc;

const FIRST_PORT: u16 = 10_000;

struct Host {
    peers: Arc<Peers>,
    configs: Arc<CurrentConfig>,
}

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1).filter_map(|a| a.parse::<u32>().ok());
    let hosts = arguments.next().unwrap_or(9) as u16;
    let customers = arguments.next().unwrap_or(1);
    let changes = arguments.next().unwrap_or(20);
    let mut all = Vec::new();
    for n in 0..=hosts {
        all.push(start(n, hosts).await);
    }
    let control = &all[0];
    let mut history = History::starting_from(initial_config(customers));
    control.configs.replace(history.clone());
    wait_in_force(&all, 1).await;
    // Time for all hosts to learn of each other.
    tokio::time::sleep(Duration::from_secs(8)).await;
    let (sent, cpu, begun) = (sent_bytes(&all), cpu_seconds(), Instant::now());
    tokio::time::sleep(Duration::from_secs(5)).await;
    let idle_s = begun.elapsed().as_secs_f64();
    let idle_bytes = (sent_bytes(&all) - sent) as f64 / idle_s / f64::from(hosts);
    let idle_cpu = (cpu_seconds() - cpu) / idle_s / f64::from(hosts) * 100.0;
    let (sent, begun) = (sent_bytes(&all), Instant::now());
    let mut times = Vec::new();
    for n in 0..changes {
        let name = format!("customer-{}", n % customers.max(1));
        history.advance(vec![Change::PutCustomer(customer(&name))]).expect("valid");
        control.configs.replace(history.clone());
        times.extend(wait_in_force(&all, history.config().version).await);
    }
    let spent = begun.elapsed().as_secs_f64();
    let changing = (sent_bytes(&all) - sent) as f64;
    let each =
        (changing - idle_bytes * f64::from(hosts) * spent) / f64::from(changes * u32::from(hosts));
    times.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize];
    println!("hosts {hosts}, customers {customers}, changes {changes}");
    println!(
        "  seconds to in force: p50 {:.3}, p99 {:.3}, max {:.3}",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
    println!("  bytes a change a host, beside heartbeats: {each:.0}");
    println!("  idle: {idle_bytes:.0} bytes/s a host, {idle_cpu:.3} % of a core a host");
}

fn customer(name: &str) -> Customer {
    serde_saphyr::from_str(&format!("{{name: {name}}}")).expect("valid")
}

fn initial_config(customers: u32) -> Config {
    let customers = (0..customers).map(|n| customer(&format!("customer-{n}"))).collect();
    let document = Document { customers, ..Document::default() };
    Config::default().apply(&document.changes()).expect("valid")
}

async fn start(n: u16, hosts: u16) -> Host {
    let address = |n: u16| ([127, 0, 0, 1], FIRST_PORT + n).into();
    let settings = HostSettings {
        advertise: None,
        seed_port: None,
        regions: Default::default(),
        heartbeats: Default::default(),
        file: None,
        name: format!("host-{n}"),
        id: Some(HostId((n + 1).into())),
        hall: "bkk-ratchada".into(),
        peer: address(n),
        seeds: (0..=hosts).filter(|other| *other != n).map(address).collect(),
    };
    let role = if n == 0 { Role::Control } else { Role::Router };
    let (peers, incoming) = Peers::start(&settings, role, address(n)).await.expect("a free port");
    let configs = Arc::new(CurrentConfig::default());
    tokio::spawn(answer_pulls(configs.clone(), peers.clone(), incoming));
    match n {
        0 => tokio::spawn(spread::announce_version(configs.clone(), peers.clone())),
        _ => tokio::spawn(spread::pull_updates(configs.clone(), peers.clone())),
    };
    Host { peers, configs }
}

async fn answer_pulls(
    configs: Arc<CurrentConfig>,
    peers: Arc<Peers>,
    mut incoming: mpsc::Receiver<Incoming>,
) {
    while let Some(Incoming { open, writer, .. }) = incoming.recv().await {
        if let Open::Pull { held_version, .. } = open {
            let sent = peers.sent.clone();
            tokio::spawn(spread::answer_pull(configs.clone(), sent, held_version, writer));
        }
    }
}

/// Waits until each host has `version` in force; returns the seconds that each took.
async fn wait_in_force(hosts: &[Host], version: u64) -> Vec<f64> {
    let start = Instant::now();
    let mut waits = Vec::new();
    for host in &hosts[1..] {
        let mut watch = host.configs.watch();
        waits.push(tokio::spawn(async move {
            while watch.borrow_and_update().version < version {
                watch.changed().await.expect("the host runs");
            }
            start.elapsed().as_secs_f64()
        }));
    }
    let mut times = Vec::new();
    for wait in waits {
        times.push(wait.await.expect("no panic"));
    }
    times
}

/// Bytes sent by all hosts so far.
fn sent_bytes(hosts: &[Host]) -> u64 {
    hosts.iter().map(|h| h.peers.sent.get()).sum()
}

/// CPU seconds that this process has used so far.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(' ').collect();
    let all: Vec<_> = fields.into_iter().rev().collect();
    let ticks = |at: usize| all.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(13) + ticks(14)) / 100.0
}
