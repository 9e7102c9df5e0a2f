//! First-in-first-out baseline.

use std::collections::VecDeque;

use toucanquay_model::{Resources, job, task};
use toucanquay_policy::batch::{Assignment, Job, WorkerResources};

/// Queue of tasks in order of arrival, with head-of-line blocking.
#[derive(Debug, Default)]
pub struct Fifo {
    tasks: VecDeque<(task::Id, Resources)>,
}

impl Fifo {
    pub fn push(&mut self, job: &Job, indexes: impl Iterator<Item = u32>) {
        for index in indexes {
            let task = task::Id::new(job.id.clone(), index);
            self.tasks.push_back((task, job.demand));
        }
    }

    pub fn remove_job(&mut self, job: &job::Id) {
        self.tasks.retain(|(task, _)| task.job != *job);
    }

    pub fn assign(&mut self, workers: &mut [WorkerResources]) -> Vec<Assignment> {
        let mut assignments = Vec::new();
        while let Some((task, demand)) = self.tasks.front() {
            let Some(worker_index) = workers.iter().position(|worker| demand.fits(&worker.free))
            else {
                break;
            };
            workers[worker_index].free = workers[worker_index].free.saturating_sub(demand);
            assignments.push(Assignment {
                task: task.clone(),
                worker_index,
                reservation: *demand,
            });
            self.tasks.pop_front();
        }
        assignments
    }
}
