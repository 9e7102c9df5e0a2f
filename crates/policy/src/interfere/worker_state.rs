//! A worker, as the interference model sees it.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use toucanquay_model::{Time, task};

use super::{service_load::ServiceLoad, task_history::TaskHistory};

/// Tasks and services of one worker.
#[derive(Debug, Default)]
pub(super) struct WorkerState {
    /// Ordered, so that sums and ties do not depend on the seed of a hash and runs can be repeated.
    pub running_tasks: BTreeMap<task::Id, TaskHistory>,
    /// Tasks that ended recently; late reports may describe the time in which they ran.
    pub ended_tasks: Vec<TaskHistory>,
    /// Services that run here.
    pub services: SmallVec<[ServiceLoad; 2]>,
    /// When a share last changed.
    pub last_change: Time,
    /// End of the last window that was learned from.
    pub last_window_start: Time,
}

impl WorkerState {
    /// Returns all tracks that may overlap a window of the past.
    pub fn histories_mut(&mut self) -> impl Iterator<Item = &mut TaskHistory> {
        self.running_tasks
            .values_mut()
            .chain(self.ended_tasks.iter_mut())
    }

    pub fn histories(&self) -> impl Iterator<Item = &TaskHistory> {
        self.running_tasks.values().chain(self.ended_tasks.iter())
    }

    /// Remembers that a service runs here and, if its load is high in two windows that follow each
    /// other, when. A single high window is chance in calm.
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
