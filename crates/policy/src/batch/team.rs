//! Teams and their quotas.

use toucanquay_model::Resources;

/// What a team may hold and holds.
#[derive(Debug, Clone, Default)]
pub(super) struct Team {
    pub quota: Option<Resources>,
    pub reserved: Resources,
}

impl Team {
    /// Tells whether the team may hold `demand` on top of what it holds.
    pub fn admits(&self, demand: &Resources) -> bool {
        let Some(quota) = &self.quota else {
            return true;
        };
        self.reserved.plus(demand).fits(quota)
    }
}
