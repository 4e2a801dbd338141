//! What an operator and callers observe, and the promises that it breaks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::fleet::Fleet;
use crate::http::{Answer, read_answer};

/// An accepted configuration is in force on every router in touch within this time.
pub const CONFIG: Duration = Duration::from_secs(2);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(1);
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// How many earlier versions each configuration keeps the routes of.
const KEPT_ROUTES: u64 = 40;
const METRIC: &str = "bramblecrank_gateway_routing_version ";

/// What one router did for requests sent at about the same time.
struct Observation {
    router: usize,
    /// The life of its process.
    life: u32,
    asked: Instant,
    /// The version in force; 0 for none.
    version: u64,
    /// The newest version that had been acknowledged long enough.
    due: u64,
    /// The status of a request on the route that this version added.
    status: Option<u16>,
}

#[derive(Default)]
struct Seen {
    acknowledged: Vec<(u64, Instant)>,
    observations: Vec<Observation>,
    /// Times in which routers don't count as in touch.
    disturbed: Vec<(Instant, Instant)>,
}

pub struct Record {
    started: Instant,
    seen: Mutex<Seen>,
    finished: CancellationToken,
}

impl Default for Record {
    fn default() -> Record {
        Record {
            started: Instant::now(),
            seen: Mutex::default(),
            finished: CancellationToken::new(),
        }
    }
}

impl Record {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap()
    }

    pub fn elapsed_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    /// Routers don't count as in touch from now until this time has passed.
    pub fn disturb(&self, time: Duration) {
        let now = Instant::now();
        self.seen().disturbed.push((now, now + time));
    }

    /// Ends the actors.
    pub fn finish(&self) {
        self.finished.cancel();
    }

    /// Whether any version was acknowledged this long ago.
    pub fn acknowledged_since(&self, time: Duration) -> bool {
        self.newest_by(Instant::now() - time) > 0
    }

    fn newest_by(&self, time: Instant) -> u64 {
        let seen = self.seen();
        let by_then = seen.acknowledged.iter().filter(|(_, at)| *at <= time);
        by_then.map(|(version, _)| *version).max().unwrap_or(0)
    }

    pub fn newest_acknowledged(&self) -> Option<u64> {
        self.seen().acknowledged.iter().map(|(version, _)| *version).max()
    }

    pub fn summary(&self) -> String {
        let seen = self.seen();
        format!(
            "{} versions acknowledged, {} observations, {} of them in touch",
            seen.acknowledged.len(),
            seen.observations.len(),
            seen.observations.iter().filter(|o| seen.is_in_touch(o.asked)).count(),
        )
    }

    /// The promises that were broken, the first of each kind at each router with their number.
    pub fn violations(&self) -> Vec<String> {
        let seen = self.seen();
        let mut found: BTreeMap<(usize, &str), (usize, String)> = BTreeMap::new();
        let mut newest: BTreeMap<(usize, u32), u64> = BTreeMap::new();
        for o in &seen.observations {
            let in_force = newest.entry((o.router, o.life)).or_default();
            let mut kinds = Vec::new();
            if o.version < *in_force {
                kinds.push("a router goes back to an older version");
            }
            if o.version != 0 && o.version < o.due && seen.is_in_touch(o.asked) {
                kinds.push("a router in touch obeys an older version");
            }
            if matches!(o.status, Some(401 | 403 | 404)) && seen.is_in_touch(o.asked) {
                kinds.push("a router in touch denies what is allowed");
            }
            if o.version == 0 && matches!(o.status, Some(401 | 403 | 404)) {
                kinds.push("a router without a configuration denies");
            }
            *in_force = o.version;
            for kind in kinds {
                let text = format!(
                    "router {}: {kind}: version {}, {} is due, status {:?}, at {} ms",
                    o.router,
                    o.version,
                    o.due,
                    o.status,
                    (o.asked - self.started).as_millis(),
                );
                found.entry((o.router, kind)).or_insert((0, text)).0 += 1;
            }
        }
        found.into_values().map(|(count, text)| format!("{text}, first of {count}")).collect()
    }
}

impl Seen {
    fn is_in_touch(&self, at: Instant) -> bool {
        !self.disturbed.iter().any(|(from, to)| (*from..*to).contains(&at))
    }
}

/// The configuration of a version: a route for each of the latest versions.
fn configuration(version: u64) -> String {
    let route = |version: u64| {
        format!(
            r#"{{"name":"v{version}","host":"shop.example","pathPrefix":"/v{version}/","kind":"idempotent","timeoutMs":3000,"sloMs":500,"priority":1,"service":"app","attempts":2,"public":true,"sticky":false}}"#
        )
    };
    let first = version.saturating_sub(KEPT_ROUTES).max(1);
    let routes: Vec<_> = (first..=version).map(route).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"app","healthPath":"/healthz","maxConns":50}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4096,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}

pub async fn exchange(to: SocketAddr, text: &str, timeout: Duration) -> Option<Answer> {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        read_answer(&mut stream).await
    };
    tokio::time::timeout(timeout, exchange).await.ok()?
}

/// Changes the configuration at this interval, each change until a control host acknowledges it.
pub async fn change_configuration(fleet: Arc<Fleet>, record: Arc<Record>, interval: Duration) {
    for version in 1.. {
        let body = configuration(version);
        let text = format!(
            "PUT /config HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        while !is_acknowledged(&fleet, &text).await {
            if record.finished.is_cancelled() {
                return;
            }
            tokio::time::sleep(interval / 5).await;
        }
        record.seen().acknowledged.push((version, Instant::now()));
        if record.finished.is_cancelled() {
            return;
        }
        tokio::time::sleep(interval).await;
    }
}

async fn is_acknowledged(fleet: &Fleet, text: &str) -> bool {
    for control in fleet.control_addresses() {
        // Others than the leader redirect.
        if exchange(control, text, CHANGE_TIMEOUT).await.is_some_and(|a| a.status == 200) {
            return true;
        }
    }
    false
}

/// Observes at this interval which version a router obeys.
pub async fn watch_router(
    fleet: Arc<Fleet>,
    record: Arc<Record>,
    router: usize,
    interval: Duration,
) {
    let front = fleet.front(router);
    while !record.finished.is_cancelled() {
        let (asked, life) = (Instant::now(), fleet.life());
        let due = asked.checked_sub(CONFIG).map_or(0, |time| record.newest_by(time));
        let request = format!(
            "GET /v{due}/ HTTP/1.1\r\nHost: shop.example\r\nBramblecrank-Deadline-Ms: 100\r\n\
             Connection: close\r\n\r\n"
        );
        let version = version_in_force(&fleet, router).await;
        let answer = match due {
            0 => None,
            _ => exchange(front, &request, WATCH_TIMEOUT).await,
        };
        if let Some(version) = version {
            let status = answer.map(|answer| answer.status);
            let observation = Observation { router, life, asked, version, due, status };
            if fleet.life() == life {
                record.seen().observations.push(observation);
            }
        }
        tokio::time::sleep(interval).await;
    }
}

/// The version that a router has in force, as it states.
pub async fn version_in_force(fleet: &Fleet, router: usize) -> Option<u64> {
    let metrics = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let answer = exchange(fleet.ready(router), metrics, WATCH_TIMEOUT).await?;
    routing_version(&answer.body)
}

fn routing_version(metrics: &str) -> Option<u64> {
    metrics.lines().find_map(|line| line.strip_prefix(METRIC))?.trim().parse().ok()
}
