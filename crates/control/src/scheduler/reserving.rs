//! Hosts that are kept for perpetual tasks.
//!
//! On a full service, smaller tasks use each gap as it opens, so that a task that needs more room
//! would wait for ever. A perpetual task has to run at all times, so a host is kept for it.

use smallvec::SmallVec;
use toucanquay_model::{Resources, Time};

use super::{
    Event, Scheduler,
    host::Host,
    key::{HostKey, JobKey},
    stage::Stage,
    stage_ref::StageRef,
};

/// Hosts of a pool for each one that may be kept for perpetual tasks.
const HOSTS_PER_RESERVATION: usize = 4;

impl Scheduler {
    /// Keeps a host for a stage of perpetual tasks that fits nowhere: the one with the most room,
    /// unless the stage has one already that will fit. Other tasks are not started there until the
    /// stage has no waiting task.
    pub(super) fn reserve_host(&mut self, stage: StageRef<'_>, now: Time) {
        // Room doesn't make a task that uses idle processors faster, and a gang needs several hosts.
        let is_suitable = stage.step.is_perpetual && !stage.step.uses_idle && !stage.step.is_gang;
        if !is_suitable {
            return;
        }
        let waiting_stage = (stage.job, stage.index);
        let mut reservations = self.reservations.iter();
        let reserved = reservations.find(|(_, other)| **other == waiting_stage);
        if let Some(key) = reserved.map(|(key, _)| *key) {
            if self.can_wait_for(key, stage) {
                return;
            }
            self.release_reservation(key);
        }
        // A task that fits on the host of a probe waits only for the end of that.
        if !self.can_reserve(stage.pool) || self.fits_anywhere(stage, now) {
            return;
        }
        let hosts = self.hosts.iter();
        let candidates = hosts.filter(|(key, _)| {
            !self.reservations.contains_key(key)
                && !self.probes.contains_key(key)
                && self.can_wait_for(*key, stage)
        });
        let free_milli = |(_, host): &(HostKey, &Host)| host.free_resources().processors_milli;
        if let Some((key, host)) = candidates.max_by_key(free_milli) {
            self.events.push(Event::Kept {
                host: host.name.clone(),
                job: self.jobs[stage.job].id,
            });
            self.reservations.insert(key, waiting_stage);
        }
    }

    /// Returns whether a host will fit a task of a stage.
    pub(super) fn can_wait_for(&self, key: HostKey, stage: StageRef<'_>) -> bool {
        self.will_fit(&self.hosts[key], stage) && self.is_below_worker_limit(key, stage)
    }

    fn release_reservation(&mut self, key: HostKey) {
        self.reservations.remove(&key);
        self.mark_host_changed(key);
        self.events.push(Event::Released {
            host: self.hosts[key].name.clone(),
        });
    }

    /// Ends the reservations of stages without waiting tasks, and those of hosts that accept no
    /// tasks.
    pub(super) fn release_reservations(&mut self) {
        let is_over = |host: &HostKey, (job, index): &(JobKey, usize)| {
            let job = self.jobs.get(*job).filter(|job| !job.state.is_over());
            let stage = job.and_then(|job| job.stages.get(*index));
            let is_waiting = stage.is_some_and(Stage::has_waiting);
            !is_waiting || self.hosts[*host].schedulable_worker().is_none()
        };
        let reservations = self.reservations.iter();
        let over: SmallVec<[HostKey; 4]> = reservations
            .filter(|(host, waiting_stage)| is_over(host, waiting_stage))
            .map(|(host, _)| *host)
            .collect();
        for host in over {
            self.release_reservation(host);
        }
    }

    /// Returns whether a host is kept for tasks of other stages.
    pub(super) fn is_kept_from(&self, host: HostKey, stage: StageRef<'_>) -> bool {
        let is_reserved = self.reservations.contains_key(&host) && !stage.step.is_perpetual;
        let relocation = self.relocation.as_ref();
        is_reserved
            || relocation
                .is_some_and(|relocation| relocation.is_closed(host, (stage.job, stage.index)))
    }

    /// Returns whether one more host of a pool may be kept for perpetual tasks.
    fn can_reserve(&self, pool: &str) -> bool {
        let live_hosts = self.hosts.values().filter(|host| host.is_in_pool(pool));
        let kept_hosts = self.reservations.keys().map(|key| &self.hosts[*key]);
        let kept = kept_hosts.filter(|host| host.is_in_pool(pool)).count();
        kept < (live_hosts.count() / HOSTS_PER_RESERVATION).max(1)
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
