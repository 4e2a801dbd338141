//! Operators' commands about what crashes endpoints.

use std::net::SocketAddr;

use bramblecrank::error::Result;
use bramblecrank::operator::{self, proto};
use serde_json::json;

use crate::operate::{rpc_error, status_error};

/// Shows what is refused or on trial, as recorded by one control host.
pub async fn list(to: SocketAddr, as_json: bool) -> Result<()> {
    let mut client = operator::connect(to).await?;
    let reply = client.status(proto::StatusRequest {}).await.map_err(status_error)?;
    let quarantined = reply.into_inner().quarantined;
    if as_json {
        println!("{}", json!(quarantined.iter().map(to_json).collect::<Vec<_>>()));
        return Ok(());
    }
    if quarantined.is_empty() {
        println!("nothing is refused for crashing endpoints");
    }
    for entry in &quarantined {
        let stage = if entry.refused { "refused" } else { "on trial" };
        println!(
            "{} {stage}, {} crashes, {} times, until {} ms since the epoch",
            entry.suspect, entry.crashes, entry.times, entry.until_ms
        );
    }
    Ok(())
}

fn to_json(entry: &proto::QuarantineStatus) -> serde_json::Value {
    json!({"suspect": entry.suspect, "refused": entry.refused,
        "crashes": entry.crashes, "times": entry.times, "until_ms": entry.until_ms})
}

/// Lets a suspect run again, through the first control host that accepts the order.
pub async fn release(suspect: String, to: &[SocketAddr]) -> Result<()> {
    let request = proto::ReleaseRequest { suspect };
    let mut failure = "no control host answered".to_string();
    for address in to {
        let Ok(mut client) = operator::connect(*address).await else { continue };
        match client.release(request.clone()).await {
            Ok(_) => {
                println!("{} may run again", request.suspect);
                return Ok(());
            }
            Err(status) => failure = status.message().to_string(),
        }
    }
    rpc_error(failure)
}
