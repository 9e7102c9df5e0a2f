//! Injected faults and planned changes.

use rand::RngExt;
use toucanquay_model::task;

use super::{Event, MILLISECOND, SECOND, Simulation, sections};

impl Simulation {
    pub(super) fn inject_fault(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        let owner = self.rng.random_range(0..2);
        match self.rng.random_range(0..100) {
            0..40 => self.submit(),
            40..45 => self.cancel_jobs(1),
            45..46 => self.cancel_jobs(8),
            46..54 => self.evict_tasks(),
            54..58 => {
                let duration = self.rng.random_range(SECOND..25 * SECOND);
                self.pause_owner(owner, duration);
            }
            58..59 => {
                if self.owners[owner].cell.is_some() {
                    self.counts.increment("owner killed");
                }
                self.owners[owner].reset();
            }
            59..61 => self.store.down_until = self.now + self.rng.random_range(SECOND..12 * SECOND),
            61..64 => self.store.slow_until = self.now + self.rng.random_range(SECOND..8 * SECOND),
            64..71 => self.restart_agent(host),
            71..73 => {
                if self.hosts[host].runtime.running().count() > 0 {
                    self.counts.increment("worker lost beside running tasks");
                }
                self.replace_host(host);
            }
            73..75 => self.drain_worker(host),
            75..76 => self.hosts[host].fails_all_tasks = true,
            76..78 => self.hosts[host].fails_all_tasks = false,
            78..81 => self.change_configuration(owner),
            81..92 => self.distribute_configuration(),
            92..97 => self.repeat_command(),
            _ => {}
        }
    }

    fn evict_tasks(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        let tasks: Vec<task::Id> = self.hosts[host]
            .runtime
            .running()
            .map(|(key, _)| key.0.clone())
            .collect();
        for owner in &mut self.owners {
            if let Some(cell) = &mut owner.cell
                && owner.paused_until <= self.now
            {
                for task in &tasks {
                    cell.evict(task);
                    cell.throttle(task, 50);
                }
            }
        }
    }

    fn pause_owner(&mut self, owner: usize, duration: u64) {
        let until = self.now + duration;
        let this = &mut self.owners[owner];
        if this.cell.is_some() && this.clock.read(until) > this.ownership_end {
            self.counts.increment("owner paused past its lease");
        }
        this.paused_until = this.paused_until.max(until);
    }

    /// Stops a companion, to be started again later.
    fn restart_agent(&mut self, host: usize) {
        let delay_seconds_max = if self.fault_occurs(40) { 14 } else { 3 };
        let restart_at = self.now
            + self
                .rng
                .random_range(10 * MILLISECOND..delay_seconds_max * SECOND);
        let this = &mut self.hosts[host];
        if this.agent.is_some() && this.runtime.running().count() > 0 {
            self.counts
                .increment("companion restart beside running tasks");
        }
        this.stop_agent(restart_at);
    }

    fn drain_worker(&mut self, host: usize) {
        let this = &mut self.hosts[host];
        let local_time = this.clock.read(self.now);
        let is_running = this.runtime.running().count() > 0;
        if let Some(agent) = &mut this.agent {
            if is_running {
                self.counts.increment("leaving beside running tasks");
            }
            let actions = agent.start_draining(local_time);
            self.call_runtime(host, actions);
        }
    }

    /// Publishes a new configuration revision. Some processes learn that it exists, and the process
    /// `owner` may also receive it.
    fn change_configuration(&mut self, owner: usize) {
        self.revision += 1;
        for (index, this) in self.owners.iter_mut().enumerate() {
            if let Some(cell) = &mut this.cell
                && self.rng.random_range(0..2) == 0
            {
                let held_revision = if index == owner { self.revision } else { 0 };
                cell.configure(sections(), held_revision, self.revision);
            }
        }
        for host in &mut self.hosts {
            if self.rng.random_range(0..2) == 0
                && let Some(agent) = &mut host.agent
            {
                agent.configure(host.revision, self.revision);
            }
        }
    }

    /// Delivers the last command again after a delay.
    fn repeat_command(&mut self) {
        if let Some((host, incarnation, command)) = self.last_command.clone() {
            let delay = self.rng.random_range(SECOND..20 * SECOND);
            self.push(delay, Event::Command(host, incarnation, command));
        }
    }

    /// Distributes the newest configuration to every process.
    fn distribute_configuration(&mut self) {
        for owner in &mut self.owners {
            if let Some(cell) = &mut owner.cell {
                cell.configure(sections(), self.revision, self.revision);
            }
        }
        for host in &mut self.hosts {
            host.revision = self.revision;
            if let Some(agent) = &mut host.agent {
                agent.configure(self.revision, self.revision);
            }
        }
    }

    /// Ends all faults and starts the recovery phase.
    pub(super) fn stop_faults(&mut self) {
        self.distribute_configuration();
        self.are_faults_stopped = true;
        self.store.down_until = 0;
        self.store.slow_until = 0;
        for owner in &mut self.owners {
            owner.paused_until = 0;
        }
        for host in &mut self.hosts {
            host.fails_all_tasks = false;
        }
    }
}
