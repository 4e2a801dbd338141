//! What operators ask to be changed, and what they are told.

use super::proto;
use crate::config::{Change, Document};
use crate::control::ChangeOutcome;

/// Longest operation name.
const MAX_OPERATION: usize = 64;

/// The answer where it is not known whether a change was taken.
pub(super) fn uncertain() -> proto::ApplyReply {
    let result = proto::apply_reply::Result::Uncertain.into();
    proto::ApplyReply { result, ..Default::default() }
}

/// What an operator is told of a change.
pub(super) fn reply(changed: ChangeOutcome) -> proto::ApplyReply {
    use proto::apply_reply::Result;
    match changed {
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

fn wrong(field: &str, problem: String, remedy: &str) -> proto::ApplyReply {
    proto::ApplyReply {
        result: proto::apply_reply::Result::Refused.into(),
        version: 0,
        field: field.into(),
        problem,
        remedy: remedy.into(),
    }
}

/// The steps that a request asks for, or why it is wrong.
pub(super) fn changes(request: &proto::ApplyRequest) -> Result<Vec<Change>, proto::ApplyReply> {
    if request.operation.is_empty() || request.operation.len() > MAX_OPERATION {
        let problem = "is empty or too long".to_string();
        return Err(wrong("operation", problem, "name the change in 1 to 64 bytes"));
    }
    let mut changes = Vec::new();
    if !request.document.trim().is_empty() {
        let document: Document = serde_saphyr::from_str(&request.document)
            .map_err(|e| wrong("document", e.to_string(), "correct the document"))?;
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
        return Err(wrong("document", problem, "declare or remove something"));
    }
    Ok(changes)
}
