//! Decides a rollout's next step: the fraction to grant, or the next stage.

use super::model::Stage;
use super::rules::RolloutRules;

/// Fraction of the allowed share that the new release receives until it is judged. The rest
/// covers bad answers that pass while its traffic is increased.
const CANARY_FRACTION_OF_SHARE: f64 = 0.55;
/// Milliseconds reserved before the deadline for agreement on the last step and its
/// propagation, and for an order that was sent twice.
const FINAL_STEP_MARGIN_MS: u64 = 500;
/// Fraction of the rollout's duration in which old releases finish their requests, and its
/// bounds in milliseconds: most streams end within seconds.
const DRAIN_FRACTION: f64 = 0.4;
const MIN_DRAIN_MS: u64 = 3_000;
const MAX_DRAIN_MS: u64 = 8_000;
/// Fractions granted after the canary's and before all requests, in thousandths. Each
/// roughly doubles the load, so that a release that fails under load affects few requests.
const RAMP_PERMILLE: [u32; 3] = [120, 250, 500];
/// Milliseconds at each of these fractions, so that its answers can be reported.
const RAMP_STEP_MS: u64 = 250;
/// Milliseconds until a decision has taken effect on every router.
const PROPAGATION_MS: u64 = 500;
/// Minimum answers of the new release to judge it good.
const MIN_ANSWERS: u64 = 30;
/// Minimum ratio of the new release's slots to those of the old releases before it receives
/// more than the canary's fraction.
const MIN_SLOTS_RATIO: f64 = 0.8;
/// Milliseconds before the deadline from which on the rollout no longer waits for slots.
const SLOTS_WAIT_MARGIN_MS: u64 = 2_500;
/// Evidence, as a fraction of that which rejects a release, at which no larger fraction is
/// granted. A canary that has received its allowed share is rejected at this level.
pub(super) const SUSPICIOUS_LEVEL: f64 = 0.7;
/// Fraction of `rollback_ms` for which a release may stay suspicious. A release that is
/// neither cleared nor rejected by then is rolled back.
const SUSPICIOUS_TIME_FRACTION: f64 = 0.5;
/// Milliseconds for which all requests must go to the new release before the old releases
/// count as empty: earlier grants have expired by then.
const MIN_SHIFTING_MS: u64 = 800;

/// Milliseconds for which a host must have counted requests before it considers a service
/// idle: a leader that has just taken over has few reports even of a busy service.
const MIN_COUNTED_MS: u64 = 2_000;
/// Milliseconds without a recorded old endpoint after which none counts as left: a host that
/// has just started may receive the registrations of new endpoints first, and endpoints
/// register about once a second.
const OLD_GONE_AFTER_MS: u64 = 3_000;

/// Inputs of a decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Situation {
    /// The agreed stage.
    pub stage: Stage,
    /// Milliseconds since the order.
    pub elapsed_ms: u64,
    /// Milliseconds from the order to its deadline.
    pub duration_ms: u64,
    /// Milliseconds since this host learned of the stage.
    pub in_stage_ms: u64,
    /// Milliseconds since the current fraction was first granted.
    pub at_permille_ms: u64,
    /// The fraction granted now, in thousandths.
    pub permille: u32,
    /// Evidence against the release, as a fraction of that which rejects it.
    pub level: f64,
    /// Milliseconds for which it has been suspicious without interruption.
    pub suspicious_ms: u64,
    /// Answers of the new release, since this host began to count.
    pub new_answers: u64,
    /// Milliseconds since this host began to count requests.
    pub counted_ms: u64,
    /// Requests to the new release: those counted, and an estimate of those before.
    pub new_sent: f64,
    /// Requests to the service per millisecond.
    pub sent_per_ms: f64,
    /// Slots of the new release's endpoints that accept requests.
    pub new_slots: u32,
    /// Slots of the old releases' endpoints that accept requests.
    pub old_slots: u32,
    /// Milliseconds for which no endpoint of an old release, working or leaving, has been
    /// recorded at this host; 0 while one is.
    pub without_old_ms: u64,
    /// Whether most live routers have reported recently. Otherwise a low number of counted
    /// requests does not mean that there are few.
    pub has_recent_reports: bool,
    /// Whether every live router has recently reported no open requests on old releases.
    pub is_old_empty: bool,
}

/// Next step of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Routers may send this fraction to the new release, in thousandths; 0 is nothing.
    Grant(u32),
    /// The rollout enters this stage, for this reason.
    Step(Stage, StepReason),
}

/// Reason for a change of stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepReason {
    /// The release is bad.
    Bad,
    /// It stayed suspicious for too long, or until its share or the time was used up.
    SuspiciousTooLong,
    /// It was judged good.
    Good,
    /// The service has too few requests to judge the release by, or to be harmed by it.
    Idle,
    /// No endpoint of an old release is left.
    NoOldLeft,
    /// No requests run on old releases any more.
    OldEmpty,
    /// The deadline is near.
    TimeOver,
    /// The release could not be judged in time.
    NotJudged,
}

impl Situation {
    fn remaining_ms(&self) -> u64 {
        self.duration_ms.saturating_sub(self.elapsed_ms)
    }

    /// Fraction of all requests until the deadline that the new release will have received
    /// once a decision made now has taken effect.
    fn exposure(&self) -> f64 {
        let until_effect =
            PROPAGATION_MS as f64 * self.sent_per_ms * f64::from(self.permille) / 1_000.0;
        (self.new_sent + until_effect) / self.sent_until_deadline().max(1.0)
    }

    fn sent_until_deadline(&self) -> f64 {
        self.sent_per_ms * self.duration_ms as f64
    }

    fn exceeds_share(&self, rules: &RolloutRules) -> bool {
        let slack = f64::from(rules.canary_slack) / self.sent_until_deadline().max(1.0);
        self.exposure() > rules.canary_share + slack
    }

    /// Whether the old endpoints are gone, and not just unknown since this host started.
    fn is_old_gone(&self) -> bool {
        self.without_old_ms >= OLD_GONE_AFTER_MS
    }

    /// Whether the service has so few requests that at the canary's fraction the new release
    /// could not have given enough answers by now.
    fn is_idle(&self, canary: u32) -> bool {
        let sent = self.sent_per_ms * self.elapsed_ms as f64;
        let expected_answers = sent * f64::from(canary) / 1_000.0;
        let is_rate_known = self.has_recent_reports && self.counted_ms >= MIN_COUNTED_MS;
        is_rate_known && expected_answers < MIN_ANSWERS as f64
    }
}

/// Fraction of the requests that a rollout begins with, in thousandths.
pub fn canary_permille(rules: &RolloutRules) -> u32 {
    (rules.canary_share * CANARY_FRACTION_OF_SHARE * 1_000.0) as u32
}

/// Decides the next step.
pub fn decide(situation: &Situation, rules: &RolloutRules) -> Decision {
    if situation.stage.is_final() {
        return Decision::Grant(0);
    }
    if situation.level >= 1.0 {
        return Decision::Step(Stage::RolledBack, StepReason::Bad);
    }
    let is_suspicious = situation.level >= SUSPICIOUS_LEVEL;
    let is_deadline_near = situation.remaining_ms() <= FINAL_STEP_MARGIN_MS;
    let is_suspicious_too_long =
        situation.suspicious_ms as f64 >= SUSPICIOUS_TIME_FRACTION * rules.rollback_ms as f64;
    // In the shifting stage any release exceeds the share, and evidence arrives quickly.
    let is_share_exceeded = situation.stage == Stage::Canary && situation.exceeds_share(rules);
    if is_suspicious && (is_suspicious_too_long || is_share_exceeded || is_deadline_near) {
        return Decision::Step(Stage::RolledBack, StepReason::SuspiciousTooLong);
    }
    match situation.stage {
        Stage::Canary => decide_canary(situation, rules, is_suspicious, is_deadline_near),
        _ => decide_shifting(situation, is_suspicious, is_deadline_near),
    }
}

fn decide_canary(
    situation: &Situation,
    rules: &RolloutRules,
    is_suspicious: bool,
    is_deadline_near: bool,
) -> Decision {
    if situation.new_slots > 0 && situation.is_old_gone() {
        return Decision::Step(Stage::Done, StepReason::NoOldLeft);
    }
    if is_deadline_near && situation.without_old_ms > 0 {
        // After a rollback, no endpoint might be left to serve callers.
        return Decision::Grant(situation.permille);
    }
    if is_deadline_near {
        return Decision::Step(Stage::RolledBack, StepReason::NotJudged);
    }
    if situation.new_slots == 0 {
        return Decision::Grant(0);
    }
    let canary = canary_permille(rules);
    let current = situation.permille.max(canary);
    let has_slots = f64::from(situation.new_slots)
        >= MIN_SLOTS_RATIO * f64::from(situation.old_slots)
        || situation.remaining_ms() <= SLOTS_WAIT_MARGIN_MS;
    let is_judged = situation.new_answers >= MIN_ANSWERS || situation.is_idle(canary);
    let is_ramp_due = situation.remaining_ms() <= ramp_and_drain_ms(situation.duration_ms);
    if situation.permille < canary || is_suspicious || !is_ramp_due || !is_judged || !has_slots {
        return Decision::Grant(current);
    }
    if situation.at_permille_ms < RAMP_STEP_MS {
        return Decision::Grant(current);
    }
    match RAMP_PERMILLE.iter().find(|permille| **permille > current) {
        Some(permille) => Decision::Grant(*permille),
        None if situation.is_idle(canary) => Decision::Step(Stage::Shifting, StepReason::Idle),
        None => Decision::Step(Stage::Shifting, StepReason::Good),
    }
}

/// Milliseconds before the deadline from which on the release receives more than the
/// canary's fraction.
fn ramp_and_drain_ms(duration_ms: u64) -> u64 {
    let drain = (duration_ms as f64 * DRAIN_FRACTION) as u64;
    drain.clamp(MIN_DRAIN_MS, MAX_DRAIN_MS) + FINAL_STEP_MARGIN_MS
}

fn decide_shifting(situation: &Situation, is_suspicious: bool, is_deadline_near: bool) -> Decision {
    if is_deadline_near {
        return match situation.new_slots {
            0 => Decision::Step(Stage::RolledBack, StepReason::NotJudged),
            _ => Decision::Step(Stage::Done, StepReason::TimeOver),
        };
    }
    let is_settled =
        situation.in_stage_ms >= MIN_SHIFTING_MS && !is_suspicious && situation.new_slots > 0;
    if is_settled && situation.is_old_gone() {
        return Decision::Step(Stage::Done, StepReason::NoOldLeft);
    }
    if is_settled && situation.is_old_empty {
        return Decision::Step(Stage::Done, StepReason::OldEmpty);
    }
    Decision::Grant(if situation.new_slots > 0 { 1_000 } else { 0 })
}
