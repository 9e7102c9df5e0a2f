//! Teams and their quotas.

use toucanquay_model::Resources;

/// Quota and current reservations of a team.
#[derive(Debug, Clone, Default)]
pub(super) struct Team {
    pub quota: Option<Resources>,
    pub reserved: Resources,
}

impl Team {
    /// Returns whether `demand` fits the quota on top of the current reservations.
    pub fn admits(&self, demand: &Resources) -> bool {
        let Some(quota) = &self.quota else {
            return true;
        };
        self.reserved.plus(demand).fits(quota)
    }
}
