//! Tasks of one step in one occurrence.

use toucanquay_model::Time;
use toucanquay_policy::duration::Siblings;

use super::{
    rack_wait::RackWait,
    shortage::Shortage,
    task::{Phase, Task},
};

/// Tasks of one step in one occurrence of a job.
#[derive(Debug, Clone, Default)]
pub(super) struct Stage {
    pub(super) tasks: Vec<Task>,
    pub(super) done: usize,
    /// The preceding steps are complete, so the tasks may be placed.
    pub(super) is_open: bool,
    /// The last search for a host, if it found none.
    pub(super) shortage: Option<Shortage>,
    /// Wait of the tasks for the rack that holds their data, if they have waited.
    pub(super) rack_wait: Option<RackWait>,
    /// When a task is next searched whose move makes room.
    pub(super) move_search_at: Time,
    /// Durations of the tasks that are done.
    pub(super) siblings: Siblings,
}

impl Stage {
    pub(super) fn new(tasks: u32) -> Self {
        Self {
            tasks: vec![Task::default(); tasks as usize],
            ..Self::default()
        }
    }

    pub(super) const fn is_complete(&self) -> bool {
        self.done == self.tasks.len()
    }

    pub(super) fn has_waiting(&self) -> bool {
        let mut tasks = self.tasks.iter();
        self.is_open && tasks.any(|task| task.phase == Phase::Waiting)
    }

    /// Returns the number of tasks that may be placed and have no attempt.
    pub(super) fn waiting_tasks(&self) -> usize {
        if !self.is_open {
            return 0;
        }
        let is_waiting = |task: &&Task| task.phase == Phase::Waiting;
        self.tasks.iter().filter(is_waiting).count()
    }

    /// Returns the latest time at which a task of the stage is known to have run; before the first
    /// run, when the stage was opened.
    pub(super) fn last_ran_at(&self) -> Time {
        let ran_at = self.tasks.iter().map(|task| task.ran_at);
        ran_at.max().unwrap_or(Time::ZERO)
    }

    /// Marks a task as done. Returns `false` if it does not exist or is already done.
    pub(super) fn finish_task(&mut self, index: u32) -> bool {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return false;
        };
        if task.phase == Phase::Done {
            return false;
        }
        task.phase = Phase::Done;
        task.copy = None;
        task.checkpoint = None;
        self.done += 1;
        true
    }
}
