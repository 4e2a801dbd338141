//! Streams whose endpoints replace their software in place while no control host is there to tell.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{Answer, call};
use crate::replica::{Behaviour, Replica};
use crate::request;
use crate::resumption::{EVENT_PAUSE, EVENTS, STREAMS, Stream, Versions};

/// Longer than a router keeps an idle connection.
const IDLE: Duration = Duration::from_secs(3);

/// Begins a stream that its replica delivers in this shape.
async fn call_shape(router: SocketAddr, shape: &str, attempt: &str) -> Answer {
    let path = format!("/resumable/{shape}/{attempt}");
    call(router, &request("GET", &path, attempt, "Api-Key: key-one\r\n", "")).await
}

/// Every other endpoint replaces its software while the router has idle connections to all of them.
/// Then streams break, which begin `after` that.
async fn assert_not_mixed_after_a_change_seen_by_idle_connections(after: Duration) {
    let shaped = Behaviour::Shaped { events: 6, pause: Duration::from_millis(5) };
    let ids: Vec<_> = (0..16).map(|number| format!("i-{number}")).collect();
    let ids: Vec<_> = ids.iter().map(|id| ("v1", id.as_str())).collect();
    let mut versions = Versions::start_with_versions(shaped, &ids).await;
    let front = versions.fleet.front;
    let is_unused = |(_, replica): &(_, Replica)| replica.seen().is_empty();
    while versions.replicas.iter().any(is_unused) {
        let whole = (0..4 * ids.len()).map(async |number| {
            call_shape(front, "chunks.lf.whole", &format!("whole-{number}")).await
        });
        futures_util::future::join_all(whole).await;
    }
    versions.fleet.kill_control();
    versions.fleet.wait_feeds_lost().await;
    for (_, replica) in versions.replicas.iter().step_by(2) {
        replica.set_version("v2");
    }
    tokio::time::sleep(after).await;
    let (mut complete, mut mixed) = (0, Vec::new());
    for number in 0..STREAMS {
        let attempt = format!("broken-{number}");
        let answer = call_shape(front, "chunks.lf.reset-between", &attempt).await;
        let versions: BTreeSet<_> =
            answer.body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
        complete += usize::from(answer.status == 200 && answer.complete);
        mixed.extend((versions.len() > 1).then_some(attempt));
    }
    assert!(mixed.is_empty(), "streams of two versions: {mixed:?}");
    assert!(complete > 0, "no stream went on");
}

#[tokio::test]
async fn no_stream_goes_on_at_an_endpoint_that_closed_an_idle_connection() {
    assert_not_mixed_after_a_change_seen_by_idle_connections(Duration::ZERO).await;
}

#[tokio::test]
async fn no_stream_goes_on_at_an_endpoint_that_closed_an_idle_connection_long_ago() {
    assert_not_mixed_after_a_change_seen_by_idle_connections(IDLE).await;
}

#[tokio::test]
async fn no_stream_goes_on_after_the_end_of_an_unframed_answer_may_have_hidden_a_change() {
    let shaped = Behaviour::Shaped { events: EVENTS, pause: EVENT_PAUSE };
    let mut versions =
        Versions::start_with_versions(shaped, &[("v1", "i-11"), ("v1", "i-12")]).await;
    let changed = versions.replicas[0].1.clone();
    let front = versions.fleet.front;
    let unframed = (0..STREAMS)
        .map(async |n| call_shape(front, "connection.lf.whole", &format!("u{n}")).await);
    let change = async {
        changed.wait_for(|replica| !replica.seen().is_empty()).await;
        tokio::time::sleep(5 * EVENT_PAUSE).await;
        versions.fleet.kill_control();
        changed.set_version("v2");
    };
    let (_, ()) = tokio::join!(futures_util::future::join_all(unframed), change);
    let broken = (0..STREAMS)
        .map(async |n| call_shape(front, "chunks.lf.reset-between", &format!("b{n}")).await);
    for answer in futures_util::future::join_all(broken).await {
        assert!(Stream::new("b", &answer).versions.len() <= 1, "{}", answer.body);
    }
}
