//! Whether a task may start, and with which reservation.

use toucanquay_model::{Resources, Time};

use super::Backlog;
use crate::batch::{Job, Unschedulable, WaitReason, job_entry::JobEntry, order::JobKey};

impl Backlog {
    /// Returns the reservation for the job's next task, or why it may not start.
    pub(super) fn admit(
        &self,
        entry: &JobEntry,
        earlier_micros: u64,
    ) -> Result<Resources, WaitReason> {
        let reservation = self.reservation(entry).map_err(WaitReason::Unschedulable)?;
        let team = &self.groups.teams[entry.team];
        if let Some(quota) = team.quota.filter(|_| !team.admits(&reservation)) {
            let reserved = team.reserved;
            return Err(WaitReason::Quota { reserved, quota });
        }
        let kind = &self.groups.kinds[entry.kind];
        if kind.running_max.is_some_and(|max| kind.running >= max) {
            let running = kind.running;
            return Err(WaitReason::KindLimit { running });
        }
        let is_long =
            earlier_micros >= self.settings.short_task_max_micros || kind.is_long(&self.settings);
        if is_long && !self.fits_long_task_share(&reservation) {
            return Err(WaitReason::LongTaskShare);
        }
        Ok(reservation)
    }

    /// Returns whether `reservation` fits the share for long tasks. One long task may always run,
    /// whatever its size.
    fn fits_long_task_share(&self, reservation: &Resources) -> bool {
        let limit = self.fleet.total_processors_milli() as f64 * self.settings.long_task_share;
        let reserved = self.long_tasks.processors_milli();
        let wanted = reserved + u64::from(reservation.processors_milli);
        reserved == 0 || wanted as f64 <= limit
    }

    /// Returns the reservation for one task of the job.
    pub(super) fn reservation(&self, entry: &JobEntry) -> Result<Resources, Unschedulable> {
        self.reservation_for(&entry.job, Some(entry.team), Some(entry.kind))
    }

    pub(super) fn reservation_for(
        &self,
        job: &Job,
        team: Option<usize>,
        kind: Option<usize>,
    ) -> Result<Resources, Unschedulable> {
        let wanted = kind.map_or(job.demand, |kind| {
            self.groups.kinds[kind].reservation(&job.demand, &self.settings)
        });
        if self.fleet.is_empty() {
            return Ok(wanted);
        }
        let reservation = self.fleet.fit(&wanted, &job.demand)?;
        let quota = team.and_then(|team| self.groups.teams[team].quota);
        match quota {
            Some(quota) if !reservation.fits(&quota) => Err(Unschedulable::Quota {
                demand: reservation,
                team: job.team.clone(),
                quota,
            }),
            _ => Ok(reservation),
        }
    }

    pub(super) fn exclude_if_unschedulable(&mut self, key: JobKey, reason: &WaitReason) {
        if !matches!(reason, WaitReason::Unschedulable(_)) {
            return;
        }
        if let Some(order_key) = self.jobs[key].order_key.take() {
            self.order.remove(key, &order_key);
        }
        self.unschedulable.insert(key);
    }

    pub(super) fn recheck_unschedulable(&mut self, now: Time) {
        for key in std::mem::take(&mut self.unschedulable) {
            self.update_order(key, now);
        }
    }
}
