//! Processor time that a router and a control host spend per request: for streams of an
//! engine and for refusals.
//!
//! `cargo bench --bench gateway [-- SECONDS]`. Real processes on loopback, with simulated
//! engines in this process. Prints milliseconds of processor time per request, read from
//! `/proc`.

#[path = "../tests/platform/fleet.rs"]
#[allow(dead_code, reason = "shared with the tests of the platform")]
mod fleet;
#[path = "../tests/platform/http.rs"]
#[allow(dead_code, reason = "shared with the tests of the platform")]
mod http;
#[path = "../tests/platform/replica.rs"]
#[allow(dead_code, reason = "shared with the tests of the platform")]
mod replica;
#[path = "../tests/platform/shapes.rs"]
#[allow(dead_code, reason = "shared with the tests of the platform")]
mod shapes;

use std::time::{Duration, Instant};

use fleet::Fleet;
use http::call;
use replica::{Behaviour, Replica};

/// Events of one stream.
const EVENTS: u32 = 40;
/// Pause between events.
const EVENT_PAUSE: Duration = Duration::from_millis(25);
/// Engines that register.
const ENGINES: usize = 100;
/// Requests begun per second.
const REQUESTS_PER_SECOND: u32 = 60;
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

fn configuration() -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"shop.example","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":9000,"sloMs":800,"priority":1,"service":"{service}","attempts":2,"sticky":true}}"#
        )
    };
    format!(
        r#"{{"version":1,"routes":[{},{}],"services":[{{"name":"app","healthPath":"/healthz","maxConns":500,"engine":{{"slots":64,"kvCapacity":500000,"kvTokenBytes":163840,"linkMbps":550000.0,"moves":true}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4096,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":3000000}},"tenants":[{{"name":"one","apiKeys":["key-one"]}}]}}"#,
        route("stream", "streaming", "app"),
        route("safe", "idempotent", "app"),
    )
}

fn request(number: u32, prompt_tokens: u32) -> String {
    format!(
        "POST /stream/x HTTP/1.1\r\nHost: shop.example\r\nBramblecrank-Attempt-Id: r{number}\r\n\
         Bramblecrank-Deadline-Ms: 9000\r\nApi-Key: key-one\r\nBramblecrank-Model: m\r\n\
         Bramblecrank-Token-Usage: {prompt_tokens},120\r\n\
         Bramblecrank-Prompt-Prefix: {:x}:1000,{:x}:{}\r\n\
         Content-Length: 4\r\nConnection: close\r\n\r\nbody",
        number % 50,
        1_000_000 + number,
        prompt_tokens - 1_000,
    )
}

/// Processor time that a process has used, in seconds.
fn processor_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let (_, fields) = stat.rsplit_once(')').unwrap();
    let fields: Vec<_> = fields.split_whitespace().collect();
    let ticks = |at: usize| fields[at].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

async fn load(fleet: &Fleet, name: &str, seconds: u32, prompt_tokens: u32) {
    let before = fleet.process_ids().map(processor_seconds);
    let began = Instant::now();
    let mut calls = Vec::new();
    let total = seconds * REQUESTS_PER_SECOND;
    for number in 0..total {
        let front = fleet.front;
        let text = request(number, prompt_tokens);
        calls.push(tokio::spawn(async move { call(front, &text).await.status }));
        let next = Duration::from_secs(1) * (number + 1) / REQUESTS_PER_SECOND;
        tokio::time::sleep(next.saturating_sub(began.elapsed())).await;
    }
    let mut answered = 0;
    for call in calls {
        answered += u32::from(call.await.unwrap() == 200);
    }
    let after = fleet.process_ids().map(processor_seconds);
    let each = |at: usize| (after[at] - before[at]) * 1_000.0 / f64::from(total);
    println!(
        "{name}: {total} requests, {answered} answered; router {:.3} ms, control host {:.3} ms each",
        each(0),
        each(1)
    );
}

#[tokio::main]
async fn main() {
    let seconds = std::env::args().filter_map(|a| a.parse().ok()).next().unwrap_or(10);
    let fleet = Fleet::start().await;
    let behaviour = Behaviour::Stream { events: EVENTS, pause: EVENT_PAUSE };
    for number in 0..ENGINES {
        let engine = Replica::start(&format!("i-{number}"), behaviour.clone()).await;
        fleet.register(&engine, "ready", 1).await;
    }
    fleet.configure(&configuration()).await;
    fleet.wait_ready().await;
    println!("router is process {}", fleet.process_ids()[0]);
    load(&fleet, "streams", seconds, 2_000).await;
    // No request of this size can be served in time.
    load(&fleet, "refused", seconds, 4_000_000).await;
}
