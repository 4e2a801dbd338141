//! The steps of rollouts that the leader proposes to the group.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::control::Control;
use crate::control::state::Command;
use crate::dispatch::Millis;
use crate::rollout::{Stage, Step};

/// Milliseconds after which a step that is still not agreed is proposed again.
const REPROPOSE_AFTER_MS: Millis = 500;

/// The stage proposed last for each rollout, by the rollout's number, and when.
#[derive(Debug, Default)]
pub struct Proposals {
    last: BTreeMap<u64, (Stage, Millis)>,
}

impl Proposals {
    /// Whether to propose a step now: it differs from the last one, or the last proposal is at
    /// least `REPROPOSE_AFTER_MS` old.
    pub fn is_due(&self, now: Millis, step: &Step) -> bool {
        let last = self.last.get(&step.number);
        last.is_none_or(|(stage, at)| *stage != step.stage || now >= at + REPROPOSE_AFTER_MS)
    }

    /// Records that a step is proposed now.
    pub fn record(&mut self, now: Millis, step: &Step) {
        self.last.insert(step.number, (step.stage, now));
    }

    /// Proposes a step. If it is not agreed, the leader at a later tick decides again.
    pub fn propose(&mut self, control: &Arc<Control>, now: Millis, step: Step) {
        self.record(now, &step);
        let control = control.clone();
        tokio::spawn(async move {
            let (service, stage) = (step.service.clone(), step.stage);
            match control.handle.propose(Command::StepRollout(step)).await {
                Ok(_) => log::info!("rollout: {service} agreed to enter stage {stage:?}"),
                Err(error) => {
                    log::warn!("rollout: {service} not agreed to enter stage {stage:?}: {error:?}")
                }
            }
        });
    }

    /// Forgets the proposals for rollouts that are no longer in progress.
    pub fn retain(&mut self, is_in_progress: impl Fn(u64) -> bool) {
        self.last.retain(|number, _| is_in_progress(*number));
    }

    /// Forgets all proposals.
    pub fn clear(&mut self) {
        self.last.clear();
    }
}
