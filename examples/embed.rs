//! Embeds the library's state machines in another program: a dispatcher that shares two slots
//! between two customers, and a replicated log with a single replica.
//!
//! Run with `cargo run --example embed`.

use std::collections::BTreeSet;
use std::sync::Arc;

use bramblecrank::agree::{HardState, Payload, Persist, Replica, Snapshot, StoreId};
use bramblecrank::config::{Config, CustomerId, Document, HallSet, ServiceId};
use bramblecrank::dispatch::{Decision, Dispatcher};
use bramblecrank::wire::{Completion, GrantRequest, HostId, ToDispatcher};

const CONFIGURATION: &str = "
halls: [here]
services: [{name: llm}]
customers: [{name: large, share: 3}, {name: small}]
endpoints: [{name: e, service: llm, hall: here, address: '127.0.0.1:1', slots: 2}]
";

fn main() {
    dispatch();
    agree();
}

/// Two customers request more than the capacity; they are served in proportion to their shares.
fn dispatch() {
    let document: Document = serde_saphyr::from_str(CONFIGURATION).expect("the text is valid");
    let config = Config::default().apply(&document.changes()).expect("the document is valid");
    let router = HostId(1);
    let mut dispatcher = Dispatcher::new(0, ServiceId(0), 1);
    dispatcher.configure(0, Arc::new(config), &BTreeSet::new());
    let join = ToDispatcher::Join { reach: HallSet::ALL, takeover: false, leads: vec![] };
    dispatcher.receive(0, router, 1, join);
    let mut decisions = Vec::new();
    for seq in 1..=80 {
        let request = GrantRequest {
            seq,
            customer: CustomerId((seq % 2) as u32),
            input: 10,
            start_within_ms: 60_000,
            prefix: vec![],
        };
        decisions.extend(dispatcher.receive(0, router, 1, ToDispatcher::GrantRequest(request)));
    }
    let mut served = [0; 2];
    let mut now = 0;
    while served[0] + served[1] < 40 {
        let Some(decision) = decisions.pop() else { break };
        let Decision::Grant { seq, customer, .. } = decision else { continue };
        served[customer.0 as usize] += 1;
        now += 5;
        let done = ToDispatcher::Done { seq, units: 10, completion: Completion::Answered };
        decisions.extend(dispatcher.receive(now, router, 1, done));
    }
    println!(
        "of 40 requests the large customer (share 3) had {}, the small one {}",
        served[0], served[1]
    );
}

/// A group with a single replica elects itself leader and commits a command.
fn agree() {
    let member = bramblecrank::agree::GroupMember {
        store: StoreId(1),
        host: HostId(1),
        peer: ([127, 0, 0, 1], 1).into(),
        voter: true,
        replaces: None,
    };
    let mut hard = HardState::default();
    let mut entries = Vec::new();
    for record in Replica::bootstrap_records(vec![member]) {
        match record {
            Persist::HardState(state) => hard = state,
            Persist::Entries(bootstrap_entries) => entries = bootstrap_entries,
            Persist::Snapshot(_) => {}
        }
    }
    let mut replica = Replica::new(0, StoreId(1), hard, Snapshot::default(), entries, 7);
    let mut now = 0;
    while replica.propose(now, vec![]).is_err() {
        now += 100;
        replica.tick(now);
    }
    let (_, output) = replica.propose(now, vec![b"hello".to_vec()]).expect("it leads");
    let committed = output.committed.iter().filter_map(|e| match &e.payload {
        Payload::Data(data) => Some(String::from_utf8_lossy(data).into_owned()),
        _ => None,
    });
    println!("the group of one committed {:?} after {now} ms", committed.collect::<Vec<_>>());
}
