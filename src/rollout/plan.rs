//! What follows for a roll-out: a part to grant, or its next stage.

use super::model::Stage;
use super::rules::RolloutRules;

/// Part of the allowed share that the new release gets until it is judged: the rest is
/// for what is let through while it gets more.
const CANARY_OF_SHARE: f64 = 0.55;
/// Milliseconds kept free before the deadline: for the last step to be agreed on and
/// heard, and for an order that was sent twice.
const LAST_STEP_MS: u64 = 500;
/// Part of the time in which old releases end what they run, and the least and most
/// milliseconds of it: most streams end within seconds.
const END_PART: f64 = 0.4;
const LEAST_END_MS: u64 = 3_000;
const MOST_END_MS: u64 = 8_000;
/// Parts that follow the canary's before all requests go over, in thousandths: each
/// doubles the load, so that a release that fails under load shows it on few.
const RAMP: [u32; 3] = [120, 250, 500];
/// Milliseconds of each: time for its answers to be reported.
const RAMP_STEP_MS: u64 = 250;
/// Milliseconds until what is decided has taken effect on every router.
const EFFECT_MS: u64 = 500;
/// Answers of the new release without which it is not judged good.
const LEAST_ANSWERS: u64 = 30;
/// Part of the old releases' places that the new one must have before it gets all.
const LEAST_SLOTS_PART: f64 = 0.8;
/// Milliseconds before the deadline from which on it is not waited for.
const SLOTS_BY_MS: u64 = 2_500;
/// Evidence, as part of that which reject_at, at which no more is granted. A canary that
/// has had all that a bad release may get is rejected by it.
pub(super) const SUSPICIOUS: f64 = 0.7;
/// Part of the time in which a bad release must be stopped for which one may be
/// suspicious: what is neither cleared nor rejected by then gets nothing more.
const SUSPICIOUS_FOR: f64 = 0.5;
/// Milliseconds for which all must go to the new release before old ones count as
/// empty: grants of before have ended by then.
const LEAST_SHIFTING_MS: u64 = 800;

/// Milliseconds for which a host must have counted before it calls a service idle: a
/// leader that took over a moment ago has seen little of a busy one.
const RATE_KNOWN_MS: u64 = 2_000;
/// Milliseconds without an old endpoint after which none is left: a host that has just
/// started may have heard of the new ones first, and endpoints say that they are there
/// every second or so.
const WITHOUT_OLD_MS: u64 = 3_000;

/// All that a decision looks at.
#[derive(Clone, Debug, PartialEq)]
pub struct Situation {
    /// The agreed stage.
    pub stage: Stage,
    /// Milliseconds since the order.
    pub elapsed_ms: u64,
    /// Milliseconds in which it must be decided.
    pub duration_ms: u64,
    /// Milliseconds since the stage was heard of here.
    pub in_stage_ms: u64,
    /// Milliseconds since the part granted now was granted first.
    pub at_part_ms: u64,
    /// The part granted now, in thousandths.
    pub permille: u32,
    /// What speaks against the release, as part of what reject_at it.
    pub level: f64,
    /// Milliseconds for which it has been suspicious without a break.
    pub suspicious_ms: u64,
    /// Answers of the new release.
    pub new_answers: u64,
    /// Milliseconds since this host began to count.
    pub counted_ms: u64,
    /// Those to the new release, and those that it may have got before.
    pub new_sent: f64,
    /// Requests to the service a millisecond.
    pub sent_per_ms: f64,
    /// Places of the new release's endpoints that take work.
    pub new_slots: u32,
    /// Places of the old ones' that take work.
    pub old_slots: u32,
    /// Milliseconds for which no endpoint of an old release has been known here, working
    /// or leaving; 0 while one is.
    pub without_old_ms: u64,
    /// Whether most live routers were heard lately: if not, that few requests were seen
    /// does not say that there are few.
    pub has_heard: bool,
    /// Whether every live router lately said that it runs nothing on old releases.
    pub is_old_empty: bool,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Routers may send this part, in thousandths; 0 is nothing.
    Grant(u32),
    /// The next stage, and why.
    Step(Stage, Why),
}

/// Why a stage follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The release is bad.
    Bad,
    /// It is suspicious and has had all that a bad one may get.
    SuspiciousTooLong,
    /// It was judged good.
    Good,
    /// There was nobody to judge it by, nor to suffer.
    Idle,
    /// No old endpoint is left.
    NoOldLeft,
    /// Nothing runs on old releases any more.
    OldEmpty,
    /// The time is over.
    TimeOver,
    /// Too few of its answers were seen in time.
    NotJudged,
}

impl Situation {
    fn left_ms(&self) -> u64 {
        self.duration_ms.saturating_sub(self.elapsed_ms)
    }

    /// The part of all requests until the deadline that the new release will have had
    /// once a decision of now has taken effect.
    fn exposure(&self) -> f64 {
        let in_effect = EFFECT_MS as f64 * self.sent_per_ms * f64::from(self.permille) / 1_000.0;
        (self.new_sent + in_effect) / self.sent_until_deadline().max(1.0)
    }

    fn sent_until_deadline(&self) -> f64 {
        self.sent_per_ms * self.duration_ms as f64
    }

    fn is_over_bound(&self, rules: &RolloutRules) -> bool {
        let slack = f64::from(rules.canary_slack) / self.sent_until_deadline().max(1.0);
        self.exposure() > rules.canary_share + slack
    }

    /// Whether old endpoints are known to be gone, and not only unheard since a start.
    fn is_without_old(&self) -> bool {
        self.without_old_ms >= WITHOUT_OLD_MS
    }

    /// Whether a service has so few requests that its new release could not have had
    /// enough answers by now.
    fn is_idle(&self, canary: u32) -> bool {
        let sent = self.sent_per_ms * self.elapsed_ms as f64;
        let could_have = sent * f64::from(canary) / 1_000.0;
        let is_known = self.has_heard && self.counted_ms >= RATE_KNOWN_MS;
        is_known && could_have < LEAST_ANSWERS as f64
    }
}

/// The part of the requests with which a roll-out begins, in thousandths.
pub fn canary_permille(rules: &RolloutRules) -> u32 {
    (rules.canary_share * CANARY_OF_SHARE * 1_000.0) as u32
}

/// What follows in this situation.
pub fn decide(now: &Situation, rules: &RolloutRules) -> Decision {
    if now.stage.is_final() {
        return Decision::Grant(0);
    }
    if now.level >= 1.0 {
        return Decision::Step(Stage::RolledBack, Why::Bad);
    }
    let is_suspicious = now.level >= SUSPICIOUS;
    let is_last_moment = now.left_ms() <= LAST_STEP_MS;
    let is_long = now.suspicious_ms as f64 >= SUSPICIOUS_FOR * rules.rollback_ms as f64;
    // Once all goes over, any release is over the bound, and evidence comes within moments.
    let is_over = now.stage == Stage::Canary && now.is_over_bound(rules);
    if is_suspicious && (is_long || is_over || is_last_moment) {
        return Decision::Step(Stage::RolledBack, Why::SuspiciousTooLong);
    }
    match now.stage {
        Stage::Canary => decide_canary(now, rules, is_suspicious, is_last_moment),
        _ => decide_shifting(now, is_suspicious, is_last_moment),
    }
}

fn decide_canary(
    now: &Situation,
    rules: &RolloutRules,
    is_suspicious: bool,
    is_last_moment: bool,
) -> Decision {
    if now.new_slots > 0 && now.is_without_old() {
        return Decision::Step(Stage::Done, Why::NoOldLeft);
    }
    if is_last_moment && now.without_old_ms > 0 {
        // Rolled back, nothing might be left to serve callers.
        return Decision::Grant(now.permille);
    }
    if is_last_moment {
        return Decision::Step(Stage::RolledBack, Why::NotJudged);
    }
    if now.new_slots == 0 {
        return Decision::Grant(0);
    }
    let canary = canary_permille(rules);
    let held = now.permille.max(canary);
    let has_slots = f64::from(now.new_slots) >= LEAST_SLOTS_PART * f64::from(now.old_slots)
        || now.left_ms() <= SLOTS_BY_MS;
    let is_judged = now.new_answers >= LEAST_ANSWERS || now.is_idle(canary);
    let is_time = now.left_ms() <= ramp_and_end_ms(now.duration_ms);
    if now.permille < canary || is_suspicious || !is_time || !is_judged || !has_slots {
        return Decision::Grant(held);
    }
    if now.at_part_ms < RAMP_STEP_MS {
        return Decision::Grant(held);
    }
    match RAMP.iter().find(|part| **part > held) {
        Some(part) => Decision::Grant(*part),
        None if now.is_idle(canary) => Decision::Step(Stage::Shifting, Why::Idle),
        None => Decision::Step(Stage::Shifting, Why::Good),
    }
}

/// Milliseconds before the deadline at which the release gets more than the canary's
/// part.
fn ramp_and_end_ms(duration_ms: u64) -> u64 {
    let end = (duration_ms as f64 * END_PART) as u64;
    end.clamp(LEAST_END_MS, MOST_END_MS) + LAST_STEP_MS
}

fn decide_shifting(now: &Situation, is_suspicious: bool, is_last_moment: bool) -> Decision {
    if is_last_moment {
        return match now.new_slots {
            0 => Decision::Step(Stage::RolledBack, Why::NotJudged),
            _ => Decision::Step(Stage::Done, Why::TimeOver),
        };
    }
    let is_settled = now.in_stage_ms >= LEAST_SHIFTING_MS && !is_suspicious && now.new_slots > 0;
    if is_settled && now.is_without_old() {
        return Decision::Step(Stage::Done, Why::NoOldLeft);
    }
    if is_settled && now.is_old_empty {
        return Decision::Step(Stage::Done, Why::OldEmpty);
    }
    Decision::Grant(if now.new_slots > 0 { 1_000 } else { 0 })
}
