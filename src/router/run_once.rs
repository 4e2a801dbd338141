//! Run-once calls, which may not be repeated: each is claimed before its first byte is sent.

use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderValue, Response, StatusCode};
use bytes::Bytes;

use super::serve::Job;
use super::state::Router;
use crate::answer::Completeness;
use crate::claim::{
    Attempt as Claimant, Claim, ClaimDecision, MAX_RECORDED_ANSWER_BYTES, RecordedAnswer,
    Settlement, fingerprint,
};
use crate::delivery::{Answer, Attempt, NotRunReason, Outcome, UnknownReason, header};

/// Time limit for a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for looking up an earlier claim. Without an answer the call proceeds to its own
/// claim, which decides.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for which the caller's answer is held back for the settlement.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which callers may retry if the key is held or cannot be claimed, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;

/// Returns the claim for a job's call, or `None` if the caller gave no key, as resends cannot be
/// distinguished from new calls then.
fn claim_of(job: &Job) -> Option<Claim> {
    let key = header::text(&job.call.headers, header::KEY)?;
    let call = &job.call;
    Some(Claim {
        customer: job.customer,
        key: key.to_string(),
        fingerprint: fingerprint(&job.service.name, call.method.as_str(), &call.path, &call.body),
        attempt: Claimant {
            router: job.router.peers.me,
            incarnation: job.router.peers.incarnation,
            seq: job.grant_seq,
        },
    })
}

/// Returns the outcome of an earlier call with the same key, if known. Checked before the call
/// queues for a grant.
pub(super) async fn earlier_outcome(job: &Job) -> Option<Outcome> {
    let claim = claim_of(job)?;
    if job.router.is_stale() {
        return Some(Outcome::NotRun(NotRunReason::NoMajority, RETRY_AFTER_MS));
    }
    let claimed = job.router.claims.lookup(claim, LOOKUP_TIMEOUT).await?;
    held_outcome(&job.router, claimed)
}

/// Claims a run-once call that has a key. Without a majority of control hosts, the call does not
/// run.
pub(super) async fn claim(job: &Job) -> Result<Option<Claim>, Outcome> {
    if !job.call.run_once {
        return Ok(None);
    }
    let Some(claim) = claim_of(job) else {
        return Ok(None);
    };
    let remaining = job.deadline.remaining();
    let claimed = job.router.claims.claim(claim.clone(), remaining.min(CLAIM_TIMEOUT)).await;
    let Some(claimed) = claimed else {
        return Err(Outcome::NotRun(NotRunReason::NoMajority, RETRY_AFTER_MS));
    };
    match held_outcome(&job.router, claimed) {
        None => Ok(Some(claim)),
        Some(outcome) => Err(outcome),
    }
}

/// Returns the outcome for a call whose key is held by another call, or `None` if the claim was
/// granted.
fn held_outcome(router: &Router, claimed: ClaimDecision) -> Option<Outcome> {
    match claimed {
        ClaimDecision::Granted => None,
        ClaimDecision::Running(holder) => Some(match is_holder_live(router, holder) {
            true => Outcome::Running(RETRY_AFTER_MS),
            // The holder is gone without having settled its claim: the call may have run.
            false => Outcome::Unknown(UnknownReason::Earlier),
        }),
        ClaimDecision::Answered(Some(answer)) => Some(Outcome::Answered(replay(answer))),
        ClaimDecision::Answered(None) => Some(Outcome::AnsweredBefore),
        ClaimDecision::Unknown => Some(Outcome::Unknown(UnknownReason::Earlier)),
        ClaimDecision::OtherCall => Some(Outcome::BadRequest(
            StatusCode::UNPROCESSABLE_ENTITY,
            format!("the {} was used for another call", header::KEY),
        )),
    }
}

fn is_holder_live(router: &Router, holder: Claimant) -> bool {
    let view = router.peers.view();
    let member = view.get(holder.router);
    member.is_some_and(|m| m.incarnation == holder.incarnation)
}

fn replay(answer: RecordedAnswer) -> Response<Body> {
    let mut response = Response::new(Body::from(answer.body));
    if let Ok(status) = StatusCode::from_u16(answer.status) {
        *response.status_mut() = status;
    }
    let content_type = answer.content_type.and_then(|k| HeaderValue::from_str(&k).ok());
    if let Some(content_type) = content_type {
        response.headers_mut().insert("content-type", content_type);
    }
    response.headers_mut().insert(header::REPLAYED, HeaderValue::from_static("1"));
    response
}

/// How a claimed call ended; `None` while its answer is still streamed.
pub(super) fn settlement_of(attempt: &Attempt) -> Option<Settlement> {
    match attempt {
        Attempt::Answered(Answer::Complete(response, completeness)) => {
            Some(Settlement::Answered(recorded(response, *completeness)))
        }
        Attempt::Answered(Answer::Stream(..)) => None,
        Attempt::NotSent | Attempt::Refused => Some(Settlement::NotRun),
        Attempt::Unknown(_) => Some(Settlement::Unknown),
    }
}

/// The answer as it is recorded for resends. A resend would be told that it is whole, so one whose
/// endpoint did not state that is not recorded.
fn recorded(response: &Response<Bytes>, completeness: Completeness) -> Option<RecordedAnswer> {
    let body = response.body();
    let is_recordable =
        completeness == Completeness::Stated && body.len() <= MAX_RECORDED_ANSWER_BYTES;
    is_recordable.then(|| RecordedAnswer {
        status: response.status().as_u16(),
        content_type: header::text(response.headers(), "content-type").map(String::from),
        body: body.to_vec(),
    })
}

/// Records how a claimed call ended, before its caller is told, so that a resend finds it.
pub(super) async fn settle(router: &Router, claim: Claim, settlement: Settlement) {
    router.claims.settle_and_wait(claim, settlement, SETTLE_TIMEOUT).await;
}
