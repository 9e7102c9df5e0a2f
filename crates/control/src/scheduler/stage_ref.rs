//! A stage whose tasks are placed.

use toucanquay_model::graph::Step;

use super::key::JobKey;

/// Stage whose tasks are placed, with the properties that they share.
#[derive(Debug, Clone, Copy)]
pub(super) struct StageRef<'a> {
    pub(super) job: JobKey,
    pub(super) index: usize,
    pub(super) step: &'a Step,
    pub(super) pool: &'a str,
    /// Key of the step's image in the interference model.
    pub(super) image: usize,
    /// The tasks are started even where they would be slow.
    pub(super) accepts_any_speed: bool,
}
