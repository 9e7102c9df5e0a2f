//! Evacuated availability zones, in which nothing is started.

use std::collections::{BTreeMap, BTreeSet};

use toucanquay_model::Time;

use super::{
    Event, Scheduler, Settings, Wait, host::Host, key::HostKey, key::JobKey, stage_ref::StageRef,
};

/// Maximum number of jobs that wait for evacuated zones and are reported at once.
const REPORTED_JOBS_MAX: usize = 16;

/// Maximum number of stages that are compared with the hosts in one search for such jobs.
const STAGES_MAX: usize = 32;

/// Evacuated zones, and how old the knowledge of them is.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    /// Evacuated zones, with the last time at which each was known not to be.
    zones: BTreeMap<String, Time>,
    /// Last time at which the zones were known.
    confirmed_at: Option<Time>,
    is_reported_outdated: bool,
}

impl Evacuations {
    /// Returns the last time at which a zone was known not to be evacuated, if it is now.
    pub(super) fn evacuated_after(&self, zone: &str) -> Option<Time> {
        self.zones.get(zone).copied()
    }

    /// Returns the time on an agent's clock from which starts may not begin any more. `None` if zones
    /// aren't evacuated.
    ///
    /// The agent sent its update before the owner received it, so that time which has passed since
    /// the receipt has also passed on the agent's clock since its stamp.
    pub(super) fn starts_until(&self, host: &Host, settings: &Settings) -> Option<Time> {
        let age_max = settings.evacuation_age_micros_max?;
        let known_at = host.evacuated_after.or(self.confirmed_at);
        let until = known_at.unwrap_or(Time::ZERO).plus_micros(age_max);
        let stamp = host.update_stamp.as_micros();
        let received_at = host.update_received_at.as_micros();
        let until = stamp.saturating_add(until.as_micros());
        Some(Time::from_micros(until.saturating_sub(received_at)))
    }

    fn is_outdated(&self, settings: &Settings, now: Time) -> bool {
        settings.evacuation_age_micros_max.is_some_and(|age_max| {
            let until = self.confirmed_at.map(|at| at.plus_micros(age_max));
            until.is_none_or(|until| now >= until)
        })
    }
}

impl Scheduler {
    /// Sets the evacuated zones, which were exactly these at `confirmed_at`.
    ///
    /// Attempts in these zones go on. The hosts of zones that are no longer evacuated are used at
    /// once.
    pub fn confirm_evacuations(&mut self, zones: &BTreeSet<String>, confirmed_at: Time) {
        let former_confirmation = self.evacuations.confirmed_at;
        self.evacuations.confirmed_at = former_confirmation.max(Some(confirmed_at));
        let current = &self.evacuations.zones;
        let returned = current.keys().filter(|zone| !zones.contains(*zone));
        let returned: Vec<String> = returned.cloned().collect();
        let added = zones.iter().filter(|zone| !current.contains_key(*zone));
        let added: Vec<String> = added.cloned().collect();
        for zone in returned {
            self.evacuations.zones.remove(&zone);
            let hosts = self.set_evacuated_after(&zone, None);
            for key in &hosts {
                self.mark_host_changed(*key);
            }
            self.is_placement_due = true;
            let hosts = hosts.len();
            self.events.push(Event::TakenBack { zone, hosts });
        }
        for zone in added {
            let known_at = former_confirmation.unwrap_or(Time::ZERO);
            self.evacuations.zones.insert(zone.clone(), known_at);
            let hosts = self.set_evacuated_after(&zone, Some(known_at));
            let attempts = hosts.iter().map(|key| self.hosts[*key].runs.len());
            self.events.push(Event::Evacuated {
                zone,
                hosts: hosts.len(),
                attempts: attempts.sum(),
            });
        }
    }

    /// Returns the number of evacuated zones.
    #[must_use]
    pub fn evacuated_zones(&self) -> usize {
        self.evacuations.zones.len()
    }

    /// Returns whether the evacuated zones are known well enough to start tasks in the others.
    pub(super) fn knows_evacuations(&self, now: Time) -> bool {
        !self.evacuations.is_outdated(&self.settings, now)
    }

    /// Reports once when starts end because evacuations aren't confirmed, and once when they are
    /// again.
    pub(super) fn report_outdated_evacuations(&mut self, now: Time) {
        let age_max = self.settings.evacuation_age_micros_max.unwrap_or(0);
        let is_first_due = now >= self.taken_over_at.plus_micros(age_max);
        let was_confirmed = self.evacuations.confirmed_at.is_some();
        let is_outdated = !self.knows_evacuations(now) && (was_confirmed || is_first_due);
        let was_outdated =
            std::mem::replace(&mut self.evacuations.is_reported_outdated, is_outdated);
        let confirmed_at = self.evacuations.confirmed_at;
        if is_outdated && !was_outdated {
            let age_ms = confirmed_at.map(|at| now.micros_since(at) / 1_000);
            self.events.push(Event::EvacuationsOutdated { age_ms });
        } else if was_outdated && !is_outdated {
            self.events.push(Event::EvacuationsConfirmed);
        }
    }

    /// Returns the wait for a host in an evacuated zone on which a task of a stage would fit.
    pub(super) fn evacuated_host(&self, stage: StageRef<'_>) -> Option<Wait> {
        if self.evacuations.zones.is_empty() {
            return None;
        }
        let hosts = self.hosts.iter();
        let (_, host) = hosts
            .filter(|(_, host)| host.evacuated_after.is_some())
            .find(|(key, _)| self.would_fit(*key, stage))?;
        let worker = host.worker.as_ref()?;
        Some(Wait::Evacuated {
            host: host.name.clone(),
            zone: worker.zone.clone(),
        })
    }

    /// Reports the jobs with tasks that fit only on hosts in evacuated zones. Perpetual tasks are
    /// reported by themselves.
    pub(super) fn report_evacuated_jobs(&mut self, now: Time) {
        if self.evacuations.zones.is_empty() || !self.is_owner(now) {
            return;
        }
        let mut stages_left = STAGES_MAX;
        let mut reports = Vec::new();
        for key in &self.waiting_jobs {
            if let Some((step, zone)) = self.evacuated_step(*key, &mut stages_left, now) {
                let job = self.jobs[*key].id;
                reports.push(Event::JobEvacuated { job, step, zone });
            }
        }
        reports.truncate(REPORTED_JOBS_MAX);
        self.events.append(&mut reports);
    }

    /// Returns the first step of a job, apart from perpetual ones, that fits only on hosts in
    /// evacuated zones, and the zone of one of them.
    fn evacuated_step(
        &self,
        key: JobKey,
        stages_left: &mut usize,
        now: Time,
    ) -> Option<(usize, String)> {
        let job = self.jobs.get(key).filter(|job| !job.state.is_over())?;
        let steps = job.spec.steps.iter().enumerate().cycle();
        let mut stages = job.stages.iter().enumerate().zip(steps);
        stages.find_map(|((index, waiting), (step_index, step))| {
            // A stage without a shortage has not been searched in vain.
            let is_short = waiting.has_waiting() && waiting.shortage.is_some();
            if step.is_perpetual || !is_short || *stages_left == 0 {
                return None;
            }
            *stages_left -= 1;
            let stage = StageRef {
                job: key,
                index,
                step,
                pool: self.pool(job),
                image: self
                    .interference
                    .image_key(step.image.as_deref().unwrap_or_default()),
                accepts_any_speed: self.accepts_any_speed(key, index, step, now),
            };
            let zone = match self.evacuated_host(stage)? {
                Wait::Evacuated { zone, .. } => zone,
                _ => return None,
            };
            (!self.fits_anywhere(stage, now)).then_some((step_index, zone))
        })
    }

    /// Returns whether a task of a stage would fit on an evacuated host.
    fn would_fit(&self, key: HostKey, stage: StageRef<'_>) -> bool {
        let host = &self.hosts[key];
        let is_allowed = host.open_worker().is_some_and(|worker| {
            let has_label = |label: &String| worker.labels.contains(label);
            worker.pool == stage.pool && stage.step.requires.as_ref().is_none_or(has_label)
        });
        let has_room = stage.step.occupied().fits(&host.free_resources());
        is_allowed && has_room && self.is_below_worker_limit(key, stage)
    }

    /// Sets the time after which the hosts of a zone are evacuated, and returns them.
    fn set_evacuated_after(&mut self, zone: &str, after: Option<Time>) -> Vec<HostKey> {
        let mut keys = Vec::new();
        for (key, host) in &mut self.hosts {
            if host
                .worker
                .as_ref()
                .is_some_and(|worker| worker.zone == zone)
            {
                host.evacuated_after = after;
                keys.push(key);
            }
        }
        keys
    }
}
