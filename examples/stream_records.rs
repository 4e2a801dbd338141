//! Measures what the records of streams cost at several sizes of a fleet, for `docs/CAPACITY.md`.
//!
//! Run with `cargo run --release --example stream_records`. Figures are for one core of the local
//! machine.

use std::hint::black_box;
use std::time::Instant;

use bramblecrank::resumption::{
    Certainty, KnownStream, ListedRouter, RecordMessage, RecordTable, RouterDirectory, StreamKey,
    StreamRecord, replicas_to_ask, replicas_to_store,
};
use bramblecrank::wire::{HostId, UDP_HEADER_BYTES, encode_stream_datagram};

const HALLS: u16 = 5;
const STREAMS: usize = 20_000;

fn main() {
    println!("| what | size | measured |\n| --- | --- | --- |");
    messages();
    [9, 60, 340, 985].into_iter().for_each(ranking);
    [1_000, 100_000].into_iter().for_each(table);
}

fn row(what: &str, size: usize, measured: String) {
    println!("| {what} | {size} | {measured} |");
}

fn key(number: usize) -> StreamKey {
    StreamKey::of(Some("a customer"), &format!("{number:016x}"))
}

fn stream(number: usize) -> KnownStream {
    let record = StreamRecord {
        service: "nobo35a".into(),
        version: "v1.2".into(),
        endpoint: format!("i-{number:010x}").into(),
        certainty: Certainty::Confirmed,
    };
    KnownStream { record, age_ms: 0, loss: None }
}

fn messages() {
    let size = |message: RecordMessage| {
        let encoded = encode_stream_datagram(&(HostId(0x0a40_1234), message));
        encoded.map_or(0, |encoded| encoded.len() as u64 + UDP_HEADER_BYTES)
    };
    let number = 1 << 20;
    let store = size(RecordMessage::Store { number, key: key(1), stream: stream(1) });
    let stored = size(RecordMessage::Stored { number });
    let find = size(RecordMessage::Find { number, key: key(1) });
    let found = size(RecordMessage::Found { number, stream: Some(stream(1)) });
    row("bytes of a record stored, acknowledged", 1, format!("{store}, {stored}"));
    row("bytes of a search, and of its answer", 1, format!("{find}, {found}"));
    row("bytes sent for a stream, at its router and at two others", 1, {
        format!("{}, {}", 2 * store, 2 * stored)
    });
}

fn ranking(routers: u32) {
    let router = |number: u32| ListedRouter {
        host: HostId(0x0a00_0000 + number),
        peer: ([10, 0, (number >> 8) as u8, number as u8], 7_400).into(),
        hall: (number % u32::from(HALLS)) as u16,
    };
    let directory = RouterDirectory {
        halls: (0..HALLS).map(|hall| format!("hall-{hall}")).collect(),
        routers: (0..routers).map(router).collect(),
    };
    let me = directory.routers[0].host;
    let started = Instant::now();
    for number in 0..STREAMS {
        black_box(replicas_to_store(&directory, key(number), me, "hall-0", |_| true));
    }
    let store_us = started.elapsed().as_secs_f64() * 1e6 / STREAMS as f64;
    let started = Instant::now();
    let mut asked = 0;
    for number in 0..STREAMS {
        asked += replicas_to_ask(&directory, key(number), me, "hall-0").len();
    }
    let ask_us = started.elapsed().as_secs_f64() * 1e6 / STREAMS as f64;
    let size = routers as usize;
    row("choosing where a record is stored", size, format!("{store_us:.2} us"));
    row("choosing who is asked", size, format!("{ask_us:.2} us"));
    row("routers asked", size, format!("{:.1}", asked as f64 / STREAMS as f64));
    let bytes = postcard::to_stdvec(&directory).map_or(0, |encoded| encoded.len());
    row("bytes of the directory", size, bytes.to_string());
}

fn table(records: usize) {
    let before = resident_bytes();
    let mut table = RecordTable::default();
    let started = Instant::now();
    for number in 0..records {
        table.store(number as u64, key(number), stream(number));
    }
    let store_us = started.elapsed().as_secs_f64() * 1e6 / records as f64;
    let bytes = resident_bytes().saturating_sub(before) / records;
    let started = Instant::now();
    for number in 0..records {
        black_box(table.find(records as u64, key(number)));
    }
    let find_us = started.elapsed().as_secs_f64() * 1e6 / records as f64;
    row("storing a record", records, format!("{store_us:.2} us"));
    row("finding a record", records, format!("{find_us:.2} us"));
    row("memory of a record", records, format!("{bytes} bytes"));
}

/// The memory that this process uses.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or(0) * 1_024
}
