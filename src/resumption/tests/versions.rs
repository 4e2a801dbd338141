//! Endpoints whose software changes in place.

use super::{stream, truncated_at};
use crate::resumption::{
    CONFIRM_MS, Certainty, KnownStream, RecentLosses, StreamRecord, VersionHistory,
    choose_unconfirmed,
};

fn history(changed_at: u64) -> VersionHistory {
    let mut history = VersionHistory::default();
    history.record(0, "i-1", "v1");
    history.record(changed_at, "i-1", "v2");
    history
}

#[test]
fn a_stream_that_began_shortly_before_the_news_of_another_version_is_doubtful() {
    let history = history(60_000);
    // It began 200 ms before the news; the endpoint may have changed before.
    assert!(history.is_doubtful(61_000, &stream("v1", 1_200)));
    // It began long before the news.
    assert!(!history.is_doubtful(61_000, &stream("v1", 20_000)));
    // It began after the news.
    assert!(!history.is_doubtful(61_000, &stream("v2", 500)));
}

#[test]
fn a_stream_that_its_changed_endpoint_truncated_began_before_the_change() {
    let history = history(60_000);
    let truncated = truncated_at("i-1", stream("v1", 1_200));
    assert!(!history.is_doubtful(61_000, &truncated));
    let elsewhere = truncated_at("i-2", stream("v1", 1_200));
    assert!(history.is_doubtful(61_000, &elsewhere));
    for certainty in [Certainty::Presumed, Certainty::Doubtful] {
        let record = StreamRecord { certainty, ..truncated.record.clone() };
        assert!(history.is_doubtful(61_000, &KnownStream { record, ..truncated.clone() }));
    }
}

#[test]
fn an_unconfirmed_stream_is_doubtful_if_its_endpoint_changed_back_and_forth() {
    let history = history(60_000);
    let began = |version, age_ms, certainty| {
        let stream = stream(version, age_ms);
        KnownStream { record: StreamRecord { certainty, ..stream.record }, ..stream }
    };
    let is_doubtful = |now, stream| history.is_doubtful(now, &stream);
    assert!(is_doubtful(61_000, began("v2", 1_200, Certainty::Doubtful)));
    assert!(is_doubtful(61_000, began("v2", 800, Certainty::Doubtful)), "news may be late");
    assert!(is_doubtful(61_000, began("v2", 1_200, Certainty::Presumed)));
    assert!(!is_doubtful(61_000, began("v2", 800, Certainty::Presumed)), "it changed before");
    assert!(!is_doubtful(61_000, began("v2", 1_200, Certainty::Confirmed)));
    assert!(!is_doubtful(90_000, began("v2", 1_200, Certainty::Doubtful)), "long before");
    assert!(history.changes_in_place("i-1") && !history.changes_in_place("i-2"));
}

#[test]
fn an_unconfirmed_stream_is_doubtful_if_its_endpoint_changed_before_this_router_heard_of_it() {
    let mut history = VersionHistory::default();
    history.record(60_000, "i-1", "v2");
    let began = |certainty| {
        let stream = stream("v1", 90_000);
        KnownStream { record: StreamRecord { certainty, ..stream.record }, ..stream }
    };
    assert!(history.is_doubtful(100_000, &began(Certainty::Doubtful)));
    assert!(history.is_doubtful(100_000, &began(Certainty::Presumed)));
    assert!(!history.is_doubtful(100_000, &began(Certainty::Confirmed)));
}

#[test]
fn endpoints_that_keep_their_version_or_have_ended_leave_no_doubt() {
    let mut history = VersionHistory::default();
    history.record(0, "i-1", "v1");
    history.record(50_000, "i-1", "v1");
    assert!(!history.is_doubtful(50_100, &stream("v1", 200)));
    history.forget("i-1");
    assert!(!history.is_doubtful(50_100, &stream("v1", 200)));
}

#[test]
fn software_is_suspect_if_a_connection_broke_shortly_before_it_was_reached() {
    let mut losses = RecentLosses::default();
    assert!(!losses.is_suspect(0, "i-1", 0));
    losses.record(100, "i-1");
    assert!(losses.is_suspect(99 + CONFIRM_MS, "i-1", 100));
    assert!(!losses.is_suspect(200, "i-1", 99), "it was reached before");
    losses.record(300, "i-1");
    assert!(losses.is_suspect(400, "i-1", 200));
    assert_eq!(losses.last_loss("i-1"), Some(300));
    assert_eq!(losses.unconfirmed(400).collect::<Vec<_>>(), [("i-1", 300)]);
    assert!(!losses.is_suspect(300 + CONFIRM_MS, "i-1", 200));
    assert_eq!(losses.unconfirmed(300 + CONFIRM_MS).count(), 0);
}

#[test]
fn software_stays_suspect_while_no_control_host_is_followed() {
    let mut losses = RecentLosses::default();
    losses.record(100, "i-1");
    losses.record_disconnected(1_000, 1_000);
    assert!(losses.is_suspect(100 + CONFIRM_MS, "i-1", 200));
    assert!(!losses.is_suspect(1_000 + CONFIRM_MS, "i-1", 200));
    assert!(!losses.has_followed_since(1_000) && !losses.has_followed_since(900));
    assert!(losses.has_followed_since(1_200));
}

#[test]
fn what_an_endpoint_ran_is_known_after_its_next_heartbeat_once_control_hosts_are_followed() {
    let mut losses = RecentLosses::default();
    assert_eq!(losses.known_from(100), 100 + CONFIRM_MS);
    losses.record_disconnected(1_000, 1_000);
    assert_eq!(losses.known_from(100), 1_000 + CONFIRM_MS);
    assert_eq!(losses.known_from(1_200), 1_200 + CONFIRM_MS);
}

#[test]
fn what_was_known_stays_known_without_control_hosts() {
    let mut losses = RecentLosses::default();
    for now in (11_000..=12_000).step_by(50) {
        losses.record_disconnected(now, now - 1_000);
    }
    assert_eq!(losses.known_from(10_000 - CONFIRM_MS), 10_000, "it was known before");
    assert_eq!(losses.known_from(10_001 - CONFIRM_MS), 12_000 + CONFIRM_MS);
    // Control hosts were followed for too short a time in between.
    losses.record_disconnected(13_000, 13_000);
    assert_eq!(losses.known_from(8_000), 13_000 + CONFIRM_MS);
    losses.record_disconnected(20_000, 20_000);
    assert_eq!(losses.known_from(8_000), 13_000 + CONFIRM_MS);
    assert_eq!(losses.known_from(19_000), 20_000 + CONFIRM_MS);
}

#[test]
fn of_several_unconfirmed_endpoints_the_first_one_lost_is_used() {
    let untried = |_: &str| false;
    assert_eq!(choose_unconfirmed(&[], untried), None);
    let two = [("i-1".to_string(), 300), ("i-2".to_string(), 200)];
    assert_eq!(choose_unconfirmed(&two, untried), Some("i-2"));
    assert_eq!(choose_unconfirmed(&two, |id| id == "i-2"), Some("i-1"));
    assert_eq!(choose_unconfirmed(&two, |_| true), None);
}

#[test]
fn the_news_of_a_version_is_dated() {
    let history = history(60_000);
    assert_eq!((history.known_since("i-1"), history.known_since("i-2")), (Some(60_000), None));
}
