//! Who uses the fleet while faults come: an operator, callers, and whoever asks each
//! router for the newest routes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::fleet::Fleet;
use crate::history::{Acknowledged, Call, History, Order, Read, RolloutRead, Says, Sighting, Told};
use crate::http::{Answer, read_answer};
use crate::registrations::{REGISTER_PAUSE, Said, epoch_ms, register};
use crate::replica::Replica;

/// How long anybody waits for an answer before asking elsewhere.
const PATIENCE: Duration = Duration::from_secs(2);
/// How long a caller waits.
const CALL_PATIENCE: Duration = Duration::from_secs(4);
const CHANGE_PAUSE: Duration = Duration::from_millis(80);
const CALL_PAUSE: Duration = Duration::from_millis(8);
const SIGHT_PAUSE: Duration = Duration::from_millis(25);
/// Seconds in which a roll-out must be decided.
const ROLL_OUT_SECONDS: u64 = 5;
/// A configuration has the routes of so many versions before it.
const ROUTES_KEPT: u64 = 40;

/// What all actors share.
#[derive(Clone)]
pub struct Stage {
    pub fleet: Arc<Fleet>,
    pub history: Arc<Mutex<History>>,
    pub over: CancellationToken,
}

impl Stage {
    pub fn note(&self, f: impl FnOnce(&mut History)) {
        f(&mut self.history.lock().unwrap());
    }

    pub fn is_over(&self) -> bool {
        self.over.is_cancelled()
    }
}

pub async fn exchange(to: SocketAddr, text: &str, patience: Duration) -> Option<Answer> {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        read_answer(&mut stream).await
    };
    tokio::time::timeout(patience, exchange).await.ok()?
}

pub async fn ask_control(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<Answer> {
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    let answer = exchange(to, &text, PATIENCE).await?;
    // The leader's address stands in the answer of the others.
    let location = answer.header("location").filter(|_| answer.status == 307);
    let Some(leader) = location.and_then(|l| l.split('/').nth(2)?.parse().ok()) else {
        return Some(answer);
    };
    exchange(leader, &text, PATIENCE).await
}

/// The configuration of a version: a route that any version has, and one for each of
/// the latest.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","host":"shop.example","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":3000,"sloMs":500,"priority":1,"service":"app","attempts":2,"public":true,"sticky":false}}"#
        )
    };
    let frail = route("frail", "idempotent").replace(r#""app""#, r#""frail""#);
    let mut routes = vec![route("safe", "idempotent"), route("once", "non_idempotent"), frail];
    let first = version.saturating_sub(ROUTES_KEPT).max(1);
    routes.extend((first..=version).map(|v| route(&format!("v{v}"), "idempotent")));
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"app","healthPath":"/healthz","maxConns":50}},{{"name":"frail","healthPath":"/healthz","maxConns":50}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4096,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}

/// Changes the configuration again and again, each change until it is acknowledged.
pub async fn operate(stage: Stage, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    for version in 1.. {
        if !change(&stage, &mut rng, version).await || stage.is_over() {
            return;
        }
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
}

/// Sends a version of the configuration until it is acknowledged; false when the soak is
/// over before.
pub async fn change(stage: &Stage, rng: &mut SmallRng, version: u64) -> bool {
    let text = configuration(version);
    stage.note(|h| drop(h.sent.insert(version, text.clone())));
    while !put(stage, rng, version, &text).await {
        if stage.is_over() {
            return false;
        }
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
    true
}

async fn put(stage: &Stage, rng: &mut SmallRng, version: u64, text: &str) -> bool {
    let control = stage.fleet.control(rng.random_range(0..stage.fleet.size.controls));
    match ask_control(control, "PUT", "/config", text).await {
        Some(answer) if answer.status == 200 => {
            let at = Instant::now();
            stage.note(|h| h.acknowledged.push(Acknowledged { version, at }));
            true
        }
        Some(answer) if answer.status < 500 && answer.status != 307 => {
            let problem = format!("sound version {version} got {}", answer.status);
            stage.note(|h| h.refused_changes.push(problem));
            false
        }
        Some(_) | None => false,
    }
}

/// Reads the configuration from one control host, if that host is sure of it.
pub async fn read(stage: &Stage, control: usize) -> Option<u64> {
    let asked = Instant::now();
    let answer = ask_control(stage.fleet.control(control), "GET", "/config", "").await?;
    let text = answer.body;
    if answer.status != 200 || !answer.complete {
        return None;
    }
    let version = text.split_once(',')?.0.rsplit(':').next()?.parse().ok()?;
    stage.note(|h| h.reads.push(Read { asked, version, text }));
    Some(version)
}

/// Reads the configuration now and then, at any control host.
pub async fn read_on(stage: Stage, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !stage.is_over() {
        read(&stage, rng.random_range(0..stage.fleet.size.controls)).await;
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
}

/// Calls one router, on a connection that it keeps as long as it is open.
pub async fn call_on(stage: Stage, caller: usize) {
    let router = caller % stage.fleet.size.routers;
    let front = stage.fleet.front(router);
    let mut connection = None;
    for number in 0.. {
        if stage.is_over() {
            return;
        }
        let once = number % 2 == 0;
        let id = format!("c{caller}-{number}");
        let host = stage.fleet.size.router(router);
        let (life, asked) = (stage.fleet.life(host), Instant::now());
        let answer = call(&mut connection, front, &id, once).await;
        let told = Told { life, asked, answered: Instant::now() };
        let told = Some(told).filter(|_| answer.is_some() && stage.fleet.life(host) == life);
        let answer = answer.map(|a| (a.status, a.body, a.complete));
        stage.note(|h| h.calls.push(Call { id, router, told, once, answer }));
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

async fn call(
    connection: &mut Option<TcpStream>,
    front: SocketAddr,
    id: &str,
    once: bool,
) -> Option<Answer> {
    let path = if once { "once" } else { "safe" };
    let text = format!(
        "POST /{path}/x HTTP/1.1\r\nHost: shop.example\r\nBramblecrank-Attempt-Id: {id}\r\n\
         Bramblecrank-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
    );
    let exchange = async {
        let mut stream = match connection.take() {
            Some(open) => open,
            None => TcpStream::connect(front).await.ok()?,
        };
        stream.write_all(text.as_bytes()).await.ok()?;
        let answer = read_answer(&mut stream).await?;
        if answer.complete && answer.header("connection") != Some("close") {
            *connection = Some(stream);
        }
        Some(answer)
    };
    tokio::time::timeout(CALL_PATIENCE, exchange).await.ok()?
}

/// Asks one router for the route of a version. Nothing is to run: the time is over.
pub async fn sight(stage: &Stage, number: usize, version: u64) -> Option<Says> {
    let life = stage.fleet.life(stage.fleet.size.router(number));
    let asked = Instant::now();
    let text = format!(
        "GET /v{version}/ HTTP/1.1\r\nHost: shop.example\r\nBramblecrank-Deadline-Ms: 1\r\n\
         Connection: close\r\n\r\n"
    );
    let answer = exchange(stage.fleet.front(number), &text, PATIENCE).await?;
    let answered = Instant::now();
    if stage.fleet.life(stage.fleet.size.router(number)) != life {
        return None;
    }
    let says = match (answer.status, answer.body.as_str()) {
        (404, _) => Says::Denies,
        (_, "routing_unconfirmed" | "no_routing" | "stopping" | "overloaded") => Says::Unsure,
        _ => Says::Knows,
    };
    let sighting = Sighting { router: number, life, asked, answered, version, says };
    stage.note(|h| h.sightings.push(sighting));
    Some(says)
}

/// Asks one router for the newest acknowledged route, again and again.
pub async fn sight_on(stage: Stage, number: usize) {
    while !stage.is_over() {
        let newest = stage.history.lock().unwrap().acknowledged.last().map(|a| a.version);
        if let Some(version) = newest {
            sight(&stage, number, version).await;
        }
        tokio::time::sleep(SIGHT_PAUSE).await;
    }
}

/// Orders one roll-out after the other of releases that fail every request. `replica`
/// runs each of them.
pub async fn roll_out_on(stage: Stage, replica: Replica, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    for number in 2u64.. {
        let version = format!("v{number}");
        if !order_rollout(&stage, &mut rng, number, &version).await {
            return;
        }
        let born = epoch_ms();
        for sequence in 1.. {
            let said = Said { version: &version, state: "ready", born, sequence };
            register(&stage, &mut rng, &replica, said).await;
            let state = read_rollout(&stage, &mut rng).await;
            if stage.is_over() {
                return;
            }
            if matches!(state.as_deref(), Some("done" | "rolled_back")) {
                break;
            }
            tokio::time::sleep(REGISTER_PAUSE).await;
        }
    }
}

/// Sends an order until it is taken; false when the soak is over.
async fn order_rollout(stage: &Stage, rng: &mut SmallRng, number: u64, version: &str) -> bool {
    let order = format!(
        r#"{{"service":"app","targetVersion":"{version}","durationS":{ROLL_OUT_SECONDS}}}"#
    );
    while !stage.is_over() {
        let control = stage.fleet.control(rng.random_range(0..stage.fleet.size.controls));
        let answer = ask_control(control, "POST", "/rollouts", &order).await;
        if answer.is_some_and(|answer| answer.status == 200) {
            let at = Instant::now();
            stage.note(|h| h.orders.push(Order { number, at }));
            return true;
        }
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
    false
}

/// Asks for the newest roll-out at any control host that is sure of it.
pub async fn read_rollout(stage: &Stage, rng: &mut SmallRng) -> Option<String> {
    let asked = Instant::now();
    let control = stage.fleet.control(rng.random_range(0..stage.fleet.size.controls));
    let answer = ask_control(control, "GET", "/rollouts/app", "").await?;
    let said = match answer.status {
        200 if answer.complete => {
            let text = |name: &str| {
                let value = answer.body.split_once(&format!(r#""{name}":""#))?.1;
                Some(value.split_once('"')?.0.to_string())
            };
            let number = text("targetVersion")?.trim_start_matches('v').parse().ok()?;
            Some((number, text("state")?))
        }
        404 => None,
        _ => return None,
    };
    let state = said.as_ref().map(|(_, state)| state.clone());
    stage.note(|h| h.rollout_reads.push(RolloutRead { asked, said }));
    state
}

/// Whether one router serves a request.
pub async fn is_served(stage: &Stage, number: usize) -> bool {
    let stamp = Instant::now();
    let id = format!("s{number}-{stamp:?}").replace([' ', '{', '}', ':', ','], "");
    let answer = call(&mut None, stage.fleet.front(number), &id, false).await;
    let answer = answer.map(|a| (a.status, a.body, a.complete));
    let served = answer.as_ref().is_some_and(|(status, ..)| *status == 200);
    stage.note(|h| h.calls.push(Call { id, router: number, told: None, once: false, answer }));
    served
}
