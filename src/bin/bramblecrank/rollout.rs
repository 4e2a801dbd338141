//! Operators' commands about rollouts of releases.

use std::net::SocketAddr;
use std::time::Duration;

use bramblecrank::error::Result;
use bramblecrank::operator::{self, proto};
use serde_json::json;

use crate::operate::rpc_error;

/// Orders a rollout of a release, through the first control host that accepts the order.
pub async fn start(
    service: String,
    version: String,
    within_s: f64,
    to: &[SocketAddr],
) -> Result<()> {
    // An invalid length of time is refused like one that is too short.
    let within = Duration::try_from_secs_f64(within_s).unwrap_or_default();
    let within_ms = within.as_millis() as u64;
    let request = proto::OrderRolloutRequest { service, version, within_ms };
    let mut failure = "no control host answered".to_string();
    for address in to {
        let Ok(mut client) = operator::connect(*address).await else { continue };
        match client.order_rollout(request.clone()).await {
            Ok(_) => {
                println!("{} of {} is being rolled out", request.version, request.service);
                return Ok(());
            }
            Err(status) => failure = status.message().to_string(),
        }
    }
    rpc_error(failure)
}

/// Shows the newest rollout of a service.
pub async fn status(service: &str, to: &[SocketAddr], as_json: bool) -> Result<()> {
    let mut failure = "no control host answered".to_string();
    for address in to {
        let Ok(mut client) = operator::connect(*address).await else { continue };
        let request = proto::GetRolloutRequest { service: service.to_string() };
        match client.get_rollout(request).await {
            Ok(reply) => {
                let rollout = reply.into_inner().rollout.unwrap_or_default();
                match as_json {
                    true => println!("{}", to_json(&rollout)),
                    false => println!("{}", describe(&rollout)),
                }
                return Ok(());
            }
            Err(status) => failure = status.message().to_string(),
        }
    }
    rpc_error(failure)
}

/// A short description of a rollout.
pub fn describe(rollout: &proto::RolloutStatus) -> String {
    let within_s = rollout.within_ms as f64 / 1_000.0;
    format!(
        "roll-out of {} for {}: {}, ordered within {within_s} s",
        rollout.version,
        rollout.service,
        stage_name(rollout.stage()),
    )
}

/// A rollout as JSON.
pub fn to_json(rollout: &proto::RolloutStatus) -> serde_json::Value {
    json!({"service": rollout.service, "version": rollout.version,
        "stage": stage_name(rollout.stage()), "ordered_at_ms": rollout.ordered_at_ms,
        "within_ms": rollout.within_ms})
}

fn stage_name(stage: proto::rollout_status::Stage) -> &'static str {
    use proto::rollout_status::Stage;
    match stage {
        Stage::Unspecified => "unknown",
        Stage::Canary => "canary",
        Stage::Shifting => "shifting",
        Stage::Done => "done",
        Stage::RolledBack => "rolled back",
    }
}
