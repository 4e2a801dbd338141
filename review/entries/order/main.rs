//! All control hosts and a router are killed at the same moment, and a replica starts again with
//! other software before they are back. Clients take their streams up at another router.

#[path = "../../common/mod.rs"]
mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use common::*;

/// Streams, each of its own client.
const STREAMS: usize = 12;
/// Events of a stream, the pause before each, and those that a client has before the kill.
const EVENTS: u32 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(50);
const EVENTS_BEFORE: u32 = 10;
/// How long the killed processes are down.
const DOWN: Duration = Duration::from_millis(900);
/// How many streams may hold events of two versions by the rule.
const ALLOWED_MIXED: usize = 2;

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"refund-case","host":"tiket.example","pathPrefix":"/refund/","kind":"streaming","timeoutMs":6000,"sloMs":800,"gapSloMs":400,"priority":1,"service":"app","attempts":2,"public":false,"sticky":false,"resumable":true}],"services":[{"name":"app","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"one","apiKeys":["key-one"]}]}"#;

fn main() {
    main_of(case)
}

fn case(record: &Record) -> Result<bool, Failure> {
    let mut fleet = Fleet::start(record, 2)?;
    fleet.configure(CONFIGURATION)?;
    let controls: Vec<_> = fleet.controls.iter().map(Host::control).collect();
    let answerer = Arc::new(|replica: &Replica, head: &Head, _: &[u8], stream: &mut TcpStream| {
        let version = replica.version();
        let id = replica.run(head);
        let last = head.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nBramblecrank-Attempt-Id: {id}\r\nBramblecrank-Replica-Seal: {}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            seal(&id, 0)
        );
        stream.write_all(head.as_bytes())?;
        for number in last + 1..=EVENTS {
            std::thread::sleep(EVENT_PAUSE);
            let event = format!("id: {number}\ndata: {version} of {}\n\n", replica.id);
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    });
    let mut replicas = Vec::new();
    for (number, version) in ["v1", "v2"].into_iter().enumerate() {
        let id = format!("i-{}", number + 1);
        let replica =
            Replica::start(record, controls.clone(), &id, "app", "perak-a", 64, answerer.clone())?;
        if version != "v1" {
            replica.restart(version);
        }
        replicas.push(replica);
    }
    let fronts = [fleet.routers[0].front(), fleet.routers[1].front()];
    wait_until(Duration::from_secs(20), || {
        let mut events = Vec::new();
        read_stream(fronts[0], "warm-up", None, EVENTS_BEFORE, &mut events).is_ok()
    })?;
    std::thread::sleep(Duration::from_millis(5_000));

    let barrier = Arc::new(Barrier::new(STREAMS + 1));
    let resume = Arc::new(Barrier::new(STREAMS + 1));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, barrier, resume) = (record.clone(), barrier.clone(), resume.clone());
            std::thread::spawn(move || {
                let first = format!("stream-{number}");
                let mut events = Vec::new();
                let begun = read_stream(fronts[0], &first, None, EVENTS_BEFORE, &mut events);
                barrier.wait();
                let rest = match begun {
                    Ok(rest) => rest,
                    Err(error) => {
                        record.line(format!("{first} did not begin: {error}"));
                        resume.wait();
                        return events;
                    }
                };
                if !has_trouble() {
                    resume.wait();
                    drop(rest);
                } else {
                    // Reads on until its connection ends.
                    let _ = read_events(rest, u32::MAX, &mut events);
                    resume.wait();
                }
                let until = Instant::now() + Duration::from_secs(5);
                for retry in 1.. {
                    let last = events.last().map_or(0, |(id, _): &(u32, String)| *id);
                    if last == EVENTS || Instant::now() > until {
                        break;
                    }
                    let id = format!("{first}-try-{retry}");
                    let resumes = Some((first.as_str(), last));
                    match read_stream(fronts[1], &id, resumes, u32::MAX, &mut events) {
                        Ok(_) => record.line(format!("{first} went on as {id} after event {last}")),
                        Err(error) => record.line(format!("{id} after event {last}: {error}")),
                    }
                    std::thread::sleep(Duration::from_millis(100));
                }
                events
            })
        })
        .collect();
    barrier.wait();
    if has_trouble() {
        record.line("all control hosts and router-1 are killed");
        fleet.routers[0].kill();
        fleet.controls.iter_mut().for_each(Host::kill);
    }
    let killed = Instant::now();
    resume.wait();
    if has_trouble() {
        record.line("replica i-1 starts again, with version v2");
        replicas[0].restart("v2");
        // The clients wait here for the sake of order; what follows is theirs.
        std::thread::sleep(DOWN.saturating_sub(killed.elapsed()));
        for number in 0..3 {
            fleet.start_control(number, false)?;
        }
        fleet.start_router(0)?;
    }
    let (mut mixed, mut whole) = (0, 0);
    for (number, client) in clients.into_iter().enumerate() {
        let events = client.join().map_err(|_| "a client failed")?;
        let mut versions: Vec<_> = events.iter().map(|(_, data)| data.clone()).collect();
        versions.dedup();
        record.line(format!("stream-{number}: {} events, of {versions:?}", events.len()));
        let mut software: Vec<_> = versions.iter().map(|v| v.split(' ').next()).collect();
        software.sort();
        software.dedup();
        mixed += usize::from(software.len() > 1);
        whole += usize::from(events.len() as u32 == EVENTS);
    }
    record.line(format!(
        "{whole} of {STREAMS} streams have all events, {mixed} hold events of two versions"
    ));
    Ok(mixed > ALLOWED_MIXED)
}

type Rest = BufReader<TcpStream>;

/// Begins a stream, or takes it up after an event, and reads so many events.
fn read_stream(
    front: SocketAddr,
    id: &str,
    resumes: Option<(&str, u32)>,
    events_wanted: u32,
    events: &mut Vec<(u32, String)>,
) -> Result<Rest, Failure> {
    let mut headers = vec![
        ("Host", "tiket.example"),
        ("Api-Key", "key-one"),
        ("Bramblecrank-Attempt-Id", id),
        ("Bramblecrank-Deadline-Ms", "6000"),
    ];
    let last = resumes.map(|(_, last)| last.to_string()).unwrap_or_default();
    if let Some((first, _)) = resumes {
        headers.push(("Resumes", first));
        headers.push(("Last-Event-Id", &last));
    }
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    stream.write_all(&request_bytes("POST", "/refund/1", &headers, b"case"))?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or("no answer")?;
    if head.status() != 200 {
        let body = read_body(&mut reader, &head).unwrap_or_default();
        return Err(format!("{} {}", head.status(), String::from_utf8_lossy(&body)).into());
    }
    read_events(reader, events_wanted, events)
}

/// Reads events until there are so many more, or the stream ends.
fn read_events(
    mut reader: Rest,
    wanted: u32,
    events: &mut Vec<(u32, String)>,
) -> Result<Rest, Failure> {
    let (mut number, mut read) = (0, 0);
    while read < wanted {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            break;
        }
        if let Some(id) = line.strip_prefix("id: ") {
            number = id.trim().parse()?;
        } else if let Some(data) = line.strip_prefix("data: ") {
            events.push((number, data.trim().to_string()));
            read += 1;
        } else if line == "0\r\n" {
            break;
        }
    }
    Ok(reader)
}
