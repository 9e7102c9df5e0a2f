//! Starts and ends of tasks, and their accounts.

use toucanquay_model::{Resources, Time, task};

use super::{Backlog, processor_micros};
use crate::batch::{
    Assignment, WorkerResources,
    order::{Cursor, JobKey},
    round::Round,
    run::Run,
};

impl Backlog {
    /// Starts up to `max_assignments` waiting tasks in scheduling order and subtracts their
    /// reservations from `workers`.
    ///
    /// `cost` returns the cost of running a task of a kind on a worker, on the scale of
    /// [`placement_cost`](crate::interfere::InterferenceModel::placement_cost), or `None` if no
    /// task may start there.
    pub fn assign(
        &mut self,
        workers: &mut [WorkerResources],
        now: Time,
        max_assignments: usize,
        cost: impl Fn(&WorkerResources, &str) -> Option<f64>,
    ) -> Vec<Assignment> {
        self.mark_long_tasks(now);
        let candidates = self.settings.candidates;
        let mut round = Round::new(workers, &self.claims, candidates, self.offset, cost);
        let mut cursor = Cursor::default();
        let mut assignments = Vec::new();
        let mut same_job = None;
        while assignments.len() < max_assignments {
            if let Some(key) = self.next_starved(&mut cursor, now) {
                self.start(key, 1, &mut round, now, &mut assignments);
                continue;
            }
            let next = same_job.or_else(|| self.order.next_ranked(&mut cursor, now));
            let Some(key) = next else {
                break;
            };
            let level = self.level(key);
            let count = (max_assignments - assignments.len()).min(self.starts_before_starved());
            let has_more_waiting = self.start(key, count, &mut round, now, &mut assignments);
            // Starting tasks can demote the job; it then waits for its turn in the lower level.
            same_job = (has_more_waiting && self.level(key) == level).then_some(key);
        }
        self.offset = round.offset();
        assignments
    }

    pub(super) fn level(&self, key: JobKey) -> Option<usize> {
        self.jobs[key].order_key.map(|order_key| order_key.level)
    }

    /// Starts up to `count` tasks of a job. Returns whether all of them started and more are
    /// waiting.
    fn start<Cost: Fn(&WorkerResources, &str) -> Option<f64>>(
        &mut self,
        key: JobKey,
        count: usize,
        round: &mut Round<'_, Cost>,
        now: Time,
        assignments: &mut Vec<Assignment>,
    ) -> bool {
        for _ in 0..count {
            let Some(assignment) = self.start_one(key, round, now) else {
                return false;
            };
            assignments.push(assignment);
        }
        !self.jobs[key].waiting.is_empty()
    }

    fn start_one<Cost: Fn(&WorkerResources, &str) -> Option<f64>>(
        &mut self,
        key: JobKey,
        round: &mut Round<'_, Cost>,
        now: Time,
    ) -> Option<Assignment> {
        let entry = &self.jobs[key];
        let (&index, &earlier_micros) = entry.waiting.first_key_value()?;
        let reservation = match self.admit(entry, earlier_micros) {
            Ok(reservation) => reservation,
            Err(reason) => {
                self.exclude_if_unschedulable(key, &reason);
                return None;
            }
        };
        let is_overdue = entry.job.finish_by.is_some_and(|deadline| deadline <= now);
        if is_overdue
            && entry
                .order_key
                .is_some_and(|order_key| order_key.start_by.is_some())
        {
            self.update_order(key, now);
        }
        let entry = &self.jobs[key];
        let Some(worker_index) = round.select_worker(key, &reservation, &entry.job.kind) else {
            self.claim_if_starved(key, &reservation, round, now);
            return None;
        };
        round.reserve(worker_index, &reservation);
        let task = task::Id::new(entry.job.id.clone(), index);
        self.move_to_running(key, index, earlier_micros, reservation, now);
        Some(Assignment {
            task,
            worker_index,
            reservation,
        })
    }

    /// Moves a task from waiting to running.
    fn move_to_running(
        &mut self,
        key: JobKey,
        index: u32,
        earlier_micros: u64,
        reservation: Resources,
        now: Time,
    ) {
        let is_starved = self.is_starved(self.jobs[key].waiting_since, now);
        self.starts_in_order = if is_starved {
            0
        } else {
            self.starts_in_order.saturating_add(1)
        };
        let entry = &mut self.jobs[key];
        entry.waiting.remove(&index);
        entry.waiting_since = now;
        self.waiting_count -= 1;
        self.claims.retain(|(claimant, _)| *claimant != key);
        self.record_start(key, index, earlier_micros, reservation, now);
        self.update_order(key, now);
    }

    /// Adds a running task to the accounts of its team, its kind and long tasks.
    pub(super) fn record_start(
        &mut self,
        key: JobKey,
        index: u32,
        earlier_micros: u64,
        reservation: Resources,
        now: Time,
    ) {
        let entry = &mut self.jobs[key];
        let kind = &mut self.groups.kinds[entry.kind];
        let team = &mut self.groups.teams[entry.team];
        team.reserved = team.reserved.plus(&reservation);
        kind.running += 1;
        let charged = processor_micros(kind.median_run_micros(), &reservation);
        entry.attained_service += charged;
        let is_long =
            earlier_micros >= self.settings.short_task_max_micros || kind.is_long(&self.settings);
        let long_at = now.plus_micros(
            self.settings
                .short_task_max_micros
                .saturating_sub(earlier_micros),
        );
        let run = Run {
            reservation,
            started_at: now,
            earlier_micros,
            charged,
            is_long,
            long_at,
        };
        self.long_tasks.add(key, index, &run);
        entry.runs.insert(index, run);
    }

    /// Reverses [`record_start`](Self::record_start), except for the job's attained service.
    pub(super) fn record_end(&mut self, key: JobKey, index: u32, run: &Run) {
        let entry = &self.jobs[key];
        let team = &mut self.groups.teams[entry.team];
        team.reserved = team.reserved.saturating_sub(&run.reservation);
        self.groups.kinds[entry.kind].running -= 1;
        self.long_tasks.remove(key, index, run);
    }

    /// Reclassifies as long the tasks whose run time has reached the limit for short tasks.
    fn mark_long_tasks(&mut self, now: Time) {
        while let Some((key, index)) = self.long_tasks.pop_pending(now) {
            let entry = &mut self.jobs[key];
            if let Some(run) = entry.runs.get_mut(&index) {
                run.is_long = true;
                self.long_tasks.add(key, index, run);
            }
        }
    }
}
