//! The loop that drives the worker's tasks.

use std::{sync::Arc, time::Duration};

use slog::{debug, error, info, warn};
use tokio::{sync::mpsc, time::MissedTickBehavior};
use tokio_util::task::TaskTracker;
use toucanquay_control::agent::{Action, Agent, Event, Settings};
use toucanquay_model::{Error, Time, exchange::Command};

use super::{
    RuntimeClient, TaskSummary, action, exchange::PendingExchange, message::Message,
    usage_collector::UsageCollector,
};
use crate::Context;

/// Time between two looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two lists while tasks run, in milliseconds. It bounds how late the end of a task
/// is noticed.
const LIST_INTERVAL_MS: u64 = 250;

/// Least time between two reports, in milliseconds. It bounds the traffic when the owner always
/// has something to say.
const REPORT_INTERVAL_MIN_MS: u64 = 50;

/// Time after which an exchange is given up for a newer report when a task has ended, in
/// milliseconds.
const SUPERSEDE_DELAY_MS: u64 = 100;

/// Time between a failed exchange and the next one, in milliseconds.
const RETRY_DELAY_MS: u64 = 250;

/// Messages that wait for the loop.
const QUEUED_MESSAGES_MAX: usize = 1_024;

/// Drives the worker's tasks until the returned future is dropped. Tasks in the runtime then go on
/// until their lease deadline.
pub async fn run(context: Arc<Context>, runtime: RuntimeClient) {
    let (sender, mut messages) = mpsc::channel(QUEUED_MESSAGES_MAX);
    let mut driver = Driver::new(context, runtime, sender);
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(message) = messages.recv() => driver.handle_message(message),
            _ = ticks.tick() => driver.tick(),
        }
        driver.send_report();
        driver.publish_summary();
    }
}

struct Driver {
    context: Arc<Context>,
    runtime: Arc<RuntimeClient>,
    agent: Agent,
    usage: UsageCollector,
    messages: mpsc::Sender<Message>,
    calls: TaskTracker,
    exchange: Option<PendingExchange>,
    next_report_at: Time,
    next_list_at: Time,
    /// Whether a task has ended since the last report.
    is_report_urgent: bool,
    is_leaving: bool,
    violations: u64,
}

impl Driver {
    fn new(context: Arc<Context>, runtime: RuntimeClient, messages: mpsc::Sender<Message>) -> Self {
        let now = context.now();
        let settings = Settings {
            settle_micros: context.settings.settle_ms * 1_000,
            ..Settings::new(
                context.worker.clone(),
                context.incarnation,
                context.settings.resources(),
            )
        };
        Self {
            runtime: Arc::new(runtime),
            agent: Agent::new(settings, now),
            usage: UsageCollector::new(context.settings.service.clone(), now),
            messages,
            calls: TaskTracker::new(),
            exchange: None,
            next_report_at: now,
            next_list_at: now,
            is_report_urgent: false,
            is_leaving: false,
            violations: 0,
            context,
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::RuntimeEvent(event) => self.handle_event(event),
            Message::Usage { called_at, sample } => self.usage.add_sample(called_at, sample),
            Message::ExchangeEnded {
                sent_at,
                sequence,
                result,
            } => self.handle_result(sent_at, sequence, result),
        }
    }

    fn handle_event(&mut self, event: Event) {
        let before = self.agent.running();
        let actions = self.agent.observe(event, self.context.now());
        self.is_report_urgent |= self.agent.running() < before;
        self.execute(actions);
    }

    fn handle_result(&mut self, sent_at: Time, sequence: u64, result: Result<Command, Error>) {
        let current = self.exchange.as_ref().map(|exchange| exchange.sequence);
        if current != Some(sequence) {
            return;
        }
        let now = self.context.now();
        self.exchange = None;
        self.context.meters.count_exchange(result.is_ok());
        match result {
            Ok(command) => {
                self.next_report_at = sent_at.plus_millis(REPORT_INTERVAL_MIN_MS);
                self.context.register().learn(command.revision);
                self.update_revisions();
                let actions = self.agent.apply(&command, sent_at, now);
                debug!(self.context.log, "exchange"; "epoch" => command.epoch,
                    "sequence" => sequence, "grants" => command.grants.len(),
                    "stops" => command.stops.len(), "actions" => actions.len());
                self.execute(actions);
            }
            Err(error) => {
                let jitter_ms = rand::random_range(0..RETRY_DELAY_MS);
                self.next_report_at = now.plus_millis(RETRY_DELAY_MS + jitter_ms);
                debug!(self.context.log, "exchange_failed"; "sequence" => sequence,
                    "error" => %error);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.context.now();
        self.update_revisions();
        self.update_leaving(now);
        let actions = self.agent.tick(now);
        self.execute(actions);
        if self.agent.running() > 0 && now >= self.next_list_at {
            self.next_list_at = now.plus_millis(LIST_INTERVAL_MS);
            self.execute(vec![Action::List]);
        }
        if self.usage.close_window(&self.context.admission, now) && self.agent.running() > 0 {
            self.request_usage();
        }
    }

    fn update_leaving(&mut self, now: Time) {
        let is_leaving = self.context.admission.is_leaving();
        if is_leaving == self.is_leaving {
            return;
        }
        self.is_leaving = is_leaving;
        if is_leaving {
            let actions = self.agent.leave(now);
            info!(self.context.log, "tasks_leaving"; "running" => self.agent.running());
            self.execute(actions);
        } else {
            self.agent.stay();
            self.is_report_urgent = true;
            info!(self.context.log, "tasks_staying");
        }
    }

    fn update_revisions(&mut self) {
        let register = self.context.register();
        let (revision, latest_known) = (register.revision(), register.revision_known());
        drop(register);
        self.agent.configure(revision, latest_known);
    }

    /// Sends the next report when it is due.
    fn send_report(&mut self) {
        let now = self.context.now();
        let is_due = match &self.exchange {
            None => now >= self.next_report_at,
            // A report supersedes the one before: the owner should hear at once of free room, and of
            // a worker that takes tasks again.
            Some(exchange) => {
                self.is_report_urgent && now >= exchange.sent_at.plus_millis(SUPERSEDE_DELAY_MS)
            }
        };
        if !is_due || self.context.owner.borrow().is_none() {
            return;
        }
        let Some(mut report) = self.agent.report(now) else {
            return;
        };
        self.is_report_urgent = false;
        self.usage.drain_into(&mut report, now);
        let context = self.context.clone();
        let exchange = PendingExchange::start(context, report, now, self.messages.clone());
        self.exchange = Some(exchange);
    }

    /// Carries out actions at the runtime, each on its own, so that a slow one holds up no other.
    fn execute(&self, actions: Vec<Action>) {
        for action in actions {
            let (context, runtime) = (self.context.clone(), self.runtime.clone());
            let messages = self.messages.clone();
            self.calls.spawn(async move {
                let event = action::execute(&runtime, context.clock, &context.log, action).await;
                if let Some(event) = event {
                    // Without a receiver the loop has ended.
                    let _ = messages.send(Message::RuntimeEvent(event)).await;
                }
            });
        }
    }

    fn request_usage(&self) {
        let (context, runtime) = (self.context.clone(), self.runtime.clone());
        let messages = self.messages.clone();
        self.calls.spawn(async move {
            let called_at = context.now();
            match runtime.usage().await {
                Ok(sample) => {
                    // Without a receiver the loop has ended.
                    let _ = messages.send(Message::Usage { called_at, sample }).await;
                }
                Err(error) => warn!(context.log, "usage_failed"; "reason" => ?error),
            }
        });
    }

    /// Tells the rest of the companion what the tasks do.
    fn publish_summary(&mut self) {
        let running = u32::try_from(self.agent.running()).unwrap_or(u32::MAX);
        let summary = TaskSummary {
            running,
            is_drained: self.agent.is_drained(),
        };
        self.context.meters.set_tasks(running);
        self.context.tasks.send_if_modified(|known| {
            let is_changed = *known != summary;
            *known = summary;
            is_changed
        });
        if self.agent.violations() > self.violations {
            self.violations = self.agent.violations();
            self.context.meters.count_violation(1);
            error!(self.context.log, "invariant_violated"; "invariant" => 1,
                "what" => "tasks hold more than the worker's capacity",
                "held" => %self.agent.held());
        }
    }
}
