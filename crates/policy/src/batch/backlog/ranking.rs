//! Order of jobs, and starved jobs.

use toucanquay_model::{Resources, Time, job::Urgency};

use super::Backlog;
use crate::batch::{
    WorkerResources,
    job_entry::JobEntry,
    order::{Cursor, JobKey, OrderKey},
    round::Round,
};

/// Number of workers per permitted claim by a starved job. It bounds the share of the cell that
/// claims can leave idle.
const WORKERS_PER_CLAIM: usize = 16;

impl Backlog {
    /// Claims a worker for a starved job that currently fits nowhere. Without a claim, smaller
    /// tasks could fill every gap and keep the job waiting indefinitely.
    pub(super) fn claim_if_starved<Cost: Fn(&WorkerResources, &str) -> Option<f64>>(
        &mut self,
        key: JobKey,
        reservation: &Resources,
        round: &mut Round<'_, Cost>,
        now: Time,
    ) {
        let entry = &self.jobs[key];
        let claims_max = (self.fleet.len() / WORKERS_PER_CLAIM).max(1);
        let has_claim = self.claims.iter().any(|(claimant, _)| *claimant == key);
        let is_starved = self.is_starved(entry.waiting_since, now);
        if !is_starved || has_claim || self.claims.len() >= claims_max {
            return;
        }
        if let Some(worker) = round.choose_claim(reservation, &entry.job.kind) {
            round.claim(key, &worker);
            self.claims.push((key, worker));
        }
    }

    pub(super) fn next_starved(&self, cursor: &mut Cursor, now: Time) -> Option<JobKey> {
        if self.starts_in_order < self.settings.starts_between_starved {
            return None;
        }
        self.order
            .next_starved(cursor, |waiting_since| self.is_starved(waiting_since, now))
    }

    pub(super) fn starts_before_starved(&self) -> usize {
        let starts = self.settings.starts_between_starved;
        starts.saturating_sub(self.starts_in_order).max(1) as usize
    }

    /// Returns whether a job without a start since `waiting_since` counts as starved.
    pub(super) fn is_starved(&self, waiting_since: Time, now: Time) -> bool {
        waiting_since.plus_micros(self.settings.starved_micros) <= now
    }

    /// Recomputes a job's position in the order, or removes it if it has no schedulable task.
    pub(super) fn update_order(&mut self, key: JobKey, now: Time) {
        let entry = &self.jobs[key];
        let order_key = (!entry.waiting.is_empty()).then(|| self.order_key(entry, now));
        let is_unschedulable = order_key.is_some() && self.reservation(entry).is_err();
        let order_key = order_key.filter(|_| !is_unschedulable);
        let previous = entry.order_key;
        if is_unschedulable {
            self.unschedulable.insert(key);
        } else {
            self.unschedulable.remove(&key);
        }
        if previous == order_key {
            return;
        }
        if let Some(previous) = previous {
            self.order.remove(key, &previous);
        }
        if let Some(order_key) = order_key {
            self.order.insert(key, &order_key);
        }
        self.jobs[key].order_key = order_key;
    }

    fn order_key(&self, entry: &JobEntry, now: Time) -> OrderKey {
        let run_micros = self.groups.kinds[entry.kind].p90_run_micros();
        OrderKey {
            urgency: entry.job.urgency,
            level: match entry.job.urgency {
                Urgency::Urgent => 0,
                Urgency::Normal | Urgency::Idle => self.settings.level(entry.attained_service),
            },
            sequence: entry.sequence,
            start_by: entry.start_by(run_micros, self.settings.deadline_slack_micros, now),
            waiting_since: entry.waiting_since,
        }
    }
}
