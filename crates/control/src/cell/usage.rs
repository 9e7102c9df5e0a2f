//! Limits of teams and what they use.

use std::collections::BTreeMap;

use toucanquay_model::{Resources, Section, job::Spec, section::State};

/// Limits of teams by the configuration, and the resources that their tasks hold.
#[derive(Debug, Clone, Default)]
pub(super) struct Usage {
    sections: BTreeMap<String, Section>,
    teams: BTreeMap<String, Resources>,
    kinds: BTreeMap<(String, String), u32>,
}

impl Usage {
    pub(super) fn configure(&mut self, sections: BTreeMap<String, Section>) {
        self.sections = sections;
    }

    /// Returns the state of a team, or `None` when the configuration lacks it.
    pub(super) fn state(&self, team: &str) -> Option<State> {
        self.sections.get(team).map(|section| section.state)
    }

    /// Tells whether one more task of the job stays within the limits.
    pub(super) fn admits(&self, spec: &Spec) -> bool {
        let Some(section) = self.sections.get(&spec.team) else {
            return true;
        };
        let held = self.teams.get(&spec.team).copied().unwrap_or_default();
        let is_within_quota = section
            .quota
            .is_none_or(|quota| held.plus(&spec.demand).fits(&quota));
        let running_max = section
            .batch
            .get(&spec.kind)
            .and_then(|batch| batch.running_max);
        is_within_quota && running_max.is_none_or(|most| self.running(spec) < most)
    }

    /// Counts one more task of the job.
    pub(super) fn take(&mut self, spec: &Spec) {
        let held = self.teams.entry(spec.team.clone()).or_default();
        *held = held.plus(&spec.demand);
        *self.kinds.entry(kind(spec)).or_default() += 1;
    }

    /// Counts one task less of the job.
    pub(super) fn give_back(&mut self, spec: &Spec) {
        if let Some(held) = self.teams.get_mut(&spec.team) {
            *held = held.saturating_sub(&spec.demand);
        }
        if let Some(running) = self.kinds.get_mut(&kind(spec)) {
            *running = running.saturating_sub(1);
        }
    }

    fn running(&self, spec: &Spec) -> u32 {
        self.kinds.get(&kind(spec)).copied().unwrap_or_default()
    }
}

fn kind(spec: &Spec) -> (String, String) {
    (spec.team.clone(), spec.kind.clone())
}
