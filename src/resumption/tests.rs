//! Tests of where records of streams are kept, and of what is known from them.

mod replicas;
mod stalls;
mod table;
mod versions;

use super::{Certainty, KnownStream, StreamKey, StreamLoss, StreamRecord};

fn key(number: usize) -> StreamKey {
    StreamKey::of(Some("a customer"), &format!("attempt-{number}"))
}

fn stream(version: &str, age_ms: u64) -> KnownStream {
    let record = StreamRecord {
        service: "app".into(),
        version: version.into(),
        endpoint: "i-1".into(),
        certainty: Certainty::Confirmed,
    };
    KnownStream { record, age_ms, loss: None }
}

fn truncated_at(endpoint: &str, stream: KnownStream) -> KnownStream {
    KnownStream { loss: Some(StreamLoss { endpoint: endpoint.into(), age_ms: 0 }), ..stream }
}

#[test]
fn keys_differ_by_customer_and_attempt() {
    let keys = [
        StreamKey::of(Some("a"), "bc"),
        StreamKey::of(Some("ab"), "c"),
        StreamKey::of(None, "abc"),
        StreamKey::of(Some("a"), "bd"),
    ];
    for (number, key) in keys.iter().enumerate() {
        assert!(!keys[number + 1..].contains(key));
    }
    assert_eq!(keys[0], StreamKey::of(Some("a"), "bc"));
}
