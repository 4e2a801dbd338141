mod client;

use proptest::prelude::*;

use super::*;
use crate::config::CustomerId;
use crate::wire::HostId;

fn claim(seq: u64, key: &str) -> Claim {
    Claim {
        customer: CustomerId(1),
        key: key.into(),
        fingerprint: 7,
        attempt: Attempt { router: HostId(1), incarnation: 1, seq },
    }
}

fn answer(text: &str) -> RecordedAnswer {
    RecordedAnswer { status: 200, content_type: None, body: text.as_bytes().to_vec() }
}

#[test]
fn a_second_claim_gets_the_recorded_answer() {
    let mut table = ClaimTable::default();
    assert_eq!(table.claim(0, &claim(1, "k")), ClaimDecision::Granted);
    assert_eq!(table.claim(1, &claim(2, "k")), ClaimDecision::Running(claim(1, "k").attempt));
    table.settle(2, &claim(1, "k"), Settlement::Answered(Some(answer("seat 4"))));
    assert_eq!(table.claim(3, &claim(2, "k")), ClaimDecision::Answered(Some(answer("seat 4"))));
}

#[test]
fn a_claim_resent_by_its_own_attempt_is_granted_again() {
    let mut table = ClaimTable::default();
    assert_eq!(table.claim(0, &claim(1, "k")), ClaimDecision::Granted);
    assert_eq!(table.claim(0, &claim(1, "k")), ClaimDecision::Granted);
}

#[test]
fn only_the_holder_can_release_a_key() {
    let mut table = ClaimTable::default();
    table.claim(0, &claim(1, "k"));
    table.settle(0, &claim(2, "k"), Settlement::NotRun);
    assert_eq!(table.claim(0, &claim(2, "k")), ClaimDecision::Running(claim(1, "k").attempt));
    table.settle(0, &claim(1, "k"), Settlement::NotRun);
    assert_eq!(table.claim(0, &claim(2, "k")), ClaimDecision::Granted);
}

#[test]
fn a_key_used_for_another_call_is_refused() {
    let mut table = ClaimTable::default();
    table.claim(0, &claim(1, "k"));
    let other = Claim { fingerprint: 8, ..claim(2, "k") };
    assert_eq!(table.claim(0, &other), ClaimDecision::OtherCall);
}

#[test]
fn answers_expire_before_claims() {
    let mut table = ClaimTable::default();
    table.claim(0, &claim(1, "k"));
    table.settle(0, &claim(1, "k"), Settlement::Answered(Some(answer("a"))));
    assert_eq!(table.claim(ANSWER_RETENTION_MS, &claim(2, "k")), ClaimDecision::Answered(None));
    assert_eq!(table.claim(CLAIM_RETENTION_MS, &claim(2, "k")), ClaimDecision::Granted);
}

#[test]
fn a_clock_that_runs_backwards_releases_nothing() {
    let mut table = ClaimTable::default();
    table.claim(CLAIM_RETENTION_MS, &claim(1, "k"));
    table.claim(0, &claim(5, "other"));
    assert_ne!(table.claim(CLAIM_RETENTION_MS + 1, &claim(2, "k")), ClaimDecision::Granted);
}

#[derive(Clone, Debug)]
enum Step {
    Claim { attempt: u64, key: u8 },
    Settle { attempt: u64, key: u8, outcome: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u64..8, 0u8..3).prop_map(|(attempt, key)| Step::Claim { attempt, key }),
        (0u64..8, 0u8..3, 0u8..3).prop_map(|(attempt, key, outcome)| Step::Settle {
            attempt,
            key,
            outcome
        }),
    ]
}

proptest! {
    #![proptest_config(crate::testing::property(128))]

    /// With duplicated, reordered and delayed claims and settlements, a key is granted to a
    /// second attempt only after the first has reported that the call did not run.
    #[test]
    fn a_key_is_granted_once_unless_released(steps in proptest::collection::vec(step(), 0..80)) {
        let mut table = ClaimTable::default();
        let mut holders: [Option<u64>; 3] = [None; 3];
        for step in steps {
            match step {
                Step::Claim { attempt, key } => {
                    let granted = table.claim(0, &claim(attempt, &key.to_string()));
                    if granted == ClaimDecision::Granted {
                        let previous = holders[key as usize].replace(attempt);
                        prop_assert!(previous.is_none() || previous == Some(attempt));
                    }
                }
                Step::Settle { attempt, key, outcome } => {
                    let settlement = match outcome {
                        0 => Settlement::NotRun,
                        1 => Settlement::Unknown,
                        _ => Settlement::Answered(None),
                    };
                    let releases = settlement == Settlement::NotRun;
                    let before = table.clone();
                    table.settle(0, &claim(attempt, &key.to_string()), settlement);
                    if releases && table != before && holders[key as usize] == Some(attempt) {
                        holders[key as usize] = None;
                    }
                }
            }
        }
    }
}
