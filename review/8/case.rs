//! Case 8: the last tenant is taken out of the configuration, and its callers are still served.

#[path = "../common-2/scene.rs"]
mod scene;

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use scene::{Fleet, Record, Replica, Work, call, has_trouble};

/// `configMs`.
const IN_FORCE: Duration = Duration::from_millis(2_000);
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// The key that is taken away, and one that no configuration ever held.
const DROPPED: &str = "key-one";
const NEVER_HELD: &str = "key-never";

/// Version 2 takes one tenant away; without the disruption it takes one of its two keys away.
fn configuration(version: u64) -> String {
    let tenants = match (version, has_trouble()) {
        (1, _) => r#"[{"name":"one","apiKeys":["key-one","key-two"]}]"#,
        (_, true) => "[]",
        (_, false) => r#"[{"name":"one","apiKeys":["key-two"]}]"#,
    };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-hold","host":"shop.example","pathPrefix":"/hold/","kind":"non_idempotent","timeoutMs":{},"sloMs":150,"priority":2,"service":"app","attempts":1,"public":false}}],"services":[{{"name":"app","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":{tenants}}}"#,
        TIMEOUT.as_millis()
    )
}

fn request(id: &str, key: &str) -> String {
    format!(
        "POST /hold/seat HTTP/1.1\r\nHost: shop.example\r\nBramblecrank-Attempt-Id: {id}\r\n\
         Bramblecrank-Deadline-Ms: {}\r\nApi-Key: {key}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        TIMEOUT.as_millis()
    )
}

fn run(record: &Record) -> Result<bool, String> {
    let fleet = Fleet::start(record.clone(), 3)?;
    fleet.configure(&configuration(1), Duration::from_secs(20))?;
    fleet.wait_ready(Duration::from_secs(20))?;
    let work = Work { time: Duration::from_millis(30) };
    let replicas: Vec<_> = (0..3).map(|n| Replica::start(record, n, "app", n, work)).collect();
    for replica in &replicas {
        replica.register(fleet.controls(), record)?;
    }
    thread::sleep(Duration::from_secs(5));
    let mut number = 0;
    let mut send = |key: &str, front: usize| {
        number += 1;
        let id = format!("{:08x}{number:08x}", std::process::id());
        let answer = call(fleet.front(front), request(&id, key).as_bytes(), Instant::now() + TIMEOUT);
        let told = answer.as_ref().map(|answer| answer.status);
        record.add(format!("{id} with {key} to router-{front} got {told:?}"));
        id
    };
    let has_run = |id: &String| replicas.iter().any(|r| r.seen.lock().unwrap().iter().any(|seen| seen.id == *id));
    if !has_run(&send(DROPPED, 0)) {
        return Err("no request was served before the change".to_string());
    }
    if has_run(&send(NEVER_HELD, 0)) {
        return Err("a request without a valid key ran before the change".to_string());
    }
    fleet.configure(&configuration(2), Duration::from_secs(5))?;
    thread::sleep(IN_FORCE + Duration::from_millis(500));
    let mut ran = [0, 0];
    for front in 0..fleet.routers.len() {
        for (count, key) in ran.iter_mut().zip([DROPPED, NEVER_HELD]) {
            *count += usize::from(has_run(&send(key, front)));
        }
    }
    let text = format!(
        "after the change {} of {} requests with the key that was taken away ran, and {} with one that no \
         configuration held",
        ran[0],
        fleet.routers.len(),
        ran[1]
    );
    record.add(&text);
    println!("{text}");
    Ok(ran.iter().any(|ran| *ran > 0))
}

fn main() {
    let record = Record::new(Path::new("review/8/record.txt"));
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
