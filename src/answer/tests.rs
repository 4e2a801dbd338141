use axum::body::Body;
use axum::http::{HeaderValue, Response, Version};
use bytes::Bytes;
use proptest::prelude::*;

use super::events::EventScanner;
use super::*;

fn is_between(text: &str) -> bool {
    let mut scanner = EventScanner::default();
    scanner.scan(text.as_bytes());
    scanner.is_between_events()
}

#[test]
fn an_event_ends_with_an_empty_line_of_any_kind() {
    for end in ["\n\n", "\r\n\r\n", "\r\r", "\n\r\n", "\r\n\n", "\n\r", "\r\r\n", "\r\n\r"] {
        assert!(is_between(&format!("id: 1\ndata: x{end}")), "{end:?}");
        assert!(is_between(&format!("id: 1\rdata: x{end}: a comment\n")), "{end:?}");
        assert!(!is_between(&format!("id: 1\ndata: x{end}id: 2{end}d")), "{end:?}");
    }
    for end in ["", "\n", "\r\n", "\r"] {
        assert!(!is_between(&format!("id: 1\ndata: x{end}")), "{end:?}");
    }
}

#[test]
fn a_stream_without_events_is_between_events() {
    for text in ["", "\n\n", ": a comment\n", "\u{feff}", "\u{feff}: a comment\r\n", ":\n\n"] {
        assert!(is_between(text), "{text:?}");
    }
    for text in [": half a comm", "\u{feff}data", "data"] {
        assert!(!is_between(text), "{text:?}");
    }
}

proptest! {
    #![proptest_config(crate::testing::property(64))]

    /// A whole stream is never called broken, whatever its line ends are, and one that is cut
    /// anywhere inside an event is.
    #[test]
    fn a_stream_is_between_events_exactly_after_empty_lines(
        events in proptest::collection::vec(
            ("[a-z]{1,5}", "[ -9;-~]{0,4}", 0usize..3, 0usize..3), 1..8),
        at in any::<prop::sample::Index>(),
    ) {
        let ends = ["\n", "\r\n", "\r"];
        let mut text = String::new();
        // The offsets at which the stream is whole: after the empty line, and after each of the
        // two bytes of a CRLF that ends it.
        let mut whole = vec![0];
        for (name, value, line_end, empty_line) in events {
            // After a CR, an LF would belong to the same line end.
            let empty_line = if ends[line_end] == "\r" && empty_line == 0 { 2 } else { empty_line };
            text += &format!("{name}:{value}{}{}", ends[line_end], ends[empty_line]);
            whole.push(text.len());
            if ends[empty_line] == "\r\n" {
                whole.push(text.len() - 1);
            }
        }
        prop_assert!(is_between(&text));
        let cut = at.index(text.len() + 1);
        let (before, after) = text.split_at(cut);
        prop_assert_eq!(is_between(before), whole.contains(&cut), "{:?}", before);
        let mut scanner = EventScanner::default();
        scanner.scan(before.as_bytes());
        scanner.scan(after.as_bytes());
        prop_assert!(scanner.is_between_events());
    }
}

/// What is decided for each framing, ending and end of the content.
#[test]
fn nothing_is_taken_for_whole_that_its_endpoint_did_not_state_to_be_whole() {
    use {ContentEnd::*, Ending::*};
    let framings = [Framing::Length, Framing::Chunks, Framing::Connection];
    for framing in framings {
        for content in [Opaque, BetweenEvents, InsideEvent, BeforeFinalEvent] {
            for ending in [Clean, ClosedEarly, Reset, Invalid, TooLong, NoMemory] {
                let verdict = BodyEnd { framing, ending, content }.verdict();
                let is_whole = ending == Clean && matches!(content, Opaque | BetweenEvents);
                assert_eq!(verdict.is_ok(), is_whole, "{framing:?} {ending:?} {content:?}");
                let Ok(completeness) = verdict else { continue };
                let is_stated = completeness == Completeness::Stated;
                assert_eq!(is_stated, framing != Framing::Connection);
            }
        }
    }
}

fn answer(version: Version, headers: &[(&'static str, &'static str)]) -> Response<Body> {
    let unknown_length = futures_util::stream::empty::<Result<Bytes, std::io::Error>>();
    let mut answer = Response::new(Body::from_stream(unknown_length));
    *answer.version_mut() = version;
    for (name, value) in headers {
        answer.headers_mut().append(*name, HeaderValue::from_static(value));
    }
    answer
}

#[test]
fn only_a_connection_that_outlives_its_answer_is_kept() {
    let chunks = ("transfer-encoding", "chunked");
    let cases: [(Version, &[_], Framing, bool); 8] = [
        (Version::HTTP_11, &[chunks], Framing::Chunks, true),
        (Version::HTTP_11, &[chunks, ("connection", "Close")], Framing::Chunks, false),
        (Version::HTTP_11, &[chunks, ("connection", "x, close")], Framing::Chunks, false),
        (
            Version::HTTP_11,
            &[chunks, ("connection", "x"), ("connection", "close")],
            Framing::Chunks,
            false,
        ),
        (Version::HTTP_11, &[("transfer-encoding", "gzip, chunked")], Framing::Chunks, true),
        (Version::HTTP_11, &[("transfer-encoding", "gzip")], Framing::Connection, false),
        (Version::HTTP_11, &[], Framing::Connection, false),
        (Version::HTTP_10, &[("connection", "keep-alive")], Framing::Connection, false),
    ];
    for (version, headers, framing, is_kept) in cases {
        let answer = answer(version, headers);
        assert_eq!(Framing::of(&answer), framing, "{headers:?}");
        assert_eq!(keeps_connection(&answer), is_kept, "{headers:?}");
    }
    for (connection, is_kept) in [("keep-alive", true), ("x", false)] {
        let answer = answer(Version::HTTP_10, &[("connection", connection)]);
        let answer = answer.map(|_| Body::from("with a length"));
        assert_eq!(Framing::of(&answer), Framing::Length);
        assert_eq!(keeps_connection(&answer), is_kept);
    }
}

#[test]
fn an_answer_that_fills_the_memory_is_given_up_and_no_smaller_one() {
    let memory = AnswerMemory::new(100);
    let (small, large) = (memory.hold(), memory.hold());
    assert!(small.set(30) && large.set(70));
    assert!(!small.try_set(31), "nothing is given up for what can be passed on");
    assert!(small.set(40), "the larger one is given up");
    assert!(!large.set(71));
    assert_eq!(memory.held(), 40);
    assert!(!small.set(101), "no answer holds more than there is");
    drop((small, large));
    assert_eq!(memory.held(), 0);
}

#[test]
fn limits_that_cannot_be_kept_together_are_refused() {
    let limits = AnswerLimits::default();
    assert!(limits.check().is_ok());
    for refused in [
        AnswerLimits { head_bytes: 8_191, ..limits },
        AnswerLimits { head_ms: 0, ..limits },
        AnswerLimits { event_bytes: limits.head_bytes - 1, ..limits },
        AnswerLimits { held_bytes: limits.answer_bytes - 1, ..limits },
    ] {
        assert!(refused.check().is_err(), "{refused:?}");
    }
}

#[test]
fn the_length_of_an_event_counts_from_the_end_of_the_one_before() {
    let mut scanner = EventScanner::default();
    scanner.scan(b": a comment\n\ndata");
    assert_eq!((scanner.open_bytes(), scanner.has_event()), (4, false));
    scanner.scan(b": x\n\nid");
    assert_eq!((scanner.open_bytes(), scanner.has_event()), (2, true));
}
