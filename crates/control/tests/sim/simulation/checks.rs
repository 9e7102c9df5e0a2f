//! Invariants, and the state after recovery.

use std::collections::BTreeMap;

use toucanquay_control::{agent::Agent, cell::Cell};
use toucanquay_model::{job, task};

use super::Simulation;

impl Simulation {
    /// Checks that no worker exceeds its capacity, that no task runs on two workers, and that the
    /// state machines have counted no violation themselves.
    pub(super) fn check_invariants(&mut self) {
        let mut locations: BTreeMap<&task::Id, usize> = BTreeMap::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let used = host.runtime.used_resources();
            assert!(
                used.fits(&host.capacity),
                "capacity-exceeded: w{index} runs {used}"
            );
            for (key, _) in host.runtime.running() {
                let other = locations.insert(&key.0, index);
                assert!(
                    other.is_none(),
                    "task-in-two-places: {} on worker {index} and worker {other:?}",
                    key.0
                );
            }
        }
        for cell in self
            .owners
            .iter_mut()
            .filter_map(|owner| owner.cell.as_mut())
        {
            let violations = cell.take_violations();
            assert!(violations.is_empty(), "owner-violation: {violations:?}");
        }
        for (index, host) in self.hosts.iter().enumerate() {
            let current = host.agent.as_ref().map_or(0, Agent::capacity_violations);
            assert_eq!(
                host.former_violations + current,
                0,
                "capacity-counter: w{index} counted a violation"
            );
        }
    }

    /// Returns the cell of the process that last acquired the owner lease, if it has taken over.
    fn current_cell(&self) -> Option<&Cell> {
        let (holder, _) = self.store.holder?;
        let cell = self.owners[holder].cell.as_ref()?;
        (cell.epoch() == self.store.epoch && !cell.is_deposed()).then_some(cell)
    }

    /// Returns whether all workers are registered, no attempt runs, and every accepted job is over
    /// or fits no worker.
    pub(super) fn is_work_done(&self) -> bool {
        let Some(cell) = self.current_cell() else {
            return false;
        };
        let is_over = |id: &job::Id| {
            let status = cell.job_status(id);
            status.is_some_and(|status| status.is_over() || status.unfit.is_some())
        };
        cell.running_attempts() == 0
            && cell.worker_count() == self.hosts.len()
            && self.checker.accepted.iter().all(is_over)
    }

    /// Describes the jobs that are not over and the companions, for the failure message.
    pub(super) fn describe_unfinished(&self) -> String {
        let statuses = self
            .current_cell()
            .map(Cell::job_statuses)
            .unwrap_or_default();
        let unfinished = statuses.iter().filter(|status| !status.is_over());
        let agents = self.hosts.iter().map(|host| &host.agent);
        let agents: Vec<_> = agents.collect();
        format!("{:?}\n{agents:#?}", unfinished.collect::<Vec<_>>())
    }

    /// Checks that every accepted job that fits no worker is reported so, and that the counts of
    /// every other job, unless cancelled, account for all of its tasks.
    pub(super) fn check_final_state(&mut self) {
        self.checker.check_store(&self.store);
        let cell = self
            .current_cell()
            .expect("a cell has an owner after recovery");
        for id in &self.checker.accepted {
            let status = cell.job_status(id).expect("accepted job is known");
            let is_unfit = self.specs[id].demand.accelerators > 1;
            assert_eq!(status.unfit.is_some(), is_unfit, "unfit-not-named: {id}");
            assert!(
                status.is_cancelled || is_unfit || status.finished + status.failed == status.tasks,
                "completion-count: {status:?}"
            );
        }
    }
}
