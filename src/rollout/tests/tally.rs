//! A router's counts and reports.

use super::*;

fn key(route: &str, release: Release) -> TallyKey {
    TallyKey { service: "llm".into(), number: 1, route: route.into(), release }
}

fn in_progress() -> Rollouts {
    let mut rollouts = Rollouts::default();
    rollouts.start(order("v2", 0));
    rollouts
}

#[test]
fn counts_are_reported_once_by_route_and_release() {
    let mut tally = RouterTally::default();
    let new = key("chat", Release::New);
    for ms in [100.0, 100.0, 900.0] {
        tally.record_sent(&new);
        tally.record_answered(&new, ms);
    }
    tally.record_sent(&key("chat", Release::Old));
    tally.record_failed(&key("chat", Release::Old));
    let report = tally.take_report(&in_progress());
    let tallies = &report.services[0].tallies;
    assert_eq!(tallies.len(), 2);
    let of = |release| &tallies.iter().find(|t| t.release == release).unwrap().answers;
    assert_eq!((of(Release::New).sent, of(Release::New).failed), (3, 0));
    let times = [(AnswerCounts::bucket(100.0), 2), (AnswerCounts::bucket(900.0), 1)];
    assert_eq!(of(Release::New).first_byte_times, times);
    assert_eq!((of(Release::Old).sent, of(Release::Old).failed), (1, 1));
    assert!(tally.take_report(&in_progress()).services[0].tallies.is_empty());
}

#[test]
fn cold_answers_count_without_their_time_and_truncated_ones_count_once() {
    let mut tally = RouterTally::default();
    let new = key("chat", Release::New);
    tally.record_answered_cold(&new);
    tally.record_answered(&new, 100.0);
    tally.record_truncated(&new);
    let answers = tally.take_report(&in_progress()).services.remove(0).tallies.remove(0).answers;
    assert_eq!((answers.answered, answers.failed, answers.total()), (1, 1, 2));
    assert_eq!(answers.first_byte_times.len(), 1);
    // An answer that was counted in an earlier report ends early.
    tally.record_truncated(&new);
    let later = tally.take_report(&in_progress()).services.remove(0).tallies.remove(0).answers;
    let mut sum = answers.clone();
    sum.merge(&later);
    assert_eq!((sum.answered, sum.failed), (0, 2));
}

#[test]
fn a_report_that_could_not_be_sent_is_merged_into_the_next() {
    let mut tally = RouterTally::default();
    let new = key("chat", Release::New);
    for _ in 0..1_000 {
        tally.record_sent(&new);
        tally.record_answered(&new, 100.0);
        let report = tally.take_report(&in_progress());
        tally.put_back(report);
    }
    let report = tally.take_report(&in_progress());
    assert_eq!(report.services[0].tallies.len(), 1);
    assert_eq!(report.services[0].tallies[0].answers.sent, 1_000);
    assert_eq!(
        report.services[0].tallies[0].answers.first_byte_times,
        [(AnswerCounts::bucket(100.0), 1_000)]
    );
}

#[test]
fn open_requests_on_old_releases_count_even_if_they_began_before_the_order() {
    let mut tally = RouterTally::default();
    for version in ["v1", "v1", "", "v2"] {
        tally.record_opened("llm", version);
    }
    tally.record_opened("app", "v1");
    assert_eq!(tally.take_report(&in_progress()).services[0].open_on_old, 3);
    for version in ["v1", "v1", ""] {
        tally.record_closed("llm", version);
    }
    assert_eq!(tally.take_report(&in_progress()).services[0].open_on_old, 0);
}

#[test]
fn a_request_that_could_not_be_sent_is_not_counted_as_sent() {
    let mut tally = RouterTally::default();
    tally.record_sent(&key("chat", Release::New));
    tally.record_unsent(&key("chat", Release::New));
    assert!(tally.take_report(&in_progress()).services[0].tallies.is_empty());
}

#[test]
fn counts_of_an_earlier_rollout_are_not_reported_for_the_next() {
    let mut rollouts = in_progress();
    let mut tally = RouterTally::default();
    tally.record_sent(&key("chat", Release::New));
    rollouts.step(&step(&rollouts, Stage::RolledBack));
    rollouts.start(order("v3", 60_000));
    let late = tally.clone().take_report(&in_progress());
    assert!(tally.take_report(&rollouts).services[0].tallies.is_empty());
    let number = rollouts.get("llm").unwrap().number;
    tally.record_sent(&TallyKey { number, ..key("chat", Release::New) });
    tally.put_back(late);
    assert_eq!(tally.take_report(&rollouts).services[0].tallies[0].answers.sent, 1);
}

#[test]
fn a_rollout_that_has_ended_is_not_reported() {
    let mut rollouts = in_progress();
    rollouts.step(&step(&rollouts, Stage::RolledBack));
    assert!(RouterTally::default().take_report(&rollouts).services.is_empty());
}

#[test]
fn a_report_takes_few_bytes() {
    let mut tally = RouterTally::default();
    for route in ["long-summary", "short-answer", "next-hint"] {
        for release in [Release::New, Release::Old] {
            for ms in [40.0, 80.0, 160.0, 320.0] {
                tally.record_sent(&key(route, release));
                tally.record_answered(&key(route, release), ms);
            }
        }
    }
    let bytes = postcard::to_stdvec(&tally.take_report(&in_progress())).unwrap().len();
    let idle = postcard::to_stdvec(&tally.take_report(&in_progress())).unwrap().len();
    println!("a report of three routes takes {bytes} bytes, an empty one {idle}");
    assert!(bytes <= 256 && idle <= 16, "{bytes}, {idle}");
}
