//! Measures the cost of each decision at several sizes, for `docs/CAPACITY.md`.
//!
//! Run with `cargo run --release --example slopes`. Figures are for one core of the local
//! machine.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use bramblecrank::agree::{Entry, Payload, Persist};
use bramblecrank::claim::{Attempt, Claim, ClaimTable, Settlement};
use bramblecrank::config::{
    Change, Config, Customer, CustomerId, Document, Endpoint, HallSet, History, ServiceId,
};
use bramblecrank::control::{Command, State};
use bramblecrank::dispatch::{Decision, Dispatcher};
use bramblecrank::member::MemberTable as Members;
use bramblecrank::quarantine::{
    Attribute, AttributeSet, CrashAnalysis, CrashReport, Fingerprint, Observation, ObservationLog,
    ObservedEvent, QuarantineStates, Quarantines, RequestProfile, Suspect, Verdict,
};
use bramblecrank::registry::EndpointStart;
use bramblecrank::store::Disk;
use bramblecrank::wire::{
    Completion, FromDispatcher, GrantRequest, Heartbeat, HeartbeatMessage, HostId, Role,
    ToDispatcher,
};

fn main() {
    sizes();
    dispatching();
    members();
    configuration();
    claims();
    quarantine();
    disk();
    restart();
}

/// Prints a row of a Markdown table.
fn row(name: &str, size: impl std::fmt::Display, value: f64, unit: &str) {
    println!("| {name} | {size} | {value:.2} {unit} |");
}

/// Prints a heading and the head of a Markdown table.
fn title(text: &str) {
    println!("\n### {text}\n\n| what | size | measured |\n| --- | --- | --- |");
}

/// Size of a value in bytes as encoded by postcard.
fn bytes<T: serde::Serialize>(value: &T) -> f64 {
    postcard::to_stdvec(value).map_or(0.0, |b| b.len() as f64)
}

fn grant_request(seq: u64, customer: u32, prefix: usize) -> GrantRequest {
    GrantRequest {
        seq,
        customer: CustomerId(customer),
        input: 900,
        start_within_ms: 60_000,
        prefix: vec![u32::MAX; prefix],
    }
}

fn heartbeat(host: u32) -> Heartbeat {
    Heartbeat {
        host: HostId(host),
        incarnation: 1_796_205_361_634,
        role: Role::Router,
        hall: "bkk-ratchada".into(),
        peer: ([10, 0, 0, 1], 20_500 + host as u16).into(),
        operator: ([10, 0, 0, 1], 20_300).into(),
        version: 123_456,
        draining: false,
        also: None,
    }
}

fn sizes() {
    title("Bytes of messages, without headers");
    row(
        "want, short prompt",
        1,
        bytes(&ToDispatcher::GrantRequest(grant_request(100_000, 15_000, 0))),
        "B",
    );
    row(
        "want, long prompt",
        1,
        bytes(&ToDispatcher::GrantRequest(grant_request(100_000, 15_000, 4))),
        "B",
    );
    let grant = FromDispatcher::Grant {
        seq: 100_000,
        endpoint: bramblecrank::config::EndpointId(900),
        charged: 1_500,
        lead: 4_000,
    };
    row("grant", 1, bytes(&grant), "B");
    let done = ToDispatcher::Done { seq: 100_000, units: 1_500, completion: Completion::Answered };
    row("done", 1, bytes(&done), "B");
    row("progress", 1, bytes(&ToDispatcher::Progress { seq: 100_000, units: 1_500 }), "B");
    row("whole heartbeat", 1, bytes(&HeartbeatMessage::Full(heartbeat(7))), "B");
    let brief = HeartbeatMessage::Brief {
        host: HostId(7),
        incarnation: 1_796_205_361_634,
        version: 123_456,
        draining: false,
    };
    row("brief heartbeat", 1, bytes(&brief), "B");
}

fn config(customers: u32, endpoints: u32) -> Config {
    let mut document: Document =
        serde_saphyr::from_str("{halls: [a], services: [{name: s}]}").expect("valid");
    document.customers = (0..customers).map(customer).collect();
    document.endpoints = (0..endpoints)
        .map(|n| Endpoint {
            name: format!("endpoint-{n}"),
            service: "s".into(),
            hall: "a".into(),
            address: format!("10.1.{}.{}:8000", n / 250, n % 250),
            slots: 16,
            leaving: false,
        })
        .collect();
    Config::default().apply(&document.changes()).expect("valid")
}

fn customer(n: u32) -> Customer {
    let text = format!("{{name: customer-{n}, share: {}}}", n % 4 + 1);
    serde_saphyr::from_str(&text).expect("valid")
}

/// Measures the time for a grant request, a grant and a report, with every customer backlogged.
fn dispatching() {
    title("Dispatcher: processor time a request (want, grant, done)");
    for (customers, endpoints) in
        [(10, 10), (100, 10), (1_900, 10), (100, 100), (100, 400), (100, 1_200), (1_900, 45)]
    {
        let mut dispatcher = Dispatcher::new(0, ServiceId(0), 1);
        let config = Arc::new(config(customers, endpoints));
        dispatcher.configure(0, config, &BTreeSet::new());
        let join = ToDispatcher::Join { reach: HallSet::ALL, takeover: false, leads: vec![] };
        dispatcher.receive(0, HostId(1), 1, join);
        let mut decisions = Vec::new();
        let mut seq = 0;
        let mut send_request = |dispatcher: &mut Dispatcher, customer: u32, now| {
            seq += 1;
            let request = ToDispatcher::GrantRequest(grant_request(seq, customer, 0));
            dispatcher.receive(now, HostId(1), 1, request)
        };
        for n in 0..(customers * 4 + endpoints * 20) {
            decisions.extend(send_request(&mut dispatcher, n % customers, 0));
        }
        let rounds = 20_000;
        let start = Instant::now();
        for round in 0..rounds {
            let Some(Decision::Grant { seq, customer, .. }) = decisions.pop() else { continue };
            let now = round / 100;
            let done = ToDispatcher::Done { seq, units: 1_200, completion: Completion::Answered };
            decisions.extend(dispatcher.receive(now, HostId(1), 1, done));
            decisions.extend(send_request(&mut dispatcher, customer.0, now));
        }
        let each = start.elapsed().as_secs_f64() * 1e6 / rounds as f64;
        row("request", format!("{customers} backlogged, {endpoints} endpoints"), each, "µs");
        let start = Instant::now();
        for n in 0..50 {
            dispatcher.tick(200 + n);
        }
        let each = start.elapsed().as_secs_f64() * 1e6 / 50.0;
        row("tick (20 a second)", format!("{customers} backlogged"), each, "µs");
    }
}

fn members() {
    title("Members: processor time a heartbeat heard, and a view");
    for hosts in [10u32, 50, 200, 340, 1_010, 2_020] {
        let mut table = Members::new(heartbeat(0), vec![], Default::default());
        for host in 1..hosts {
            table.on_heartbeat(0, heartbeat(host).peer, HeartbeatMessage::Full(heartbeat(host)));
        }
        let start = Instant::now();
        for round in 0..200 {
            for h in 1..hosts {
                let host = HostId(h);
                let incarnation = 1_796_205_361_634;
                let brief =
                    HeartbeatMessage::Brief { host, incarnation, version: 1, draining: false };
                table.on_heartbeat(round, heartbeat(h).peer, brief);
            }
        }
        let count = f64::from(hosts - 1) * 200.0;
        row("heartbeat", hosts, start.elapsed().as_secs_f64() * 1e6 / count, "µs");
        let start = Instant::now();
        (0..200).for_each(|_| drop(table.view(1)));
        row("view", hosts, start.elapsed().as_secs_f64() * 1e6 / 200.0, "µs");
    }
}

fn configuration() {
    title("Configuration: size, and processor time of a change");
    for customers in [100, 1_900, 19_000] {
        let config = config(customers, 1_200);
        row("whole", format!("{customers} customers"), bytes(&config) / 1_000.0, "KB");
        let change = Change::PutCustomer(customer(5));
        let mut history = History::starting_from(config);
        let start = Instant::now();
        for _ in 0..50 {
            history.advance(vec![change.clone()]).expect("valid");
        }
        let each = start.elapsed().as_secs_f64() * 1e6 / 50.0;
        row("change in place", format!("{customers} customers"), each, "µs");
        let held = history.config().clone();
        let start = Instant::now();
        history.advance(vec![change.clone()]).expect("valid");
        let each = start.elapsed().as_secs_f64() * 1e6;
        drop(held);
        row("change of a version in use", format!("{customers} customers"), each, "µs");
    }
    let delta = bramblecrank::config::Delta {
        version: 123_456,
        changes: vec![Change::PutCustomer(customer(5))],
    };
    row("delta", 1, bytes(&delta), "B");
}

fn claim(n: u64) -> Claim {
    Claim {
        customer: CustomerId(5),
        key: format!("1796205361634-{n}"),
        fingerprint: n,
        attempt: Attempt { router: HostId(7), incarnation: 1_796_205_361_634, seq: n },
    }
}

fn claims() {
    title("Claims: size and processor time");
    for count in [1_000u64, 10_000, 100_000] {
        let mut table = ClaimTable::default();
        let start = Instant::now();
        for n in 0..count {
            table.claim(n, &claim(n));
            table.settle(n, &claim(n), Settlement::Answered(None));
        }
        let each = start.elapsed().as_secs_f64() * 1e6 / count as f64;
        row("claim and settlement", count, each, "µs");
        row("bytes a claim in a snapshot", count, bytes(&table) / count as f64, "B");
    }
    let entry = bytes(&Command::Claim { at_ms: 1_796_205_361_634, claim: claim(100_000) });
    row("claim in the log", 1, entry, "B");
}

/// A request whose prompt has `parts` parts, of which the last is its own and the others are shared
/// by many.
fn profile(request: u64, parts: u64) -> RequestProfile {
    let fingerprint = Fingerprint::of("market-traders", &["/p/"], &request.to_be_bytes());
    let shared = (1..parts).map(|number| Attribute::Part(request % 8 * 100 + number));
    let own = (parts > 0).then_some(Attribute::Part(1_000_000 + request));
    RequestProfile::new(fingerprint, "chat", shared.chain(own))
}

fn lost_request(endpoint: u64, request: u64, parts: u64) -> Observation {
    let endpoint = EndpointStart { id: format!("i-{endpoint:010x}"), started_at_ms: 1 };
    let request = profile(request, parts);
    Observation { ago_ms: 1, event: ObservedEvent::Lost { endpoint, request, ran_ms: 100 } }
}

fn quarantine() {
    title("Requests that crash endpoints");
    for (crashes, requests) in [(3, 16), (30, 64), (256, 64), (256, 256)] {
        for parts in [0, 4, 32] {
            let mut analysis = CrashAnalysis::default();
            let start = Instant::now();
            for crash in 0..crashes {
                for request in 0..requests {
                    let lost = lost_request(crash, crash * requests + request, parts);
                    analysis.record(crash, HostId(1), lost);
                }
            }
            let each = start.elapsed().as_secs_f64() * 1e6 / (crashes * requests) as f64;
            let size = format!("{crashes} crashes of {requests} requests of {parts} parts");
            row("an observation taken in", &size, each, "us");
            let start = Instant::now();
            analysis.review(10_000, &QuarantineStates::default());
            row("a decision", &size, start.elapsed().as_secs_f64() * 1e3, "ms");
        }
    }
    for parts in [0, 4, 32] {
        let observations = (0..64).map(|request| lost_request(1, request, parts)).collect();
        let size = format!("64 requests of {parts} parts lost");
        row("a report", &size, bytes(&CrashReport { observations }), "B");
    }
    for parts in [0, 1, 32] {
        let mut all = Quarantines::default();
        for number in 0..1_024u64 {
            let customer = format!("customer-{}", number % 100);
            let fingerprint = Fingerprint::of(&customer, &["/p/"], &number.to_be_bytes());
            let ids = (0..parts).map(|part| Attribute::Part((number << 40) + part));
            let suspect = match parts {
                0 => Suspect::Request(fingerprint),
                _ => Suspect::Attributes(AttributeSet::new(&customer, "chat", ids)),
            };
            all.apply(Verdict::Refuse { suspect, crashes: 3, at_ms: 1_796_205_361_634 });
        }
        let size = format!("1,024 suspects of {parts} parts");
        row("agreed state", &size, bytes(&all) / 1e3, "KB");
        let request = profile(7, 4);
        let start = Instant::now();
        for _ in 0..10_000 {
            std::hint::black_box(all.refusal_of(std::hint::black_box(&request)));
        }
        row("a check", &size, start.elapsed().as_secs_f64() * 1e6 / 10_000.0, "us");
    }
    for parts in [0, 4, 32] {
        let mut log = ObservationLog::default();
        let start = Instant::now();
        for number in 0..10_000 {
            log.record_served(number, &profile(number, parts), |_| false);
        }
        let each = start.elapsed().as_secs_f64() * 1e6 / 10_000.0;
        row("a served request", format!("{parts} parts, nothing lost"), each, "us");
    }
    let body = vec![b'x'; 64 << 10];
    let start = Instant::now();
    for _ in 0..1_000 {
        std::hint::black_box(Fingerprint::of("market-traders", &["/p/"], &body));
    }
    row("a fingerprint", "64 KB", start.elapsed().as_secs_f64() * 1e3, "us");
}

fn disk() {
    title("Disk: append and sync");
    let folder = std::env::temp_dir().join(format!("bramblecrank-slopes-{}", std::process::id()));
    let (mut disk, _) = Disk::open(&folder).expect("a folder");
    let mut index = 0;
    for batch in [1u64, 10, 100, 1_000] {
        let start = Instant::now();
        for _ in 0..100 {
            let entry =
                |n| Entry { term: 1, index: index + n, payload: Payload::Data(vec![7; 70]) };
            let entries = (1..=batch).map(entry).collect();
            index += batch;
            disk.write(&[Persist::Entries(entries)]).expect("written");
        }
        let each = start.elapsed().as_secs_f64() * 1e3 / 100.0;
        row("sync", format!("{batch} entries"), each, "ms");
    }
    drop(disk);
    let _ = std::fs::remove_dir_all(folder);
}

/// Measures the time from opening the data folder to the newest configuration.
fn restart() {
    title("Restart of a control host: reading and applying its log");
    for (changes, snapshot_every) in [(500u64, 1_000u64), (50_000, 1_000), (50_000, u64::MAX)] {
        let folder =
            std::env::temp_dir().join(format!("bramblecrank-restart-{}", std::process::id()));
        let (mut disk, _) = Disk::open(&folder).expect("a folder");
        let mut state = State::default();
        for index in 1..=changes {
            let command = Command::Change {
                operation: index.to_string(),
                base: None,
                changes: vec![if index == 1 {
                    Change::AddHall("a".into())
                } else {
                    Change::PutCustomer(customer((index % 19_000) as u32))
                }],
            };
            let payload = Payload::Data(postcard::to_stdvec(&command).expect("encoded"));
            disk.write(&[Persist::Entries(vec![Entry { term: 1, index, payload }])])
                .expect("written");
            state.apply(command);
            if index % snapshot_every == 0 {
                let data = postcard::to_stdvec(&state).expect("encoded");
                let snapshot =
                    bramblecrank::agree::Snapshot { index, term: 1, members: vec![], data };
                disk.write(&[Persist::Snapshot(snapshot)]).expect("written");
            }
        }
        drop(disk);
        let start = Instant::now();
        let (_disk, recovered) = Disk::open(&folder).expect("a folder");
        let mut state: State = match recovered.snapshot.data.is_empty() {
            true => State::default(),
            false => postcard::from_bytes(&recovered.snapshot.data).expect("decoded"),
        };
        for entry in &recovered.entries {
            if let Payload::Data(data) = &entry.payload {
                state.apply(postcard::from_bytes(data).expect("decoded"));
            }
        }
        let elapsed = start.elapsed().as_secs_f64() * 1e3;
        assert_eq!(state.history().config().version, changes);
        let every = match snapshot_every {
            u64::MAX => "no snapshot".to_string(),
            n => format!("snapshot every {n}"),
        };
        row("restart", format!("{changes} changes, {every}"), elapsed, "ms");
        let _ = std::fs::remove_dir_all(folder);
    }
}
