//! Load of the hosts, for logs and metrics.

use toucanquay_model::graph::Step;

use super::{Scheduler, stage::Stage};

/// Load of all connected workers, and the tasks that wait.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of workers that accept tasks.
    pub workers: usize,
    /// Processors of these workers, in thousandths.
    pub capacity_milli: u64,
    /// Processors that attempts on these workers reserve, in thousandths.
    pub reserved_milli: u64,
    /// Number of waiting tasks that reserve processors.
    pub waiting_reserving: usize,
    /// Number of waiting tasks that use idle processors.
    pub waiting_idle: usize,
    /// Number of waiting tasks that wait for the rack of their data although there may be room
    /// elsewhere.
    pub waiting_near: usize,
    /// Number of hosts that placement has scored so far. Its growth shows the work of placement.
    pub hosts_scored: u64,
}

impl Scheduler {
    /// Returns the load of all connected workers.
    #[must_use]
    pub fn load(&self) -> Load {
        let mut load = Load {
            hosts_scored: self.hosts_scored.get(),
            ..Load::default()
        };
        for host in self.hosts.values() {
            let Some(worker) = host.schedulable_worker() else {
                continue;
            };
            load.workers += 1;
            load.capacity_milli += u64::from(worker.capacity.processors_milli);
            load.reserved_milli += u64::from(host.used.processors_milli);
        }
        for job in self
            .waiting_jobs
            .iter()
            .filter_map(|key| self.jobs.get(*key))
        {
            let steps = job.spec.steps.iter().cycle();
            for (stage, step) in job.stages.iter().zip(steps) {
                load.add_waiting(stage, step);
            }
        }
        load
    }
}

impl Load {
    fn add_waiting(&mut self, stage: &Stage, step: &Step) {
        let waiting = if step.uses_idle {
            &mut self.waiting_idle
        } else {
            &mut self.waiting_reserving
        };
        *waiting += stage.waiting_tasks();
        if stage.rack_wait.is_some_and(|wait| !wait.is_over) {
            self.waiting_near += stage.waiting_tasks();
        }
    }
}
