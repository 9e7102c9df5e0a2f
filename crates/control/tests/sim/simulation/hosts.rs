//! Hosts: companions, their reports and the commands that reach them.

use rand::RngExt;
use toucanquay_control::agent::Outcome;
use toucanquay_model::{
    Time,
    exchange::{Command, TaskState},
};

use super::{CALL_TIMEOUT, Event, SECOND, Simulation};

impl Simulation {
    pub(super) fn poll_host(&mut self, host: usize) {
        let this = &mut self.hosts[host];
        if this.agent.is_none() && self.now >= this.restart_at {
            if this.runtime.running().count() > 0 {
                self.counts.increment("adoption after companion restart");
            }
            this.start_agent(host, self.now);
        }
        let local_time = this.clock.read(self.now);
        let Some(agent) = &mut this.agent else {
            return;
        };
        let actions = agent.tick(local_time);
        if agent.is_drained() {
            self.replace_host(host);
            return;
        }
        self.call_runtime(host, actions);
        self.send_report(host, local_time);
    }

    /// Sends the companion's next report unless one is outstanding. One in ten reports goes to the
    /// process that does not hold the owner lease.
    fn send_report(&mut self, host: usize, local_time: Time) {
        let this = &mut self.hosts[host];
        let is_waiting = this
            .outstanding_report
            .is_some_and(|(_, sent_at)| local_time < sent_at.plus_micros(CALL_TIMEOUT));
        let Some(agent) = this.agent.as_mut().filter(|_| !is_waiting) else {
            return;
        };
        let Some(report) = agent.next_report(local_time) else {
            return;
        };
        this.outstanding_report = Some((report.sequence, local_time));
        let holder = self.store.holder.map_or(0, |(holder, _)| holder);
        let owner = if self.fault_occurs(10) {
            1 - holder
        } else {
            holder
        };
        if self.fault_occurs(4) {
            self.counts.increment("report dropped");
            return;
        }
        let delay = self.message_delay();
        if delay > 2 * SECOND {
            self.counts.increment("report delayed over 2 s");
        }
        self.push(delay, Event::Report(owner, report.clone()));
        if self.fault_occurs(4) {
            self.counts.increment("report repeated");
            let delay = self.message_delay();
            self.push(delay, Event::Report(owner, report));
        }
    }

    pub(super) fn on_command(&mut self, host: usize, incarnation: u64, command: &Command) {
        let this = &mut self.hosts[host];
        let local_time = this.clock.read(self.now);
        if this.incarnation != incarnation {
            return;
        }
        let Some(agent) = &mut this.agent else {
            return;
        };
        if command.epoch < agent.epoch() {
            self.counts.increment("answer of an older epoch");
        }
        let (sequence, sent_at) = this.outstanding_report.unwrap_or((0, Time::ZERO));
        if sequence == command.sequence {
            this.outstanding_report = None;
        } else {
            self.counts.increment("answer to an earlier report");
        }
        let actions = agent.apply_command(command, sent_at, local_time);
        self.call_runtime(host, actions);
    }

    /// Ends the attempts whose lease deadline has passed on every runtime.
    pub(super) fn expire_tasks(&mut self) {
        for host in 0..self.hosts.len() {
            let local_time = self.hosts[host].clock.read(self.now);
            for key in self.hosts[host].runtime.expire(local_time) {
                self.counts
                    .increment("runtime ended a task at its lease deadline");
                let state = TaskState::Stopped { checkpoint: None };
                self.checker.ends.insert(key.clone(), state);
                let incarnation = self.hosts[host].incarnation;
                self.send_outcome(
                    host,
                    incarnation,
                    &key,
                    Outcome::Stopped { checkpoint: None },
                );
            }
        }
    }

    /// Replaces a host by an empty one, and loses its attempts and the calls in flight to it.
    pub(super) fn replace_host(&mut self, host: usize) {
        let restart_at = self.now + self.rng.random_range(SECOND..20 * SECOND);
        let this = &mut self.hosts[host];
        this.stop_agent(restart_at);
        this.generation += 1;
        this.runtime.attempts.clear();
        this.fails_all_tasks = false;
    }
}
