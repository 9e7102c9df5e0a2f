//! State that the interference model keeps for one worker.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use toucanquay_model::{Time, task};

use super::{service_load::ServiceLoad, task_history::TaskHistory};

/// Tasks and services of one worker.
#[derive(Debug, Default)]
pub(super) struct WorkerState {
    /// Running tasks. The map is ordered so that sums and ties do not depend on a hash seed and
    /// runs are reproducible.
    pub running_tasks: BTreeMap<task::Id, TaskHistory>,
    /// Recently ended tasks. Delayed reports may cover the time in which they ran.
    pub ended_tasks: Vec<TaskHistory>,
    /// Services that run on the worker.
    pub services: SmallVec<[ServiceLoad; 2]>,
    /// Time of the last change of a share or the last eviction.
    pub last_change: Time,
    /// Start of the latest window from which the model has learned.
    pub last_window_start: Time,
}

impl WorkerState {
    /// Returns the histories of all tasks that may overlap a past window.
    pub fn histories_mut(&mut self) -> impl Iterator<Item = &mut TaskHistory> {
        self.running_tasks
            .values_mut()
            .chain(self.ended_tasks.iter_mut())
    }

    /// Returns the histories of all tasks that may overlap a past window.
    pub fn histories(&self) -> impl Iterator<Item = &TaskHistory> {
        self.running_tasks.values().chain(self.ended_tasks.iter())
    }

    /// Records that a service runs on the worker, and the time of a peak if its load is high in two
    /// consecutive windows. A single window can be high by chance under low load.
    pub fn record_load(&mut self, service: usize, is_high: bool, at: Time) {
        let known = self
            .services
            .iter()
            .position(|known| known.service == service);
        let index = known.unwrap_or_else(|| {
            self.services.push(ServiceLoad::new(service));
            self.services.len() - 1
        });
        self.services[index].record(is_high, at);
    }
}
