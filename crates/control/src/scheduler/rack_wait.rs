//! Wait of a stage's tasks for the rack that holds their data.

use toucanquay_model::Time;
use toucanquay_policy::locality::Patience;

/// Wait of a stage's tasks for the rack that holds their data.
///
/// It is not recorded: its deadline follows from the job's recorded acceptance, so that a later
/// owner doesn't let the tasks wait for longer.
#[derive(Debug, Clone, Copy)]
pub(super) struct RackWait {
    pub(super) began_at: Time,
    pub(super) patience: Patience,
    /// The tasks have started near their data, or start anywhere from now on.
    pub(super) is_over: bool,
}
