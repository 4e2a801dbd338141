//! Commands that call operator ports.

use std::net::SocketAddr;
use std::path::Path;

use bramblecrank::config::{Config, Document};
use bramblecrank::error::{Error, Result};
use bramblecrank::operator::{self, proto};
use bramblecrank::settings;
use rand::RngExt;
use serde_json::json;

use crate::app::Task;
use crate::{quarantine, rollout};

/// Runs an operator's command.
pub async fn run(task: Task) -> Result<()> {
    match task {
        Task::Apply { file, to, base, operation, json } => {
            apply(&file, &to, base, operation, json).await
        }
        Task::Get { to, json } => get(to, json).await,
        Task::Diff { file, to } => diff(&file, to).await,
        Task::History { to, most, json } => history(to, most, json).await,
        Task::Status { to, json } => status(to, json).await,
        Task::SetLeaving { endpoint, leaving, to } => {
            let leaving = vec![proto::Leaving { endpoint, leaving }];
            let request = proto::ApplyRequest { leaving, ..request(None, None) };
            apply_and_report(&to, request, false).await
        }
        Task::OrderHall { hall, drained, to } => order_hall(hall, drained, &to).await,
        Task::StartRollout { service, version, within_s, to } => {
            rollout::start(service, version, within_s, &to).await
        }
        Task::RolloutStatus { service, to, json } => rollout::status(&service, &to, json).await,
        Task::Quarantine { to, json } => quarantine::list(to, json).await,
        Task::Release { suspect, to } => quarantine::release(suspect, &to).await,
        Task::StopHost { to } => {
            let mut client = operator::connect(to).await?;
            client.stop(proto::StopRequest {}).await.map_err(status_error)?;
            println!("the host at {to} stops once its requests have ended");
            Ok(())
        }
        Task::ReplaceControl { host, old_store, to } => replace_control(host, old_store, &to).await,
        Task::Rehearse { cut_to, cut_from, cut_halls, to } => {
            let request = proto::RehearseRequest { cut_to, cut_from, cut_halls };
            let mut client = operator::connect(to).await?;
            let reply = client.rehearse(request).await.map_err(status_error)?;
            match reply.into_inner().accepted {
                true => Ok(()),
                false => rpc_error("the host's settings do not allow rehearsals"),
            }
        }
        Task::Explain { request, to, json } => explain(&request, to, json).await,
        // The caller runs the other tasks.
        _ => Ok(()),
    }
}

/// Checks a configuration document against an empty configuration.
pub fn check_document(file: &Path) -> Result<()> {
    let document: Document = settings::read(file)?;
    let applied = Config::default().apply(&document.changes());
    applied.map(drop).map_err(|refusal| Error::Invalid {
        field: refusal.field,
        problem: refusal.problem,
        remedy: refusal.remedy,
    })
}

pub(crate) fn rpc_error<T>(message: impl Into<String>) -> Result<T> {
    Err(Error::Rpc { message: message.into() })
}

pub(crate) fn status_error(status: tonic::Status) -> Error {
    Error::Rpc { message: status.message().to_string() }
}

fn request(base: Option<u64>, operation: Option<String>) -> proto::ApplyRequest {
    let random = || format!("{:032x}", rand::rng().random::<u128>());
    let operation = operation.unwrap_or_else(random);
    proto::ApplyRequest { operation, base, document: String::new(), leaving: Vec::new() }
}

async fn apply(
    file: &Path,
    to: &[SocketAddr],
    base: Option<u64>,
    operation: Option<String>,
    json: bool,
) -> Result<()> {
    let document = std::fs::read_to_string(file);
    let document = document.map_err(|source| Error::File { path: file.into(), source })?;
    // Also parsed here, so that an error names file and line.
    let _: Document = settings::read(file)?;
    let request = proto::ApplyRequest { document, ..request(base, operation) };
    apply_and_report(to, request, json).await
}

async fn apply_and_report(
    to: &[SocketAddr],
    request: proto::ApplyRequest,
    json: bool,
) -> Result<()> {
    use proto::apply_reply::Result as Applied;
    let reply = operator::apply_document(to, request).await?;
    if json {
        let result = reply.result().as_str_name();
        println!(
            "{}",
            json!({"result": result, "version": reply.version, "field": reply.field,
            "problem": reply.problem, "remedy": reply.remedy})
        );
    }
    match reply.result() {
        Applied::Accepted if json => Ok(()),
        Applied::Accepted => {
            println!("accepted as version {}", reply.version);
            Ok(())
        }
        Applied::Conflict => {
            rpc_error(format!("another change came first: version {} stands", reply.version))
        }
        _ => rpc_error(format!("{}: {}; {}", reply.field, reply.problem, reply.remedy)),
    }
}

async fn get(to: SocketAddr, as_json: bool) -> Result<()> {
    let reply = fetch(to).await?;
    match as_json {
        true => println!("{}", json!({"version": reply.version, "document": reply.document})),
        false => println!("# version {}\n{}", reply.version, reply.document),
    }
    Ok(())
}

async fn fetch(to: SocketAddr) -> Result<proto::GetReply> {
    let mut client = operator::connect(to).await?;
    let reply = client.get(proto::GetRequest {}).await.map_err(status_error)?;
    Ok(reply.into_inner())
}

async fn diff(file: &Path, to: SocketAddr) -> Result<()> {
    let document: Document = settings::read(file)?;
    let current = fetch(to).await?;
    let parsed = serde_saphyr::from_str::<Document>(&current.document);
    let current_document = parsed.map_err(|e| Error::Rpc { message: e.to_string() })?;
    let config = Config::default().apply(&current_document.changes());
    let next = config.and_then(|c| c.apply(&document.changes()));
    let next = next.map_err(|refusal| Error::Rpc { message: refusal.to_string() })?;
    let lines = |d: &Document| serde_saphyr::to_string(d).unwrap_or_default();
    let (before, after) = (lines(&current_document), lines(&Document::of(&next)));
    println!("# against version {}", current.version);
    let removed = before.lines().filter(|l| !after.lines().any(|other| other == *l));
    removed.for_each(|line| println!("-{line}"));
    let added = after.lines().filter(|l| !before.lines().any(|other| other == *l));
    added.for_each(|line| println!("+{line}"));
    Ok(())
}

async fn history(to: SocketAddr, most: u32, as_json: bool) -> Result<()> {
    let mut client = operator::connect(to).await?;
    let reply = client.history(proto::HistoryRequest { most }).await.map_err(status_error)?;
    for entry in reply.into_inner().entries {
        match as_json {
            true => println!("{}", json!({"version": entry.version, "changes": entry.changes})),
            false => println!("{:>8}  {}", entry.version, entry.changes.join(", ")),
        }
    }
    Ok(())
}

async fn status(to: SocketAddr, as_json: bool) -> Result<()> {
    let all = operator::fleet_status(to).await?;
    if as_json {
        for s in &all {
            println!("{}", status_json(s));
        }
        return Ok(());
    }
    println!("{:>5} {:<8} {:<14} {:>8} in force", "host", "role", "hall", "version");
    let newest = all.iter().map(|s| s.version).max().unwrap_or(0);
    for s in &all {
        let age = bramblecrank::clock::epoch_ms().saturating_sub(s.in_force_since_ms) / 1_000;
        let mut notes = Vec::new();
        if s.version < newest {
            notes.push("behind".to_string());
        }
        if s.stale {
            notes.push("stale: no majority in reach".to_string());
        }
        if let Some(group) = &s.group {
            notes.push(format!("{} of term {}, store {}", group.state, group.term, group.store));
        }
        if !s.drained_halls.is_empty() {
            notes.push(format!("drained data halls: {}", list(&s.drained_halls)));
        }
        notes.extend(s.rollouts.iter().map(rollout::describe));
        notes.extend(s.dispatchers.iter().map(|d| {
            format!(
                "dispatches {} ({} waiting, {}/{} running)",
                d.service, d.waiting, d.running, d.slots
            )
        }));
        println!(
            "{:>5} {:<8} {:<14} {:>8} {:<16} {}",
            s.host,
            s.role,
            s.hall,
            s.version,
            format!("for {age} s"),
            notes.join("; ")
        );
    }
    Ok(())
}

fn status_json(s: &proto::StatusReply) -> serde_json::Value {
    let dispatcher = |d: &proto::DispatcherStatus| {
        json!({"service": d.service, "waiting": d.waiting, "running": d.running, "slots": d.slots,
            "backlogged_customers": d.backlogged_customers, "routers": d.routers})
    };
    let member = |m: &proto::GroupMember| json!({"store": m.store, "host": m.host, "voter": m.voter, "matched": m.matched});
    let group = s.group.as_ref().map(|g| {
        json!({"store": g.store, "state": g.state, "term": g.term, "leader": g.leader,
            "commit": g.commit, "last": g.last, "claims": g.claims,
            "members": g.members.iter().map(member).collect::<Vec<_>>()})
    });
    json!({"host": s.host, "role": s.role, "hall": s.hall, "version": s.version,
        "in_force_since_ms": s.in_force_since_ms, "stale": s.stale, "group": group,
        "hosts": s.hosts.iter().filter(|h| h.live).map(|h| h.host).collect::<Vec<_>>(),
        "dispatchers": s.dispatchers.iter().map(dispatcher).collect::<Vec<_>>(),
        "drained_halls": s.drained_halls,
        "rollouts": s.rollouts.iter().map(rollout::to_json).collect::<Vec<_>>()})
}

async fn order_hall(hall: String, drained: bool, to: &[SocketAddr]) -> Result<()> {
    let mut failure = "no control host answered".to_string();
    for address in to {
        let Ok(mut client) = operator::connect(*address).await else { continue };
        let request = proto::OrderHallRequest { hall: hall.clone(), drained };
        match client.order_hall(request).await {
            Ok(reply) => {
                println!("drained data halls: {}", list(&reply.get_ref().drained_halls));
                return Ok(());
            }
            Err(status) => failure = status.message().to_string(),
        }
    }
    rpc_error(failure)
}

fn list(names: &[String]) -> String {
    if names.is_empty() { "none".to_string() } else { names.join(", ") }
}

async fn replace_control(host: u32, old_store: String, to: &[SocketAddr]) -> Result<()> {
    let mut failure = "no control host answered".to_string();
    for address in to {
        let Ok(mut client) = operator::connect(*address).await else { continue };
        let request = proto::ReplaceControlRequest { host, old_store: old_store.clone() };
        match client.replace_control(request).await {
            Ok(reply) if reply.get_ref().accepted => {
                println!("{}", reply.get_ref().message);
                return Ok(());
            }
            Ok(reply) => failure = reply.into_inner().message,
            Err(status) => failure = status.message().to_string(),
        }
    }
    rpc_error(failure)
}

async fn explain(request: &str, to: SocketAddr, as_json: bool) -> Result<()> {
    let steps = operator::explain(to, request).await?;
    if steps.is_empty() {
        return rpc_error("no live host remembers this request");
    }
    let start = steps[0].at_ms;
    for step in steps {
        match as_json {
            true => println!(
                "{}",
                json!({"at_ms": step.at_ms, "host": step.host,
                "part": step.part, "text": step.text})
            ),
            false => println!(
                "{:>7} ms  host {:<4} {:<10} {}",
                step.at_ms - start,
                step.host,
                step.part,
                step.text
            ),
        }
    }
    Ok(())
}
