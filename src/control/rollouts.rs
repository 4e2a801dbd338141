//! Orders to roll out a release of a service, and their state.

use std::time::Duration;

use super::Control;
use super::documents::{CallError, unexpected_reply};
use super::state::{Command, Reply};
use crate::clock::epoch_ms;
use crate::config::Refusal;
use crate::rollout::{Order, OrderOutcome, Rollout, Stage};
use crate::telemetry::render_gauges;

/// Longest name of a release, in bytes: every message about its endpoints contains it.
const MAX_VERSION_BYTES: usize = 64;
/// Shortest duration of a rollout: a shorter one would end before routers report its answers.
const MIN_DURATION: Duration = Duration::from_secs(1);
/// Longest duration of a rollout: a longer one is assumed to be a mistake in the unit.
const MAX_DURATION: Duration = Duration::from_secs(7 * 24 * 3_600);

fn refusal(field: &str, problem: &str, remedy: &str) -> CallError {
    CallError::Invalid(Refusal {
        field: field.to_string(),
        problem: problem.to_string(),
        remedy: remedy.to_string(),
    })
}

fn check(service: &str, version: &str, duration: Duration) -> Result<(), CallError> {
    if service.is_empty() {
        return Err(refusal("service", "is empty", "name a service"));
    }
    let is_legal = |c: char| c.is_ascii_alphanumeric() || "._-+".contains(c);
    let is_version = !version.is_empty() && version.chars().all(is_legal);
    if !is_version || version.len() > MAX_VERSION_BYTES {
        let remedy = "give 1 to 64 letters, digits, dots, dashes, underscores or pluses";
        return Err(refusal("version", "is not the name of a release", remedy));
    }
    if duration < MIN_DURATION || duration > MAX_DURATION {
        return Err(refusal("duration", "is too short or too long", "give 1 s to 7 days"));
    }
    Ok(())
}

impl Control {
    /// Accepts an order to roll out a release, once it is on the disks of a majority.
    /// The same order sent again changes nothing.
    pub async fn order_rollout(
        &self,
        service: &str,
        version: &str,
        duration: Duration,
    ) -> Result<(), CallError> {
        check(service, version, duration)?;
        // Before the first document no service is known, so the order cannot be checked yet.
        if self.read_document().await?.is_none() {
            return Err(CallError::Uncertain);
        }
        let order = Order {
            service: service.to_string(),
            version: version.to_string(),
            at_ms: epoch_ms(),
            duration_ms: duration.as_millis() as u64,
        };
        match self.handle.propose(Command::StartRollout(order)).await? {
            Reply::Rollout(outcome) => {
                let seconds = duration.as_secs_f64();
                log::info!(
                    "rollout: order of {version} for {service} within {seconds} s: {outcome:?}"
                );
                match outcome {
                    OrderOutcome::Accepted => Ok(()),
                    OrderOutcome::InProgress => Err(CallError::RolloutInProgress),
                    OrderOutcome::UnknownService => Err(CallError::UnknownService),
                }
            }
            other => Err(unexpected_reply(&other)),
        }
    }

    /// The newest rollout of a service, as agreed.
    pub async fn read_rollout(&self, service: &str) -> Result<Rollout, CallError> {
        self.handle.read().await?;
        let name = service.to_string();
        let rollout =
            self.handle.inspect(move |state| state.rollouts().get(&name).cloned()).await?;
        rollout.ok_or(CallError::NoRollout)
    }

    /// Metrics: the number of rollouts in each stage, as applied on this host, and, on the leader,
    /// the totals of the rollouts that it conducts.
    pub(super) fn render_rollout_metrics(&self) -> String {
        let table = self.rollouts.table();
        let count = |stage| table.all().filter(|rollout| rollout.stage == stage).count() as u64;
        let all = super::rollout_controller::progress(self);
        let sum =
            |field: fn(&crate::rollout::Progress) -> u64| all.values().map(field).sum::<u64>();
        let figures = [
            ("canary", count(Stage::Canary)),
            ("shifting", count(Stage::Shifting)),
            ("done", count(Stage::Done)),
            ("rolled_back", count(Stage::RolledBack)),
            ("led", all.len() as u64),
            ("permille", sum(|progress| u64::from(progress.permille))),
            ("sent_new", sum(|progress| progress.sent_new)),
            ("sent_old", sum(|progress| progress.sent_old)),
            ("failed_new", sum(|progress| progress.failed_new)),
            ("failed_old", sum(|progress| progress.failed_old)),
        ];
        render_gauges("bramblecrank_control_rollouts", &figures)
    }
}
