//! Splits one router's requests between the releases of a service, without I/O.
//!
//! Each router keeps to the granted fraction on its own, route by route: the remainder of one
//! request carries over to the next (error diffusion), starting at a random offset. Thus the
//! sum over many routers with few requests each is right from the first second on.

use std::collections::HashMap;

use super::model::{Rollout, Stage};
use super::report::{Grant, Release};
use crate::eligibility::VersionRule;

/// Grant, in thousandths, at which all requests go to the new release.
pub const ALL_PERMILLE: u32 = 1_000;
/// Requests to the new release by which a route may exceed its fraction to resume answers
/// there: fewer of its next requests go to the new release in return.
const MAX_REQUESTS_AHEAD: f64 = 1.0;

/// The release chosen for one request, and what restricts the choice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReleaseChoice {
    /// The number of the rollout that the release was drawn for, and the release.
    drawn: Option<(u64, Release)>,
    /// The number of the rollout whose release had no place for the request.
    no_place: Option<u64>,
    /// The release from which the caller has received part of the answer.
    bound: Option<String>,
}

impl ReleaseChoice {
    /// Records that the caller receives part of an answer of this release: only the same
    /// release may resume it.
    pub fn bind(&mut self, version: &str) {
        self.bound = Some(version.to_string());
    }

    /// Whether the caller has received part of an answer.
    pub fn is_bound(&self) -> bool {
        self.bound.is_some()
    }

    /// Records that the new release failed the request: it goes to an old release, unless all
    /// requests go to the new one.
    pub fn record_failure_at_new(&mut self, number: u64) {
        self.drawn = Some((number, Release::Old));
    }

    /// Records that the new release has no place for the request. Returns whether an old
    /// release may have one.
    pub fn record_no_place_at_new(&mut self, number: u64) -> bool {
        self.bound.is_none() && self.no_place.replace(number) != Some(number)
    }
}

/// Reason for the current split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SplitReason {
    /// The service has no rollout.
    NoRollout,
    /// The leader granted a fraction.
    Granted,
    /// No grant is valid now.
    NoGrant,
    /// No endpoint of an old release accepts requests.
    NoOther,
    /// The rollout has ended.
    Ended,
}

/// State of a service that a router splits requests by.
pub struct RouterState<'a> {
    /// The latest rollout of the service.
    pub rollout: Option<&'a Rollout>,
    /// The leader's grant, if one is valid.
    pub grant: Option<&'a Grant>,
    /// Whether an endpoint of an old release accepts requests and could run the request.
    pub others_accept_requests: bool,
}

/// Remainders of the routes of a service during one rollout.
#[derive(Clone, Debug)]
struct RouteRemainders {
    number: u64,
    /// By route: the remainder that the next request adds its fraction to. A request that
    /// brings it to 1 or more goes to the new release.
    by_route: HashMap<String, f64>,
}

/// Splits this router's requests between releases.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplitter {
    services: HashMap<String, RouteRemainders>,
}

impl TrafficSplitter {
    /// Which releases may run a request now, and why; no rule if no release may. `offset` is
    /// a random number from 0 to 1, the initial remainder of a new route.
    pub fn rule(
        &mut self,
        choice: &mut ReleaseChoice,
        route: &str,
        offset: f64,
        state: &RouterState<'_>,
    ) -> (Option<VersionRule>, SplitReason) {
        let Some(rollout) = state.rollout else {
            let rule = choice.bound.clone().map_or(VersionRule::Any, only_version);
            return (Some(rule), SplitReason::NoRollout);
        };
        let (rule, reason) = match rollout.stage {
            Stage::Canary | Stage::Shifting => {
                self.rule_in_progress(choice, route, offset, rollout, state)
            }
            // The endpoints of the old releases have been retired; a version that is started
            // later, by replacing endpoints without a rollout, may take any request.
            Stage::Done => (VersionRule::Any, SplitReason::Ended),
            Stage::RolledBack => (not_new(rollout), SplitReason::Ended),
        };
        (restrict_to_bound(rule, choice, rollout), reason)
    }

    fn rule_in_progress(
        &mut self,
        choice: &mut ReleaseChoice,
        route: &str,
        offset: f64,
        rollout: &Rollout,
        state: &RouterState<'_>,
    ) -> (VersionRule, SplitReason) {
        if !state.others_accept_requests {
            return (VersionRule::Any, SplitReason::NoOther);
        }
        let Some(grant) = state.grant else { return (not_new(rollout), SplitReason::NoGrant) };
        let rule = match self.choose_release(choice, route, offset, rollout, grant) {
            Release::New => VersionRule::Only {
                version: rollout.order.version.clone(),
                highest_order: grant.highest_order,
            },
            Release::Old => not_new(rollout),
        };
        (rule, SplitReason::Granted)
    }

    fn choose_release(
        &mut self,
        choice: &mut ReleaseChoice,
        route: &str,
        offset: f64,
        rollout: &Rollout,
        grant: &Grant,
    ) -> Release {
        if choice.bound.is_some() {
            return bound_release(choice, rollout);
        }
        if choice.no_place == Some(rollout.number) {
            return Release::Old;
        }
        if grant.permille >= ALL_PERMILLE {
            return Release::New;
        }
        if let Some((number, release)) = choice.drawn
            && number == rollout.number
        {
            return release;
        }
        let release = self.draw(route, offset, rollout, grant.permille);
        choice.drawn = Some((rollout.number, release));
        release
    }

    /// Draws the release of the next request of a route.
    fn draw(&mut self, route: &str, offset: f64, rollout: &Rollout, permille: u32) -> Release {
        let remainder = self.remainder(route, offset, rollout);
        *remainder += f64::from(permille) / f64::from(ALL_PERMILLE);
        if *remainder < 1.0 {
            return Release::Old;
        }
        *remainder -= 1.0;
        Release::New
    }

    /// Whether an answer may be resumed at its release. A resumption at the new release is
    /// charged to the route's next requests.
    pub fn try_resume(
        &mut self,
        choice: &ReleaseChoice,
        route: &str,
        offset: f64,
        state: &RouterState<'_>,
    ) -> bool {
        let Some(rollout) = state.rollout.filter(|r| !r.stage.is_final()) else { return true };
        let is_partial = state.grant.is_some_and(|grant| grant.permille < ALL_PERMILLE);
        if !is_partial || bound_release(choice, rollout) == Release::Old {
            return true;
        }
        let remainder = self.remainder(route, offset, rollout);
        let is_within = *remainder - 1.0 >= -MAX_REQUESTS_AHEAD;
        if is_within {
            *remainder -= 1.0;
        }
        is_within
    }

    fn remainder(&mut self, route: &str, offset: f64, rollout: &Rollout) -> &mut f64 {
        let service = rollout.order.service.as_str();
        let new = || RouteRemainders { number: rollout.number, by_route: HashMap::new() };
        let remainders = self.services.entry(service.to_string()).or_insert_with(new);
        if remainders.number != rollout.number {
            *remainders = new();
        }
        remainders.by_route.entry(route.to_string()).or_insert(offset)
    }
}

fn only_version(version: String) -> VersionRule {
    VersionRule::Only { version, highest_order: u32::MAX }
}

fn not_new(rollout: &Rollout) -> VersionRule {
    VersionRule::Not(rollout.order.version.clone())
}

/// The side of the release from which the caller has received part of the answer.
fn bound_release(choice: &ReleaseChoice, rollout: &Rollout) -> Release {
    match choice.bound.as_ref() == Some(&rollout.order.version) {
        true => Release::New,
        false => Release::Old,
    }
}

/// Restricts a rule to the release that the choice is bound to, if any; none if the rule
/// excludes that release.
fn restrict_to_bound(
    rule: VersionRule,
    choice: &ReleaseChoice,
    rollout: &Rollout,
) -> Option<VersionRule> {
    let Some(bound) = &choice.bound else { return Some(rule) };
    let is_new = *bound == rollout.order.version;
    match rule {
        VersionRule::Any => Some(only_version(bound.clone())),
        VersionRule::Not(_) => (!is_new).then(|| only_version(bound.clone())),
        VersionRule::Only { .. } => is_new.then_some(rule),
    }
}
