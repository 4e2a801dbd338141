//! What heads of answers say.

mod rest;
mod unattributed;

use proptest::prelude::*;

use super::*;

const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

fn read(status: u16, headers: &[(&'static str, &str)]) -> Notice {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.append(*name, HeaderValue::from_str(value).unwrap());
    }
    Notice::read(StatusCode::from_u16(status).unwrap(), &map, &LEAVING)
}

fn rest(status: u16, says: &str) -> RequestedRest {
    read(status, &[("retry-after", says)]).rest
}

#[test]
fn any_answer_may_say_that_its_endpoint_leaves() {
    for status in [200, 404, 429, 500, 503] {
        assert!(read(status, &[("x-leaving", "1")]).leaves);
        assert!(read(status, &[("x-leaving", " 1 ")]).leaves);
        assert!(read(status, &[("x-leaving", "0"), ("x-leaving", "1")]).leaves);
        assert!(!read(status, &[]).leaves);
        for says in ["0", "", "false", "11", "1, 1"] {
            assert!(!read(status, &[("x-leaving", says)]).leaves, "{says}");
        }
    }
}

#[test]
fn only_who_turns_a_request_away_asks_for_rest() {
    assert_eq!(rest(503, "3"), RequestedRest::For(3_000));
    assert_eq!(rest(429, "0.25"), RequestedRest::For(250));
    for status in [200, 301, 404, 500, 502] {
        assert_eq!(rest(status, "3"), RequestedRest::None);
    }
    assert_eq!(read(503, &[]).rest, RequestedRest::None);
}

#[test]
fn a_time_is_at_most_what_is_believed() {
    for says in ["3600", "3601", "1e300", "inf", "99999999999999999999999999"] {
        assert_eq!(rest(503, says), RequestedRest::For(MAX_REST_MS), "{says}");
    }
    assert_eq!(rest(503, "0.0001"), RequestedRest::For(1), "a part of a millisecond is one");
    assert_eq!(rest(503, "0").duration_ms(), None);
}

#[test]
fn what_is_no_time_is_none() {
    for says in ["-1", "-inf", "nan", "", "soon", "1, 2", "0x10", "Fri, 31 Dec 1999 23:59:59 GMT"] {
        assert!(matches!(rest(503, says), RequestedRest::Unreadable(_)), "{says}");
        assert_eq!(rest(503, says).duration_ms(), None);
    }
}

proptest! {
    #[test]
    fn any_bytes_are_read(bytes in prop::collection::vec(any::<u8>(), 0..40)) {
        let Ok(value) = HeaderValue::from_bytes(&bytes) else { return Ok(()) };
        let mut headers = HeaderMap::new();
        headers.insert(header::RETRY_AFTER, value.clone());
        headers.insert(LEAVING, value);
        let notice = Notice::read(StatusCode::SERVICE_UNAVAILABLE, &headers, &LEAVING);
        prop_assert!(notice.rest.duration_ms().is_none_or(|time| time <= MAX_REST_MS));
    }
}
