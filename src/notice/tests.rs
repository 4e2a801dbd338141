//! Reading notices from the heads of answers.

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

fn rest(status: u16, value: &str) -> RequestedRest {
    read(status, &[("retry-after", value)]).rest
}

#[test]
fn any_answer_may_report_that_its_endpoint_is_leaving() {
    for status in [200, 404, 429, 500, 503] {
        assert!(read(status, &[("x-leaving", "1")]).is_leaving);
        assert!(read(status, &[("x-leaving", " 1 ")]).is_leaving);
        assert!(read(status, &[("x-leaving", "0"), ("x-leaving", "1")]).is_leaving);
        assert!(!read(status, &[]).is_leaving);
        for value in ["0", "", "false", "11", "1, 1"] {
            assert!(!read(status, &[("x-leaving", value)]).is_leaving, "{value}");
        }
    }
}

#[test]
fn only_an_answer_that_turns_the_request_away_requests_a_rest() {
    assert_eq!(rest(503, "3"), RequestedRest::For(3_000));
    assert_eq!(rest(429, "0.25"), RequestedRest::For(250));
    for status in [200, 301, 404, 500, 502] {
        assert_eq!(rest(status, "3"), RequestedRest::None);
    }
    assert_eq!(read(503, &[]).rest, RequestedRest::None);
}

#[test]
fn a_rest_is_capped_at_the_maximum() {
    for value in ["3600", "3601", "1e300", "inf", "99999999999999999999999999"] {
        assert_eq!(rest(503, value), RequestedRest::For(MAX_REST_MS), "{value}");
    }
    assert_eq!(
        rest(503, "0.0001"),
        RequestedRest::For(1),
        "a fraction of a millisecond is rounded up"
    );
    assert_eq!(rest(503, "0").duration_ms(), None);
}

#[test]
fn a_value_that_is_not_a_duration_requests_no_rest() {
    for value in ["-1", "-inf", "nan", "", "soon", "1, 2", "0x10", "Fri, 31 Dec 1999 23:59:59 GMT"]
    {
        assert!(matches!(rest(503, value), RequestedRest::Unreadable(_)), "{value}");
        assert_eq!(rest(503, value).duration_ms(), None);
    }
}

proptest! {
    #[test]
    fn any_header_bytes_are_read_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..40)) {
        let Ok(value) = HeaderValue::from_bytes(&bytes) else { return Ok(()) };
        let mut headers = HeaderMap::new();
        headers.insert(header::RETRY_AFTER, value.clone());
        headers.insert(LEAVING, value);
        let notice = Notice::read(StatusCode::SERVICE_UNAVAILABLE, &headers, &LEAVING);
        prop_assert!(notice.rest.duration_ms().is_none_or(|time| time <= MAX_REST_MS));
    }
}
