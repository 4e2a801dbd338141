//! Messages between routers and the leader while a release is rolled out.

use serde::{Deserialize, Serialize};

/// How much traffic routers may send to the new releases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// The leader's term: grants of a higher term replace those of a lower one.
    pub term: u64,
    /// Milliseconds for which the grants are valid after their arrival.
    pub valid_ms: u64,
    /// One for each rollout in progress.
    pub services: Vec<Grant>,
}

/// Permission to send a fraction of a service's requests to its new release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The service.
    pub service: String,
    /// The number of its rollout.
    pub number: u64,
    /// The fraction, in thousandths.
    pub permille: u32,
    /// Only endpoints of the release up to this position may be used, in the order of
    /// [`crate::eligibility::order_of`].
    pub highest_order: u32,
}

/// Side of a rollout that an endpoint or an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Release {
    /// The release that is rolled out.
    New,
    /// Any other release of the service.
    Old,
}

/// What a router observed since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// One for each rollout in progress.
    pub services: Vec<ServiceReport>,
}

/// What a router observed of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: String,
    /// The number of its rollout.
    pub number: u64,
    /// Requests of this router that are running on old releases now.
    pub open_on_old: u32,
    /// Answers by route and release; empty tallies are omitted.
    pub tallies: Vec<RouteTally>,
}

/// Answers of one side to the requests of one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// The route's name.
    pub route: String,
    /// The side that answered.
    pub release: Release,
    /// The answers.
    pub answers: AnswerCounts,
}

/// How many answers failed, and how long the others took to begin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Requests sent there, answered or not.
    pub sent: u32,
    /// Answers that were errors, ended early or never arrived.
    pub failed: u32,
    /// Answers that began successfully, less those that ended early later: negative if more
    /// answers counted in earlier reports ended early than began since.
    pub answered: i32,
    /// Times to the first byte of answers by warm endpoints, as `(bucket, answers)` with the
    /// buckets of [`AnswerCounts::bucket`].
    pub first_byte_times: Vec<(u8, u32)>,
}

/// Buckets per doubling of a time: steps of 19 %, well below the factor of two or more by
/// which a slow release differs.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

impl AnswerCounts {
    /// The bucket of a time in milliseconds.
    pub fn bucket(ms: f64) -> u8 {
        (ms.max(1.0).log2() * BUCKETS_PER_DOUBLING) as u8
    }

    /// Counts an answer that began successfully after `ms` milliseconds.
    pub fn add_answer(&mut self, ms: f64) {
        self.answered += 1;
        self.add_times(AnswerCounts::bucket(ms), 1);
    }

    /// Answers in total, failed or not.
    pub fn total(&self) -> u32 {
        self.failed + self.answered.max(0) as u32
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &AnswerCounts) {
        self.sent += other.sent;
        self.failed += other.failed;
        self.answered += other.answered;
        for (bucket, answers) in &other.first_byte_times {
            self.add_times(*bucket, *answers);
        }
    }

    fn add_times(&mut self, bucket: u8, answers: u32) {
        match self.first_byte_times.iter_mut().find(|(known, _)| *known == bucket) {
            Some((_, known)) => *known += answers,
            None => self.first_byte_times.push((bucket, answers)),
        }
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.sent == 0 && self.failed == 0 && self.answered == 0 && self.first_byte_times.is_empty()
    }
}
