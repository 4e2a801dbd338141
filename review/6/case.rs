//! Case 6: heartbeats that arrive late bring back a replica whose end was acknowledged.

#[path = "../common-2/scene.rs"]
mod scene;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use scene::{Answer, Fleet, NoAnswer, Record, Replica, Work, call, has_trouble, relay};

const TIMEOUT: Duration = Duration::from_millis(1_000);
/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How late the first of the delayed heartbeats is: "seconds".
const LATE: Duration = Duration::from_millis(5_400);
/// When the replica sends `DELETE`, after the first heartbeat that is late was due.
const LEAVES_AFTER: Duration = Duration::from_millis(4_850);
/// How long the replica goes on serving after its end was acknowledged: `drainMs` "and somewhat longer
/// (at times many seconds)".
const SERVES_ON: Duration = Duration::from_millis(8_000);
const WORK: Duration = Duration::from_millis(300);
const CALLERS: usize = 24;
/// The replica that leaves, and the control host at which its heartbeats arrive late.
const LEAVES: usize = 0;
const LATE_AT: usize = 0;

struct Outcome {
    id: String,
    answer: Result<Answer, NoAnswer>,
}

fn configuration(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-hold","host":"shop.example","pathPrefix":"/hold/","kind":"non_idempotent","timeoutMs":{},"sloMs":150,"priority":2,"service":"app","attempts":1}}],"services":[{{"name":"app","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"one","apiKeys":["key-one"]}}]}}"#,
        TIMEOUT.as_millis()
    )
}

fn request(id: &str) -> String {
    format!(
        "POST /hold/seat HTTP/1.1\r\nHost: shop.example\r\nBramblecrank-Attempt-Id: {id}\r\n\
         Bramblecrank-Deadline-Ms: {}\r\nApi-Key: key-one\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        TIMEOUT.as_millis()
    )
}

fn run(record: &Record) -> Result<bool, String> {
    let fleet = Fleet::start(record.clone(), 3)?;
    fleet.configure(&configuration(1), Duration::from_secs(20))?;
    fleet.wait_ready(Duration::from_secs(20))?;
    let replicas: Vec<_> =
        (0..3).map(|n| Replica::start(record, n, "app", n, Work { time: WORK })).collect();
    let held = relay::Held::default();
    let listen = SocketAddr::new(replicas[LEAVES].address.ip(), 0);
    let relayed = relay::start_delaying(listen, fleet.control(LATE_AT), &held);
    let relayed = relayed.map_err(|error| error.to_string())?;
    let mut controls = fleet.controls();
    for replica in &replicas[LEAVES + 1..] {
        replica.register(fleet.controls(), record)?;
    }
    controls[LATE_AT] = relayed;
    let leaving = &replicas[LEAVES];
    leaving.register(controls.clone(), record)?;
    thread::sleep(Duration::from_secs(5));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let until = Instant::now() + Duration::from_secs(4) + LEAVES_AFTER + SERVES_ON + Duration::from_secs(1);
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (outcomes, record) = (outcomes.clone(), record.clone());
            let front = fleet.front(number % fleet.routers.len());
            thread::spawn(move || {
                for turn in 0.. {
                    let sent = Instant::now();
                    if sent >= until {
                        return;
                    }
                    let id = format!("{:06x}{number:05x}{turn:05x}", std::process::id());
                    let answer = call(front, request(&id).as_bytes(), sent + TIMEOUT);
                    let told = answer.as_ref().map(|answer| answer.status);
                    record.add(format!("{id} got {told:?} after {} ms", sent.elapsed().as_millis()));
                    outcomes.lock().unwrap().push(Outcome { id, answer });
                    thread::sleep(Duration::from_millis(60 + 11 * number as u64));
                }
            })
        })
        .collect();
    leaving.wait_for_turn(LATE_AT, controls.len());
    *held.lock().unwrap() = has_trouble();
    if has_trouble() {
        record.add(format!("calls of {} to control-{LATE_AT} arrive late from now on", leaving.id));
    }
    let late_from = Instant::now();
    thread::sleep(LEAVES_AFTER);
    let left_at = leaving.leave(&controls, record)?;
    thread::sleep(LATE.saturating_sub(late_from.elapsed()));
    *held.lock().unwrap() = false;
    record.add("calls that were late arrive, others arrive at once");
    thread::sleep((left_at + SERVES_ON).saturating_duration_since(Instant::now()));
    leaving.end(record);
    for caller in callers {
        caller.join().map_err(|_| "a caller failed".to_string())?;
    }
    for number in 0..3 {
        for line in fleet.log_lines(&format!("control-{number}"), &leaving.id) {
            record.add(format!("log of control-{number}: {line}"));
        }
    }
    judge(record, leaving, left_at, &outcomes.lock().unwrap())
}

/// DRAIN: a request reaches the replica later than `drainMs` after its end was acknowledged.
fn judge(record: &Record, leaving: &Replica, left_at: Instant, outcomes: &[Outcome]) -> Result<bool, String> {
    let answered = outcomes.iter().filter(|o| o.answer.as_ref().is_ok_and(|a| a.status == 200)).count();
    record.add(format!("{} requests, {answered} answered with 200", outcomes.len()));
    if answered == 0 {
        return Err("no request was served".to_string());
    }
    let seen = leaving.seen.lock().unwrap();
    if seen.iter().all(|seen| seen.at >= left_at) {
        return Err("the replica got no request before it left".to_string());
    }
    let late: Vec<_> = seen.iter().filter(|seen| seen.at > left_at + DRAIN).collect();
    let mut lost = 0;
    for seen in &late {
        let outcome = outcomes.iter().find(|outcome| outcome.id == seen.id);
        let told = outcome.map(|outcome| outcome.answer.as_ref().map(|answer| answer.status));
        lost += usize::from(!matches!(told, Some(Ok(200))));
        let after = (seen.at - left_at).as_millis();
        record.add(format!("{} reached {} {after} ms after the acknowledgement, its caller got {told:?}", seen.id, leaving.id));
    }
    println!("{} requests over {} ms after the acknowledgement, {lost} of them not answered with 200", late.len(), DRAIN.as_millis());
    Ok(!late.is_empty())
}

fn main() {
    let record = Record::new(Path::new("review/6/record.txt"));
    let status = match run(&record) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(problem) => {
            record.add(format!("could not run: {problem}"));
            eprintln!("could not run: {problem}");
            2
        }
    };
    record.finish(status)
}
