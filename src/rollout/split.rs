//! How one router divides its requests between the releases of a service, without I/O.
//!
//! Each router keeps to the granted part by itself, route by route: what is left over of
//! one request counts for the next (error diffusion), from a random start on. So the sum
//! over many routers with few requests each is right from the first second on.

use std::collections::HashMap;

use super::model::{Rollout, Stage};
use super::report::{Grant, Release};
use crate::eligibility::VersionRule;

/// Thousandths from which on all requests go to the new release.
pub const ALL_PERMILLE: u32 = 1_000;
/// Sends to the new release that a route may be ahead of its part, for answers that go on
/// there: the next requests make up for it.
const MOST_AHEAD: f64 = 1.0;

/// What one request has drawn, and what became of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReleaseChoice {
    /// The roll-out that it was drawn for, and the release.
    drawn: Option<(u64, Release)>,
    /// The roll-out whose release had no place for it.
    no_place: Option<u64>,
    /// The release whose answer the caller has a piece of.
    bound: Option<String>,
}

impl ReleaseChoice {
    /// The caller has a piece of an answer of this release: no other may go on with it.
    pub fn bind(&mut self, version: &str) {
        self.bound = Some(version.to_string());
    }

    /// Whether the caller has a piece of an answer.
    pub fn is_bound(&self) -> bool {
        self.bound.is_some()
    }

    /// The new release failed it: unless all go there, it goes to another.
    pub fn record_failure_at_new(&mut self, number: u64) {
        self.drawn = Some((number, Release::Old));
    }

    /// The new release has no place for it. Returns whether another may have one.
    pub fn record_no_place_at_new(&mut self, number: u64) -> bool {
        self.bound.is_none() && self.no_place.replace(number) != Some(number)
    }
}

/// Why requests go to the releases that they go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SplitReason {
    /// Nothing is rolled out.
    NoRollout,
    /// The leader granted a part.
    Granted,
    /// No grant holds now.
    NoGrant,
    /// No endpoint of another release takes work.
    NoOther,
    /// The roll-out has ended.
    Ended,
}

/// What a router knows when it sends a request of a service.
pub struct RouterState<'a> {
    /// The newest roll-out of the service.
    pub rollout: Option<&'a Rollout>,
    /// What holds of the leader's grants.
    pub grant: Option<&'a Grant>,
    /// Whether an endpoint of another release takes work that could run the request.
    pub others_take_work: bool,
}

/// The routes of the roll-out that a service is in.
#[derive(Clone, Debug)]
struct Shares {
    number: u64,
    /// What each route's next request starts from; from 1 on it goes to the new release.
    left_over: HashMap<String, f64>,
}

/// How this router divides its requests.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplitter {
    services: HashMap<String, Shares>,
}

impl TrafficSplitter {
    /// Which releases may run a request now; none where no release may. `offset` is a
    /// random number from 0 to 1, from which a route starts that is new.
    pub fn rule(
        &mut self,
        turn: &mut ReleaseChoice,
        route: &str,
        offset: f64,
        situation: &RouterState<'_>,
    ) -> (Option<VersionRule>, SplitReason) {
        let Some(rollout) = situation.rollout else {
            let rule = turn.bound.clone().map_or(VersionRule::Any, only);
            return (Some(rule), SplitReason::NoRollout);
        };
        let (rule, cause) = match rollout.stage {
            Stage::Canary | Stage::Shifting => {
                self.under_way(turn, route, offset, rollout, situation)
            }
            // The endpoints of the old releases have been retired; another that comes
            // later, in an ordinary replacement, is as good as any.
            Stage::Done => (VersionRule::Any, SplitReason::Ended),
            Stage::RolledBack => (not(rollout), SplitReason::Ended),
        };
        (same_release(rule, turn, rollout), cause)
    }

    fn under_way(
        &mut self,
        turn: &mut ReleaseChoice,
        route: &str,
        offset: f64,
        rollout: &Rollout,
        situation: &RouterState<'_>,
    ) -> (VersionRule, SplitReason) {
        if !situation.others_take_work {
            return (VersionRule::Any, SplitReason::NoOther);
        }
        let Some(grant) = situation.grant else { return (not(rollout), SplitReason::NoGrant) };
        let rule = match self.side(turn, route, offset, rollout, grant) {
            Release::New => VersionRule::Only {
                version: rollout.order.version.clone(),
                highest_order: grant.highest_order,
            },
            Release::Old => not(rollout),
        };
        (rule, SplitReason::Granted)
    }

    fn side(
        &mut self,
        turn: &mut ReleaseChoice,
        route: &str,
        offset: f64,
        rollout: &Rollout,
        grant: &Grant,
    ) -> Release {
        if turn.bound.is_some() {
            return bound_side(turn, rollout);
        }
        if turn.no_place == Some(rollout.number) {
            return Release::Old;
        }
        if grant.permille >= ALL_PERMILLE {
            return Release::New;
        }
        if let Some((number, release)) = turn.drawn
            && number == rollout.number
        {
            return release;
        }
        let release = self.draw(route, offset, rollout, grant.permille);
        turn.drawn = Some((rollout.number, release));
        release
    }

    /// The next request of a route.
    fn draw(&mut self, route: &str, offset: f64, rollout: &Rollout, permille: u32) -> Release {
        let left_over = self.left_over(route, offset, rollout);
        *left_over += f64::from(permille) / f64::from(ALL_PERMILLE);
        if *left_over < 1.0 {
            return Release::Old;
        }
        *left_over -= 1.0;
        Release::New
    }

    /// Whether an answer may go on at its release: what goes to the new one beyond its
    /// part is taken off the route's next requests.
    pub fn try_resume(
        &mut self,
        turn: &ReleaseChoice,
        route: &str,
        offset: f64,
        situation: &RouterState<'_>,
    ) -> bool {
        let Some(rollout) = situation.rollout.filter(|r| !r.stage.is_final()) else { return true };
        let is_part = situation.grant.is_some_and(|grant| grant.permille < ALL_PERMILLE);
        if !is_part || bound_side(turn, rollout) == Release::Old {
            return true;
        }
        let left_over = self.left_over(route, offset, rollout);
        let is_within = *left_over - 1.0 >= -MOST_AHEAD;
        if is_within {
            *left_over -= 1.0;
        }
        is_within
    }

    fn left_over(&mut self, route: &str, offset: f64, rollout: &Rollout) -> &mut f64 {
        let service = rollout.order.service.as_str();
        let new = || Shares { number: rollout.number, left_over: HashMap::new() };
        let shares = self.services.entry(service.to_string()).or_insert_with(new);
        if shares.number != rollout.number {
            *shares = new();
        }
        shares.left_over.entry(route.to_string()).or_insert(offset)
    }
}

fn only(version: String) -> VersionRule {
    VersionRule::Only { version, highest_order: u32::MAX }
}

fn not(rollout: &Rollout) -> VersionRule {
    VersionRule::Not(rollout.order.version.clone())
}

/// The side of the release whose answer the caller has a piece of.
fn bound_side(turn: &ReleaseChoice, rollout: &Rollout) -> Release {
    match turn.bound.as_ref() == Some(&rollout.order.version) {
        true => Release::New,
        false => Release::Old,
    }
}

/// What is left of a rule for an answer of which the caller has a piece.
fn same_release(rule: VersionRule, turn: &ReleaseChoice, rollout: &Rollout) -> Option<VersionRule> {
    let Some(bound) = &turn.bound else { return Some(rule) };
    let is_new = *bound == rollout.order.version;
    match rule {
        VersionRule::Any => Some(only(bound.clone())),
        VersionRule::Not(_) => (!is_new).then(|| only(bound.clone())),
        VersionRule::Only { .. } => is_new.then_some(rule),
    }
}
