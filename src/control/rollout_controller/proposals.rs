//! Steps of roll-outs that the leader proposes.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::control::Control;
use crate::control::state::Command;
use crate::dispatch::Millis;
use crate::rollout::{Stage, Step};

/// Milliseconds after which a step that was not agreed is proposed again.
const PROPOSE_EVERY_MS: Millis = 500;

/// The steps proposed last, by the number of their roll-outs, and when.
#[derive(Debug, Default)]
pub struct Proposals {
    last: BTreeMap<u64, (Stage, Millis)>,
}

impl Proposals {
    /// Whether a step is to be proposed now: it is another than before, or that one was
    /// not agreed for a while.
    pub fn is_due(&self, now: Millis, step: &Step) -> bool {
        let last = self.last.get(&step.number);
        last.is_none_or(|(stage, at)| *stage != step.stage || now >= at + PROPOSE_EVERY_MS)
    }

    /// A step is proposed now.
    pub fn note(&mut self, now: Millis, step: &Step) {
        self.last.insert(step.number, (step.stage, now));
    }

    /// Proposes a step. What is not agreed on is decided again at a later tick, by
    /// whoever leads then.
    pub fn propose(&mut self, control: &Arc<Control>, now: Millis, step: Step) {
        self.note(now, &step);
        let control = control.clone();
        tokio::spawn(async move {
            let (service, stage) = (step.service.clone(), step.stage);
            match control.handle.propose(Command::StepRollout(step)).await {
                Ok(_) => log::info!("rollout: {service} is agreed to be in stage {stage:?}"),
                Err(error) => log::warn!("rollout: {service} to {stage:?}: {error:?}"),
            }
        });
    }

    /// Forgets what was proposed for roll-outs that are no longer under way.
    pub fn retain(&mut self, is_under_way: impl Fn(u64) -> bool) {
        self.last.retain(|number, _| is_under_way(*number));
    }

    /// Forgets what was proposed.
    pub fn clear(&mut self) {
        self.last.clear();
    }
}
