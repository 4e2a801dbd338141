//! Calls that may not be repeated: claimed before the first byte leaves.

use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderValue, Response, StatusCode};

use super::serve::Job;
use super::state::Router;
use crate::claim::{
    Attempt as Claimant, Claim, ClaimDecision, MAX_RECORDED_ANSWER_BYTES, RecordedAnswer,
    Settlement, fingerprint,
};
use crate::delivery::{Answer, Attempt, NotRunReason, Outcome, UnknownReason, header};

/// How long a claim may take.
const CLAIM_LIMIT: Duration = Duration::from_secs(3);
/// How long a look at an earlier claim may take; without an answer the call
/// goes on to its claim, which decides.
const LOOK_LIMIT: Duration = Duration::from_millis(500);
/// How long the caller's answer may wait for the settlement.
const SETTLE_LIMIT: Duration = Duration::from_millis(500);
/// Time to come back after when the key is held or cannot be claimed.
const RETRY_MS: u32 = 1_000;

/// The claim of a job's call; none when the caller gave no key, so that
/// resends cannot be told from new calls.
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
            seq: job.want_seq,
        },
    })
}

/// What is known of an earlier send of the same key, before it queues again.
pub(super) async fn earlier(job: &Job) -> Option<Outcome> {
    let claim = claim_of(job)?;
    if job.router.is_stale() {
        return Some(Outcome::NotRun(NotRunReason::NoMajority, RETRY_MS));
    }
    let claimed = job.router.claims.lookup(claim, LOOK_LIMIT).await?;
    held(&job.router, claimed)
}

/// Claims the call if it has a key. Without a majority it does not run.
pub(super) async fn claim(job: &Job) -> Result<Option<Claim>, Outcome> {
    if !job.call.run_once {
        return Ok(None);
    }
    let Some(claim) = claim_of(job) else {
        return Ok(None);
    };
    let left = job.deadline.remaining();
    let claimed = job.router.claims.claim(claim.clone(), left.min(CLAIM_LIMIT)).await;
    let Some(claimed) = claimed else {
        return Err(Outcome::NotRun(NotRunReason::NoMajority, RETRY_MS));
    };
    match held(&job.router, claimed) {
        None => Ok(Some(claim)),
        Some(outcome) => Err(outcome),
    }
}

/// What a caller is told of a key that is held; none when it was granted.
fn held(router: &Router, claimed: ClaimDecision) -> Option<Outcome> {
    match claimed {
        ClaimDecision::Granted => None,
        ClaimDecision::Running(holder) => Some(match is_live(router, holder) {
            true => Outcome::Running(RETRY_MS),
            // The holder is gone without a word: the call may have run.
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

fn is_live(router: &Router, holder: Claimant) -> bool {
    let view = router.peers.view();
    let member = view.get(holder.router);
    member.is_some_and(|m| m.incarnation == holder.incarnation)
}

fn replay(answer: RecordedAnswer) -> Response<Body> {
    let mut response = Response::new(Body::from(answer.body));
    if let Ok(status) = StatusCode::from_u16(answer.status) {
        *response.status_mut() = status;
    }
    let kind = answer.content_type.and_then(|k| HeaderValue::from_str(&k).ok());
    if let Some(kind) = kind {
        response.headers_mut().insert("content-type", kind);
    }
    response.headers_mut().insert(header::REPLAYED, HeaderValue::from_static("1"));
    response
}

/// Records how a claimed call ended, before its caller is told, so that a resend
/// finds it.
pub(super) async fn settle(router: &Router, claim: Claim, attempt: &Attempt) {
    let settlement = match attempt {
        Attempt::Answered(Answer::Complete(response)) => {
            let body = response.body();
            let small = body.len() <= MAX_RECORDED_ANSWER_BYTES;
            Settlement::Answered(small.then(|| RecordedAnswer {
                status: response.status().as_u16(),
                content_type: header::text(response.headers(), "content-type").map(String::from),
                body: body.to_vec(),
            }))
        }
        Attempt::Answered(Answer::Stream(_)) => Settlement::Answered(None),
        Attempt::NotSent | Attempt::Refused => Settlement::NotRun,
        Attempt::Unknown(_) => Settlement::Unknown,
    };
    router.claims.settle_and_wait(claim, settlement, SETTLE_LIMIT).await;
}
