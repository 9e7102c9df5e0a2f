//! Hosts that are kept for perpetual tasks.
//!
//! On a full service, smaller tasks use each gap as it opens, so that a task that needs more room
//! would wait for ever. A perpetual task has to run at all times, so a host is kept for it.

use smallvec::SmallVec;
use toucanquay_model::Resources;

use super::{Scheduler, host::Host, key::HostKey, stage_ref::StageRef};

/// Hosts for each one that may be kept for perpetual tasks.
const HOSTS_PER_RESERVATION: usize = 4;

impl Scheduler {
    /// Keeps a host for a stage of perpetual tasks that fits nowhere: the one with the most room,
    /// unless the stage has one already. Other tasks are not started there until the stage has no
    /// waiting task.
    pub(super) fn reserve_host(&mut self, stage: StageRef<'_>) {
        let owner = (stage.job, stage.index);
        let is_reserved = self.reservations.values().any(|other| *other == owner);
        // Room doesn't make a task that uses idle processors faster, and a gang needs several hosts.
        let is_suitable = stage.step.is_perpetual && !stage.step.uses_idle && !stage.step.is_gang;
        if is_reserved || !is_suitable || self.reservations.len() >= self.reservations_max() {
            return;
        }
        let hosts = self.hosts.iter();
        let candidates = hosts.filter(|(key, host)| {
            !self.reservations.contains_key(key)
                && !self.probes.contains_key(key)
                && self.will_fit(host, stage)
                && self.is_below_worker_limit(*key, stage)
        });
        let free_milli = |(_, host): &(HostKey, &Host)| host.free_resources().processors_milli;
        if let Some((key, _)) = candidates.max_by_key(free_milli) {
            self.reservations.insert(key, owner);
        }
    }

    /// Ends the reservations of stages without waiting tasks, and those of hosts that accept no
    /// tasks.
    pub(super) fn release_reservations(&mut self) {
        let is_over = |host: &HostKey, (job, index): &(super::key::JobKey, usize)| {
            let job = self.jobs.get(*job).filter(|job| !job.state.is_over());
            let stage = job.and_then(|job| job.stages.get(*index));
            let is_waiting = stage.is_some_and(super::stage::Stage::has_waiting);
            !is_waiting || self.hosts[*host].schedulable_worker().is_none()
        };
        let reservations = self.reservations.iter();
        let over: SmallVec<[HostKey; 4]> = reservations
            .filter(|(host, owner)| is_over(host, owner))
            .map(|(host, _)| *host)
            .collect();
        for host in over {
            self.reservations.remove(&host);
            self.mark_host_changed(host);
        }
    }

    /// Returns whether a host is kept for tasks of other stages.
    pub(super) fn is_kept_from(&self, host: HostKey, stage: StageRef<'_>) -> bool {
        self.reservations.contains_key(&host) && !stage.step.is_perpetual
    }

    fn reservations_max(&self) -> usize {
        let hosts = self.hosts.values();
        let live_hosts = hosts.filter(|host| host.schedulable_worker().is_some());
        (live_hosts.count() / HOSTS_PER_RESERVATION).max(1)
    }

    /// Returns whether a task of a stage fits on a host once the attempts there that end by
    /// themselves have ended.
    fn will_fit(&self, host: &Host, stage: StageRef<'_>) -> bool {
        let Some(worker) = self.allowed_worker(host, stage.pool, stage.step) else {
            return false;
        };
        let runs = host.runs.iter().filter_map(|key| self.runs.get(*key));
        let lasting = runs.filter(|run| {
            let step = self.jobs.get(run.job).and_then(|job| job.step(run.place));
            step.is_some_and(|step| step.is_perpetual) && !run.is_stopping
        });
        let occupied = lasting.fold(Resources::ZERO, |sum, run| sum.plus(&run.occupied));
        let room = worker.capacity.saturating_sub(&occupied);
        stage.step.occupied().fits(&room)
    }
}
