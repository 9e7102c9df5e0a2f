//! Event loop that manages the worker's tasks.

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

/// Interval between checks for due work.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between list requests while tasks run, in milliseconds. Bounds the delay until the end
/// of a task is noticed.
const LIST_INTERVAL_MS: u64 = 250;

/// Minimum interval between two reports, in milliseconds. Limits the traffic when the owner always
/// has commands and responds at once.
const REPORT_INTERVAL_MIN_MS: u64 = 50;

/// Minimum age of a pending exchange, in milliseconds, before an urgent report replaces it.
const SUPERSEDE_DELAY_MS: u64 = 100;

/// Minimum delay before the next report after a failed exchange, in milliseconds. A random delay of
/// up to the same length is added.
const RETRY_DELAY_MS: u64 = 250;

/// Maximum number of messages queued for the event loop.
const QUEUED_MESSAGES_MAX: usize = 1_024;

/// Manages the worker's tasks until the returned future is dropped. Tasks in the runtime then
/// continue until their lease deadline.
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
    /// Whether the next report may replace a pending exchange: a task has ended, or the worker
    /// accepts tasks again.
    is_report_urgent: bool,
    is_leaving: bool,
    /// Number of capacity violations that have been counted in the metrics and logged.
    reported_violations: u64,
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
            reported_violations: 0,
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
            } => self.handle_exchange_result(sent_at, sequence, result),
        }
    }

    fn handle_event(&mut self, event: Event) {
        let running_before = self.agent.running_attempts();
        let actions = self.agent.handle_event(event, self.context.now());
        self.is_report_urgent |= self.agent.running_attempts() < running_before;
        self.execute(actions);
    }

    fn handle_exchange_result(
        &mut self,
        sent_at: Time,
        sequence: u64,
        result: Result<Command, Error>,
    ) {
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
                self.context.register().observe_revision(command.revision);
                self.update_revisions();
                let actions = self.agent.apply_command(&command, sent_at, now);
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
        if self.agent.running_attempts() > 0 && now >= self.next_list_at {
            self.next_list_at = now.plus_millis(LIST_INTERVAL_MS);
            self.execute(vec![Action::List]);
        }
        if self.usage.close_window(&self.context.admission, now)
            && self.agent.running_attempts() > 0
        {
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
            let actions = self.agent.start_draining(now);
            info!(self.context.log, "tasks_leaving"; "running" => self.agent.running_attempts());
            self.execute(actions);
        } else {
            self.agent.stop_draining();
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

    /// Sends the next report if it is due.
    fn send_report(&mut self) {
        let now = self.context.now();
        let is_due = match &self.exchange {
            None => now >= self.next_report_at,
            // An urgent report replaces a pending exchange: the owner should learn at once of free
            // capacity and of a worker that accepts tasks again.
            Some(exchange) => {
                self.is_report_urgent && now >= exchange.sent_at.plus_millis(SUPERSEDE_DELAY_MS)
            }
        };
        if !is_due || self.context.owner.borrow().is_none() {
            return;
        }
        let Some(mut report) = self.agent.next_report(now) else {
            return;
        };
        self.is_report_urgent = false;
        self.usage.drain_into(&mut report, now);
        let context = self.context.clone();
        let exchange = PendingExchange::start(context, report, now, self.messages.clone());
        self.exchange = Some(exchange);
    }

    /// Executes actions at the runtime concurrently, so that a slow one does not delay the
    /// others.
    fn execute(&self, actions: Vec<Action>) {
        for action in actions {
            let (context, runtime) = (self.context.clone(), self.runtime.clone());
            let messages = self.messages.clone();
            self.calls.spawn(async move {
                let event = action::execute(&runtime, context.clock, &context.log, action).await;
                if let Some(event) = event {
                    // Fails only when the event loop has ended.
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
                    // Fails only when the event loop has ended.
                    let _ = messages.send(Message::Usage { called_at, sample }).await;
                }
                Err(error) => warn!(context.log, "usage_failed"; "reason" => ?error),
            }
        });
    }

    /// Publishes the task summary for heartbeats and the graceful stop, and updates the metrics.
    ///
    /// A violation of the capacity invariant is counted and logged.
    fn publish_summary(&mut self) {
        let running = u32::try_from(self.agent.running_attempts()).unwrap_or(u32::MAX);
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
        if self.agent.capacity_violations() > self.reported_violations {
            self.reported_violations = self.agent.capacity_violations();
            self.context.meters.count_violation(1);
            error!(self.context.log, "invariant_violated"; "invariant" => 1,
                "what" => "tasks hold more than the worker's capacity",
                "held" => %self.agent.held_resources());
        }
    }
}
