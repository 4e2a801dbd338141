//! What callers are told of answers, in each way in which replicas can frame and end them.

use std::time::Duration;

use super::fleet::Fleet;
use super::http::{Answer, Framing, call, open, read_until};
use super::replica::{Behaviour, Replica};
use super::shapes::{Place, Shape, Told, told};
use super::{fleet_with, get};

/// Events of a whole stream.
const EVENTS: u32 = 6;
const SHAPED: Behaviour = Behaviour::Shaped { events: EVENTS, pause: Duration::from_millis(1) };

fn runs(replicas: &[Replica], id: &str) -> usize {
    let seen = replicas.iter().flat_map(Replica::seen);
    seen.filter(|request| request.id() == id).count()
}

/// Number of requests that ended in one way, by the metrics of the router.
async fn outcomes(fleet: &Fleet, outcome: &str) -> u64 {
    let labels = format!(r#"{{outcome="{outcome}",service="app"}}"#);
    fleet.metric(&format!("bramblecrank_gateway_requests_total{labels}")).await
}

/// A shape and what was seen of it, if that is not what its caller must be told.
fn mismatch(shape: Shape, expected: Told, answer: &Answer) -> Option<String> {
    let seen = told(answer.framing, answer.complete);
    let text = format!("{}: {seen:?} instead of {expected:?}", shape.name());
    (seen != expected).then_some(text)
}

/// The ids of the complete events of an answer.
fn event_ids(answer: &Answer, shape: Shape) -> Vec<u32> {
    let event_end = shape.line_end.repeat(2);
    let events = answer.body.rsplit_once(&event_end).map_or("", |(complete, _)| complete);
    let ids = events.split(['\n', '\r']).filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

/// Calls a path once in each shape that is chosen, all at the same time.
async fn call_in_shapes(
    fleet: &Fleet,
    path: &str,
    is_chosen: impl Fn(&Shape) -> bool,
) -> Vec<(Shape, Answer)> {
    let calling = Shape::all().into_iter().filter(is_chosen).map(async |shape| {
        let name = shape.name();
        let answer = call(fleet.front, &get(&format!("{path}{name}"), &name)).await;
        (shape, answer)
    });
    futures_util::future::join_all(calling).await
}

#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_not_framed_as_complete() {
    let (fleet, replicas) = fleet_with(&[SHAPED, SHAPED]).await;
    let is_inside = |shape: &Shape| shape.ending.place() == Some(Place::InsideEvent);
    let answers = call_in_shapes(&fleet, "/stream/", is_inside).await;
    let wrong = answers.iter().filter_map(|(shape, answer)| {
        assert_eq!((answer.status, runs(&replicas, &shape.name())), (200, 1), "{}", shape.name());
        mismatch(*shape, Told::Broken, answer)
    });
    let wrong: Vec<_> = wrong.collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_resumed_if_its_route_allows_it() {
    let (mut fleet, _replicas) = fleet_with(&[SHAPED, SHAPED]).await;
    fleet.restart_router_retrying().await;
    let is_broken = |shape: &Shape| shape.told() == Told::Broken;
    let answers = call_in_shapes(&fleet, "/resumable/", is_broken).await;
    let wrong = answers.iter().filter_map(|(shape, answer)| {
        let ids = event_ids(answer, *shape);
        let is_whole = answer.complete && ids.iter().copied().eq(1..=EVENTS);
        let text = format!("{}: {ids:?}, complete: {}", shape.name(), answer.complete);
        (!is_whole).then_some(text)
    });
    let wrong: Vec<_> = wrong.collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[tokio::test]
async fn a_caller_is_told_of_a_stream_exactly_what_its_replica_stated() {
    let (fleet, replicas) = fleet_with(&[SHAPED, SHAPED]).await;
    let answers = call_in_shapes(&fleet, "/stream/", |_| true).await;
    let wrong = answers.iter().filter_map(|(shape, answer)| {
        assert_eq!((answer.status, runs(&replicas, &shape.name())), (200, 1), "{}", shape.name());
        assert_eq!(answer.version, "HTTP/1.1");
        mismatch(*shape, shape.told(), answer)
    });
    let wrong: Vec<_> = wrong.collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    let is_broken = |shape: &Shape| shape.told() == Told::Broken;
    let (broken, whole): (Vec<_>, Vec<_>) = Shape::all().into_iter().partition(is_broken);
    assert_eq!(outcomes(&fleet, "broken_off").await, broken.len() as u64);
    assert_eq!(outcomes(&fleet, "answered").await, whole.len() as u64);
}

#[tokio::test]
async fn a_caller_is_told_of_a_plain_answer_exactly_what_its_replica_stated() {
    let (fleet, replicas) = fleet_with(&[SHAPED, SHAPED]).await;
    let answers = call_in_shapes(&fleet, "/once/", |_| true).await;
    for (shape, answer) in answers {
        let name = shape.name();
        assert_eq!((answer.version.as_str(), runs(&replicas, &name)), ("HTTP/1.1", 1), "{name}");
        match shape.told_of_plain() {
            Told::Broken => assert_eq!(answer.status, 502, "{name}"),
            expected => assert_eq!(mismatch(shape, expected, &answer), None),
        }
    }
}

#[tokio::test]
async fn a_caller_of_http_1_0_is_not_told_that_a_broken_stream_is_whole() {
    let (fleet, _replicas) = fleet_with(&[SHAPED]).await;
    let calling = Shape::all().into_iter().map(async |shape| {
        let name = shape.name();
        let text = get(&format!("/stream/{name}"), &name).replacen("HTTP/1.1", "HTTP/1.0", 1);
        (shape, call(fleet.front, &text).await)
    });
    for (shape, answer) in futures_util::future::join_all(calling).await {
        let expected = match shape.told() {
            Told::Broken => Told::Broken,
            Told::Whole | Told::Nothing => Told::Nothing,
        };
        assert_eq!(mismatch(shape, expected, &answer), None);
    }
}

#[tokio::test]
async fn a_caller_that_leaves_an_answer_without_framing_ends_its_run() {
    let long = Behaviour::Shaped { events: 1_000, pause: Duration::from_millis(50) };
    let (fleet, _replicas) = fleet_with(&[long]).await;
    let mut caller = open(fleet.front, &get("/stream/connection.lf.whole", "left")).await;
    let answer = read_until(&mut caller, "id: 1\n").await;
    assert_eq!((answer.framing, answer.complete), (Framing::Connection, false));
    drop(caller);
    while outcomes(&fleet, "caller_left").await == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(outcomes(&fleet, "timed_out").await, 0);
}
