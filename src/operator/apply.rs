//! Converts operators' change requests to configuration changes, and outcomes to replies.

use super::proto;
use crate::config::{Change, Document};
use crate::control::ChangeOutcome;

/// Longest operation name, in bytes.
const MAX_OPERATION_BYTES: usize = 64;

/// The reply when it is unknown whether a change was accepted.
pub(super) fn uncertain() -> proto::ApplyReply {
    let result = proto::apply_reply::Result::Uncertain.into();
    proto::ApplyReply { result, ..Default::default() }
}

/// The reply that reports the outcome of a change.
pub(super) fn reply(outcome: ChangeOutcome) -> proto::ApplyReply {
    use proto::apply_reply::Result;
    match outcome {
        ChangeOutcome::Accepted(version) => {
            let result = Result::Accepted.into();
            proto::ApplyReply { result, version, ..Default::default() }
        }
        ChangeOutcome::Conflict(version) => {
            let result = Result::Conflict.into();
            proto::ApplyReply { result, version, ..Default::default() }
        }
        ChangeOutcome::Refused(refusal) => proto::ApplyReply {
            result: Result::Refused.into(),
            version: 0,
            field: refusal.field,
            problem: refusal.problem,
            remedy: refusal.remedy,
        },
    }
}

fn refused(field: &str, problem: String, remedy: &str) -> proto::ApplyReply {
    proto::ApplyReply {
        result: proto::apply_reply::Result::Refused.into(),
        version: 0,
        field: field.into(),
        problem,
        remedy: remedy.into(),
    }
}

/// The configuration changes that a request contains, or the reply that refuses it.
pub(super) fn changes(request: &proto::ApplyRequest) -> Result<Vec<Change>, proto::ApplyReply> {
    if request.operation.is_empty() || request.operation.len() > MAX_OPERATION_BYTES {
        let problem = "is empty or too long".to_string();
        return Err(refused("operation", problem, "name the change in 1 to 64 bytes"));
    }
    let mut changes = Vec::new();
    if !request.document.trim().is_empty() {
        let document: Document = serde_saphyr::from_str(&request.document)
            .map_err(|e| refused("document", e.to_string(), "correct the document"))?;
        changes.extend(document.changes());
    }
    changes.extend(
        request
            .leaving
            .iter()
            .map(|l| Change::SetLeaving { endpoint: l.endpoint.clone(), leaving: l.leaving }),
    );
    if changes.is_empty() {
        let problem = "asks for no change".to_string();
        return Err(refused("document", problem, "declare or remove something"));
    }
    Ok(changes)
}
