//! Move of a perpetual task that makes room for another one.

use toucanquay_model::Time;

use super::key::{HostKey, JobKey, RunKey};

/// Move of a perpetual task to another host, so that a waiting one fits where it ran.
#[derive(Debug, Clone, Copy)]
pub(super) struct Relocation {
    /// Attempt that is stopped.
    pub(super) run: RunKey,
    /// Host that the task leaves.
    pub(super) from: HostKey,
    /// Host that has room for the task.
    pub(super) to: HostKey,
    /// Job and stage of the task.
    pub(super) stage: (JobKey, usize),
    /// Job and stage that wait for the room.
    pub(super) waiting_stage: (JobKey, usize),
    /// When the hosts take other tasks again although the attempt has not ended.
    pub(super) expires_at: Time,
}

impl Relocation {
    /// Returns whether a host is closed for the tasks of a stage until the move is over.
    pub(super) fn is_closed(&self, host: HostKey, stage: (JobKey, usize)) -> bool {
        let is_room_taken = host == self.from && stage != self.waiting_stage;
        let is_target_taken = host == self.to && stage != self.stage;
        is_room_taken || is_target_taken
    }
}
