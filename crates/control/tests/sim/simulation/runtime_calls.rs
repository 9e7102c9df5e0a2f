//! Calls of companions to task runtimes, and the attempts there.

use rand::RngExt;
use toucanquay_control::agent::{Action, Event as AgentEvent, Outcome};
use toucanquay_model::{Time, exchange::TaskState};

use super::super::runtime::AttemptKey;
use super::{Event, MILLISECOND, SECOND, Simulation};

impl Simulation {
    /// Sends calls to the task runtime. A start can be slow, so that the companion gives up on it
    /// before it takes effect.
    pub(super) fn call_runtime(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            let is_slow = matches!(action, Action::Start { .. }) && self.fault_occurs(12);
            let delay = if is_slow {
                self.rng.random_range(SECOND..6 * SECOND)
            } else {
                self.rng.random_range(500..20 * MILLISECOND)
            };
            let this = &self.hosts[host];
            let (generation, incarnation) = (this.generation, this.incarnation);
            let local_time = this.clock.read(self.now);
            if is_slow && let Action::Start { grant, .. } = &action {
                let agent_event = AgentEvent::Task {
                    task: grant.task.clone(),
                    attempt: grant.attempt,
                    outcome: Outcome::StartUnanswered,
                };
                self.push(
                    SECOND,
                    Event::RuntimeOutcome(host, generation, incarnation, agent_event),
                );
            }
            self.push(
                delay,
                Event::RuntimeCall(host, generation, incarnation, action, local_time),
            );
        }
    }

    pub(super) fn on_runtime_call(
        &mut self,
        host: usize,
        incarnation: u64,
        action: Action,
        called_at: Time,
    ) {
        let local_time = self.hosts[host].clock.read(self.now);
        let key = match action {
            Action::Start { grant, deadline } => {
                let key = (grant.task.clone(), grant.attempt);
                let is_new = self.hosts[host]
                    .runtime
                    .start(&grant, deadline, local_time, self.now);
                if is_new {
                    self.on_start(host, incarnation, &key);
                } else if !self.hosts[host].runtime.attempts.contains_key(&key) {
                    self.send_outcome(host, incarnation, &key, Outcome::StartRefused);
                    return;
                }
                key
            }
            Action::Renew {
                task,
                attempt,
                deadline,
            } => {
                if let Some(record) = self.hosts[host].runtime.attempts.get_mut(&(task, attempt)) {
                    record.deadline = record.deadline.max(deadline);
                }
                return;
            }
            Action::Stop {
                task,
                attempt,
                with_checkpoint,
            } => {
                let key = (task, attempt);
                self.stop_task(host, &key, with_checkpoint);
                if self.is_running(host, &key) {
                    return;
                }
                key
            }
            Action::Throttle { .. } => return,
            Action::Forget { task, attempt } => {
                self.hosts[host].runtime.attempts.remove(&(task, attempt));
                return;
            }
            Action::List => {
                let tasks = self.hosts[host].runtime.list();
                let agent_event = AgentEvent::Listed { called_at, tasks };
                self.send_agent_event(host, incarnation, agent_event);
                return;
            }
        };
        let outcome = self.hosts[host].runtime.outcome(&key, called_at);
        self.send_outcome(host, incarnation, &key, outcome);
    }

    fn is_running(&self, host: usize, key: &AttemptKey) -> bool {
        let record = self.hosts[host].runtime.attempts.get(key);
        record.is_some_and(|record| record.state.holds_resources())
    }

    /// Schedules the end of an attempt that has started.
    fn on_start(&mut self, host: usize, incarnation: u64, key: &AttemptKey) {
        self.checker.check_start(key);
        if self.hosts[host].incarnation != incarnation {
            self.counts
                .increment("start of a former companion took effect");
        }
        let fails = self.hosts[host].fails_all_tasks || self.fault_occurs(8);
        let duration = if self.rng.random_range(0..20) == 0 {
            self.rng.random_range(20 * SECOND..60 * SECOND)
        } else {
            self.rng.random_range(200 * MILLISECOND..12 * SECOND)
        };
        let state = if fails {
            TaskState::Failed {
                reason: "exit code 1".to_owned(),
            }
        } else {
            TaskState::Finished
        };
        let generation = self.hosts[host].generation;
        self.push(
            duration,
            Event::TaskEnd(host, generation, key.clone(), state),
        );
    }

    /// Schedules the end of a running attempt that is asked to stop.
    fn stop_task(&mut self, host: usize, key: &AttemptKey, with_checkpoint: bool) {
        if !self.is_running(host, key) {
            return;
        }
        let record = &self.hosts[host].runtime.attempts[key];
        let progress = record.progress_before + 1 + (self.now - record.started_at) / SECOND;
        let checkpoint = with_checkpoint.then(|| progress.to_string());
        if with_checkpoint {
            self.counts.increment("eviction");
        }
        let delay = self.rng.random_range(10 * MILLISECOND..2 * SECOND);
        let generation = self.hosts[host].generation;
        let state = TaskState::Stopped { checkpoint };
        self.push(delay, Event::TaskEnd(host, generation, key.clone(), state));
    }

    pub(super) fn end_task(&mut self, host: usize, key: &AttemptKey, state: TaskState) {
        if !self.is_running(host, key) {
            return;
        }
        if matches!(state, TaskState::Failed { .. }) {
            self.counts.increment("task failed");
        }
        if let Some(record) = self.hosts[host].runtime.attempts.get_mut(key) {
            record.state = state.clone();
        }
        self.checker.ends.insert(key.clone(), state);
        let outcome = self.hosts[host].runtime.outcome(key, Time::ZERO);
        let incarnation = self.hosts[host].incarnation;
        self.send_outcome(host, incarnation, key, outcome);
    }

    pub(super) fn send_outcome(
        &mut self,
        host: usize,
        incarnation: u64,
        key: &AttemptKey,
        outcome: Outcome,
    ) {
        let agent_event = AgentEvent::Task {
            task: key.0.clone(),
            attempt: key.1,
            outcome,
        };
        self.send_agent_event(host, incarnation, agent_event);
    }

    fn send_agent_event(&mut self, host: usize, incarnation: u64, agent_event: AgentEvent) {
        let delay = self.rng.random_range(500..20 * MILLISECOND);
        let generation = self.hosts[host].generation;
        self.push(
            delay,
            Event::RuntimeOutcome(host, generation, incarnation, agent_event),
        );
    }
}
