//! The record of one endpoint, and how updates are merged into it.

use std::cmp::Ordering;

use super::continuation::Continuation;
use super::replaced_releases::ReplacedReleases;
use super::{EndpointState, Origin, Registration};

/// Time for which an endpoint counts as cold after its data hall was restored, in
/// milliseconds: two of its heartbeats, which come every 1.2 s on the platform.
pub(super) const RESTORED_WARMUP_MS: u64 = 2_500;
/// Heartbeats after which an endpoint's report that it is warm is trusted again: the first
/// may have been sent before its data hall was restored.
const WARMTH_TRUSTED_AFTER_HEARTBEATS: u64 = 2;
/// How far a heartbeat of a release that was never recorded may be behind the recorded one
/// without being that of other software that counts its heartbeats anew.
const MAX_LAG_OF_LATE_HEARTBEAT: u64 = 4;

/// What was recorded of a start before an end arrived that names none.
#[derive(Clone, Copy, Debug)]
struct EndedStart {
    started_at_ms: u64,
    /// The highest sequence number recorded of it.
    sequence: u64,
    end_is_certain: bool,
}

/// What a heartbeat of another release than the recorded one shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherRelease {
    /// The software was replaced and goes on counting.
    Newer,
    /// The software was replaced and counts its heartbeats anew.
    RestartInPlace,
    /// The software before has sent it.
    Late,
    /// Either may have sent it: only its state counts, which moves forward.
    Unclear,
}

/// An endpoint that has registered or was reported by another process.
#[derive(Clone, Debug)]
pub(super) struct EndpointRecord {
    /// The current registration, merged from all updates.
    pub registration: Registration,
    /// Number of its last change.
    pub change: u64,
    /// Whether the endpoint itself sent that change to this process.
    pub direct: bool,
    /// The service in whose list of ready endpoints it is.
    pub listed_under: Option<String>,
    /// Sequence number from which its reported warm-up is trusted: an earlier heartbeat may
    /// have been in flight since before its data hall was restored.
    warmth_trusted_from: u64,
    /// Heartbeats received here from a start since it was recorded as ended or replaced.
    continuation: Option<Continuation>,
    /// Releases that this start ran before.
    replaced_releases: ReplacedReleases,
    /// The start that was recorded when an end arrived that names none.
    ended_start: Option<EndedStart>,
    /// Whether this start was reported as leaving.
    was_leaving: bool,
    /// Whether the end is certainly that of this start: the endpoint named the start, or a
    /// rollout ended it.
    end_is_certain: bool,
}

impl EndpointRecord {
    /// The record of an endpoint that was unknown so far.
    pub fn new(registration: Registration, direct: bool) -> EndpointRecord {
        let was_leaving = registration.state == EndpointState::Leaving;
        let end_is_certain = direct && is_end_of_named_start(&registration);
        EndpointRecord {
            registration,
            change: 0,
            direct,
            listed_under: None,
            warmth_trusted_from: 0,
            continuation: None,
            replaced_releases: ReplacedReleases::default(),
            ended_start: None,
            was_leaving,
            end_is_certain,
        }
    }

    /// Merges an update. Of two starts the later one counts, and nothing of the earlier one
    /// is kept; returns whether the update is of a later start.
    pub fn merge(&mut self, update: Registration, origin: Origin) -> bool {
        if is_bare_end(&self.registration) && !is_bare_end(&update) {
            return self.merge_after_bare_end(update, origin);
        }
        if is_bare_end(&update) && self.registration.revivals > 0 && origin == Origin::Relayed {
            // The start was found to be still running since.
            return false;
        }
        let order = update.started_at_ms.cmp(&self.registration.started_at_ms);
        match order.then(update.revivals.cmp(&self.registration.revivals)) {
            Ordering::Less => false,
            Ordering::Equal => {
                self.merge_same_start(update, origin);
                false
            }
            Ordering::Greater if order.is_gt() => {
                self.replace(update, origin);
                true
            }
            Ordering::Greater => {
                self.revive(update);
                false
            }
        }
    }

    fn replace(&mut self, update: Registration, origin: Origin) {
        let (change, listed_under) = (self.change, self.listed_under.take());
        let ended_start = is_bare_end(&update).then(|| self.ended_start()).flatten();
        let new = EndpointRecord::new(update, origin == Origin::Direct);
        let before =
            std::mem::replace(self, EndpointRecord { change, listed_under, ended_start, ..new });
        if before.registration.started_at_ms == self.registration.started_at_ms {
            self.replaced_releases = before.replaced_releases;
            self.record_replaced_release(&before.registration);
        }
    }

    /// The start that is recorded, for an end that does not name it.
    fn ended_start(&self) -> Option<EndedStart> {
        if is_bare_end(&self.registration) {
            return self.ended_start;
        }
        let Registration { started_at_ms, sequence, .. } = self.registration;
        Some(EndedStart { started_at_ms, sequence, end_is_certain: self.end_is_certain })
    }

    /// Records that the software of `before` was replaced, if it was.
    fn record_replaced_release(&mut self, before: &Registration) {
        let current = &self.registration.version;
        self.replaced_releases.forget(current);
        if before.version != *current && !is_bare_end(before) {
            self.replaced_releases.record(&before.version, before.sequence);
        }
    }

    /// The highest sequence number recorded of the start and release of a heartbeat; 0 if none is.
    fn highest_known(&self, heartbeat: &Registration) -> u64 {
        if is_bare_end(&self.registration) {
            let ended = self.ended_start;
            let ended = ended.filter(|ended| ended.started_at_ms == heartbeat.started_at_ms);
            return ended.map_or(0, |ended| ended.sequence);
        }
        if heartbeat.started_at_ms != self.registration.started_at_ms {
            return 0;
        }
        match heartbeat.version == self.registration.version {
            true => self.registration.sequence,
            false => self.replaced_releases.sequence_of(&heartbeat.version).unwrap_or(0),
        }
    }

    /// Records a heartbeat that may be late. Returns whether those of its start and release go on.
    fn continues(&mut self, heartbeat: &Registration) -> bool {
        let Registration { started_at_ms, sequence, .. } = *heartbeat;
        let version = &heartbeat.version;
        if self.continuation.as_ref().is_some_and(|held| held.is_later_than(started_at_ms)) {
            return false;
        }
        let highest_known = self.highest_known(heartbeat);
        let held = self.continuation.take().filter(|held| held.is_of(started_at_ms, version));
        let mut continuation = held.unwrap_or_else(|| Continuation::new(started_at_ms, version));
        let continues = continuation.record(sequence, highest_known);
        self.continuation = Some(continuation);
        continues
    }

    /// Merges an update into a record that holds only an end, with the time of the latest
    /// start that may have ended.
    fn merge_after_bare_end(&mut self, update: Registration, origin: Origin) -> bool {
        let is_later = update.started_at_ms > self.registration.started_at_ms;
        if is_later || update.revivals > self.registration.revivals && !self.is_certain_end(&update)
        {
            self.replace(update, origin);
            return true;
        }
        if origin == Origin::Direct && update.state != EndpointState::Gone {
            self.merge_heartbeat_after_end(update);
        } else if origin == Origin::Relayed {
            self.record_ended_start(&update);
        }
        false
    }

    /// Records what another process knew of a start that has ended.
    fn record_ended_start(&mut self, update: &Registration) {
        let Registration { started_at_ms, sequence, .. } = *update;
        match &mut self.ended_start {
            Some(ended) if ended.started_at_ms == started_at_ms => {
                ended.sequence = ended.sequence.max(sequence);
            }
            Some(ended) if ended.started_at_ms > started_at_ms => {}
            ended => {
                *ended = Some(EndedStart { started_at_ms, sequence, end_is_certain: false });
            }
        }
    }

    /// Whether a start has certainly ended, though the recorded end names none.
    fn is_certain_end(&self, update: &Registration) -> bool {
        self.ended_start.is_some_and(|ended| {
            ended.end_is_certain && ended.started_at_ms == update.started_at_ms
        })
    }

    fn merge_same_start(&mut self, mut update: Registration, origin: Origin) {
        let direct = origin == Origin::Direct;
        if direct && self.reports_other_release(&update) {
            match self.judge_other_release(&update) {
                OtherRelease::Newer => {}
                OtherRelease::RestartInPlace => {
                    update.revivals += 1;
                    self.replace(update, origin);
                    return;
                }
                OtherRelease::Late => return,
                OtherRelease::Unclear => {}
            }
        }
        self.was_leaving |= update.state == EndpointState::Leaving;
        self.end_is_certain |= direct && is_end_of_named_start(&update);
        if self.registration.state == EndpointState::Gone {
            if direct && update.state != EndpointState::Gone {
                self.merge_heartbeat_after_end(update);
            } else if update.version == self.registration.version {
                // Late heartbeats are recognized by the highest number that any process knows.
                self.registration.sequence = self.registration.sequence.max(update.sequence);
            }
            return;
        }
        let state = self.registration.state.max(update.state);
        let warmup_ms = self.registration.warmup_ms;
        if update.address.is_some() && update.sequence > self.registration.sequence {
            let before = std::mem::replace(&mut self.registration, update);
            self.record_replaced_release(&before);
            if self.registration.sequence < self.warmth_trusted_from {
                self.registration.warmup_ms = self.registration.warmup_ms.max(warmup_ms);
            }
        }
        self.registration.state = state;
    }

    /// Whether a heartbeat reports another release than the recorded one of a running start.
    fn reports_other_release(&self, update: &Registration) -> bool {
        let known = &self.registration;
        known.state != EndpointState::Gone
            && update.state != EndpointState::Gone
            && update.version != known.version
    }

    /// Whether a heartbeat of another release than the recorded one is of software that has taken
    /// its place, or of the software before. A start that is not reported may change its software
    /// under its id, and the new software may count its heartbeats anew.
    fn judge_other_release(&mut self, update: &Registration) -> OtherRelease {
        let known = &self.registration;
        let replaced = self.replaced_releases.sequence_of(&update.version);
        let goes_on_counting = replaced.is_none_or(|last| last < known.sequence);
        if goes_on_counting && update.sequence > known.sequence {
            return OtherRelease::Newer;
        }
        // A release that was replaced has sent heartbeats that may still arrive, and a late one
        // must not make a leaving endpoint accept requests again.
        let may_be_late = replaced.is_some() || known.state == EndpointState::Leaving;
        let is_restart = match may_be_late {
            true => self.continues(update),
            false => update.sequence.saturating_add(MAX_LAG_OF_LATE_HEARTBEAT) < known.sequence,
        };
        match (is_restart, replaced) {
            (true, _) => OtherRelease::RestartInPlace,
            (false, Some(_)) => OtherRelease::Late,
            (false, None) => OtherRelease::Unclear,
        }
    }

    /// Merges a heartbeat of a start that was recorded as ended. The end may have been that
    /// of an earlier start, received late. If heartbeats go on, this start is still running.
    fn merge_heartbeat_after_end(&mut self, mut update: Registration) {
        if !self.is_certain_end(&update) && self.continues(&update) {
            update.revivals += 1;
            self.revive(update);
        }
    }

    fn revive(&mut self, update: Registration) {
        if self.end_is_certain {
            return;
        }
        let before = std::mem::replace(&mut self.registration, update);
        self.record_replaced_release(&before);
        self.continuation = None;
        if self.was_leaving {
            self.registration.state = self.registration.state.max(EndpointState::Leaving);
        }
    }

    /// Sets the state of an endpoint that accepts no more requests because a rollout ended.
    pub fn retire(&mut self, state: EndpointState) {
        self.registration.state = state;
        self.direct = false;
        self.end_is_certain = true;
    }

    /// Counts an endpoint as cold that may have turned cold without having reported it yet,
    /// until it has reported twice that it is warm.
    pub fn presume_cold(&mut self) {
        self.warmth_trusted_from =
            self.registration.sequence.saturating_add(WARMTH_TRUSTED_AFTER_HEARTBEATS);
        count_as_cold(&mut self.registration);
    }
}

/// Whether a registration states only that some start has ended.
fn is_bare_end(registration: &Registration) -> bool {
    registration.state == EndpointState::Gone && registration.address.is_none()
}

/// Whether a registration states which start has ended.
fn is_end_of_named_start(registration: &Registration) -> bool {
    registration.state == EndpointState::Gone && registration.address.is_some()
}

/// Counts an endpoint as cold for as long as two of its heartbeats take.
pub(super) fn count_as_cold(registration: &mut Registration) {
    registration.warmup_ms = registration.warmup_ms.max(RESTORED_WARMUP_MS);
}
