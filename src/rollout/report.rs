//! What routers and the leader tell each other while a release is rolled out.

use serde::{Deserialize, Serialize};

/// What routers may send to the releases that are rolled out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// The leader's term: of two leaders the one with the higher term is believed.
    pub term: u64,
    /// Milliseconds for which the grants hold from their arrival on.
    pub valid_ms: u64,
    /// One for each roll-out under way.
    pub services: Vec<Grant>,
}

/// A part of a service's requests for its new release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The service.
    pub service: String,
    /// The number of its roll-out.
    pub number: u64,
    /// The part, in thousandths.
    pub permille: u32,
    /// Of the release's endpoints those up to here in the order of
    /// [`crate::eligibility::order_of`].
    pub highest_order: u32,
}

/// Which releases an answer counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Release {
    /// The one that is rolled out.
    New,
    /// Any other of the service.
    Old,
}

/// What a router saw since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// One for each roll-out under way.
    pub services: Vec<ServiceReport>,
}

/// What a router saw of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: String,
    /// The number of its roll-out.
    pub number: u64,
    /// Requests of this router that run on old releases now.
    pub open_on_old: u32,
    /// Answers by route and release; those without any are left out.
    pub tallies: Vec<RouteTally>,
}

/// Answers to the requests of one route by one side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// The route's name.
    pub route: String,
    /// Who answered.
    pub release: Release,
    /// How.
    pub answers: AnswerCounts,
}

/// How many answers failed, and how long the others took.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Requests sent there, answered or not.
    pub sent: u32,
    /// Answers that were failures, broke off or never came.
    pub failed: u32,
    /// Answers that began well, less those that broke off later: below 0 where more of
    /// earlier ones broke off than began.
    pub answered: i32,
    /// Times to the first byte of those by endpoints that are warm: `(bucket, answers)`,
    /// where the bucket is that of [`AnswerCounts::bucket`].
    pub first_byte_times: Vec<(u8, u32)>,
}

/// Buckets of times for each doubling: steps of 19 %, well below the factor of two and
/// more by which a slow release differs.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

impl AnswerCounts {
    /// The bucket of a time in milliseconds.
    pub fn bucket(ms: f64) -> u8 {
        (ms.max(1.0).log2() * BUCKETS_PER_DOUBLING) as u8
    }

    /// An answer that began well took so many milliseconds.
    pub fn add(&mut self, ms: f64) {
        self.answered += 1;
        self.add_times(AnswerCounts::bucket(ms), 1);
    }

    /// Answers that failed and that did not.
    pub fn ended(&self) -> u32 {
        self.failed + self.answered.max(0) as u32
    }

    /// Adds what another counted.
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

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.sent == 0 && self.failed == 0 && self.answered == 0 && self.first_byte_times.is_empty()
    }
}
