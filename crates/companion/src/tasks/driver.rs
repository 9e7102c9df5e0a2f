//! The loop that drives the worker's tasks.

use std::{sync::Arc, time::Duration};

use slog::{debug, error, info, warn};
use tokio::{sync::mpsc, time::MissedTickBehavior};
use tokio_util::task::TaskTracker;
use toucanquay_control::agent::{Action, Agent, Event, Settings};
use toucanquay_model::{Error, Time, exchange::Command};

use super::{Load, Runtime, call, exchange::Exchange, news::News, usage::Usage};
use crate::Context;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// Time between two lists while tasks run, in milliseconds. It bounds how late the end of a task
/// is noticed.
const LIST_MS: u64 = 250;

/// Least time between two reports, in milliseconds. It bounds the traffic when the owner always
/// has something to say.
const REPORT_MS: u64 = 50;

/// Time after which an exchange is given up for a newer report when a task has ended, in
/// milliseconds.
const SUPERSEDE_MS: u64 = 100;

/// Time between a failed exchange and the next one, in milliseconds.
const RETRY_MS: u64 = 250;

/// Messages that wait for the loop.
const NEWS_MAX: usize = 1_024;

/// Drives the worker's tasks until the returned future is dropped. Tasks in the runtime then go on
/// until their lease deadline.
pub async fn run(context: Arc<Context>, runtime: Runtime) {
    let (sender, mut news) = mpsc::channel(NEWS_MAX);
    let mut driver = Driver::new(context, runtime, sender);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(news) = news.recv() => driver.take(news),
            _ = ticks.tick() => driver.tick(),
        }
        driver.exchange();
        driver.publish();
    }
}

struct Driver {
    context: Arc<Context>,
    runtime: Arc<Runtime>,
    agent: Agent,
    usage: Usage,
    news: mpsc::Sender<News>,
    calls: TaskTracker,
    exchange: Option<Exchange>,
    report_at: Time,
    list_at: Time,
    /// Whether a task has ended since the last report.
    has_news: bool,
    has_left: bool,
    violations: u64,
}

impl Driver {
    fn new(context: Arc<Context>, runtime: Runtime, news: mpsc::Sender<News>) -> Self {
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
            usage: Usage::new(context.settings.service.clone(), now),
            news,
            calls: TaskTracker::new(),
            exchange: None,
            report_at: now,
            list_at: now,
            has_news: false,
            has_left: false,
            violations: 0,
            context,
        }
    }

    fn take(&mut self, news: News) {
        match news {
            News::Event(event) => self.observe(event),
            News::Measured { called_at, sample } => self.usage.take(called_at, sample),
            News::Answer {
                sent_at,
                sequence,
                answer,
            } => self.answer(sent_at, sequence, answer),
        }
    }

    fn observe(&mut self, event: Event) {
        let before = self.agent.running_attempts();
        let actions = self.agent.handle_event(event, self.context.now());
        self.has_news |= self.agent.running_attempts() < before;
        self.carry_out(actions);
    }

    fn answer(&mut self, sent_at: Time, sequence: u64, answer: Result<Command, Error>) {
        let current = self.exchange.as_ref().map(|exchange| exchange.sequence);
        if current != Some(sequence) {
            return;
        }
        let now = self.context.now();
        self.exchange = None;
        self.context.meters.exchange(answer.is_ok());
        match answer {
            Ok(command) => {
                self.report_at = sent_at.plus_millis(REPORT_MS);
                self.context.register().observe_revision(command.revision);
                self.configure();
                let actions = self.agent.apply_command(&command, sent_at, now);
                debug!(self.context.log, "exchange"; "epoch" => command.epoch,
                    "sequence" => sequence, "grants" => command.grants.len(),
                    "stops" => command.stops.len(), "actions" => actions.len());
                self.carry_out(actions);
            }
            Err(error) => {
                let jitter_ms = rand::random_range(0..RETRY_MS);
                self.report_at = now.plus_millis(RETRY_MS + jitter_ms);
                debug!(self.context.log, "exchange_failed"; "sequence" => sequence,
                    "error" => %error);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.context.now();
        self.configure();
        self.follow_leaving(now);
        let actions = self.agent.tick(now);
        self.carry_out(actions);
        if self.agent.running_attempts() > 0 && now >= self.list_at {
            self.list_at = now.plus_millis(LIST_MS);
            self.carry_out(vec![Action::List]);
        }
        if self.usage.tick(&self.context.admission, now) && self.agent.running_attempts() > 0 {
            self.measure();
        }
    }

    fn follow_leaving(&mut self, now: Time) {
        let is_leaving = self.context.admission.is_leaving();
        if is_leaving == self.has_left {
            return;
        }
        self.has_left = is_leaving;
        if is_leaving {
            let actions = self.agent.start_draining(now);
            info!(self.context.log, "tasks_leaving"; "running" => self.agent.running_attempts());
            self.carry_out(actions);
        } else {
            self.agent.stop_draining();
            self.has_news = true;
            info!(self.context.log, "tasks_staying");
        }
    }

    fn configure(&mut self) {
        let register = self.context.register();
        let (held, known) = (register.revision(), register.revision_known());
        drop(register);
        self.agent.configure(held, known);
    }

    /// Sends the next report when it is due.
    fn exchange(&mut self) {
        let now = self.context.now();
        let is_free = match &self.exchange {
            None => now >= self.report_at,
            // A report supersedes the one before: the owner should hear at once of free room, and of
            // a worker that takes tasks again.
            Some(exchange) => self.has_news && now >= exchange.sent_at.plus_millis(SUPERSEDE_MS),
        };
        if !is_free || self.context.owner.borrow().is_none() {
            return;
        }
        let Some(mut report) = self.agent.next_report(now) else {
            return;
        };
        self.has_news = false;
        self.usage.add_to(&mut report, now);
        let context = self.context.clone();
        let exchange = Exchange::begin(context, report, now, self.news.clone());
        self.exchange = Some(exchange);
    }

    /// Carries out actions at the runtime, each on its own, so that a slow one holds up no other.
    fn carry_out(&self, actions: Vec<Action>) {
        for action in actions {
            let (context, runtime) = (self.context.clone(), self.runtime.clone());
            let news = self.news.clone();
            self.calls.spawn(async move {
                let event = call::call(&runtime, context.clock, &context.log, action).await;
                if let Some(event) = event {
                    // Without a receiver the loop has ended.
                    let _ = news.send(News::Event(event)).await;
                }
            });
        }
    }

    fn measure(&self) {
        let (context, runtime) = (self.context.clone(), self.runtime.clone());
        let news = self.news.clone();
        self.calls.spawn(async move {
            let called_at = context.now();
            match runtime.usage().await {
                Ok(sample) => {
                    // Without a receiver the loop has ended.
                    let _ = news.send(News::Measured { called_at, sample }).await;
                }
                Err(refusal) => warn!(context.log, "usage_failed"; "reason" => ?refusal),
            }
        });
    }

    /// Tells the rest of the companion what the tasks do.
    fn publish(&mut self) {
        let running = u32::try_from(self.agent.running_attempts()).unwrap_or(u32::MAX);
        let load = Load {
            running,
            is_drained: self.agent.is_drained(),
        };
        self.context.meters.tasks(running);
        self.context.tasks.send_if_modified(|known| {
            let is_changed = *known != load;
            *known = load;
            is_changed
        });
        if self.agent.capacity_violations() > self.violations {
            self.violations = self.agent.capacity_violations();
            self.context.meters.violated(1);
            error!(self.context.log, "invariant_violated"; "invariant" => 1,
                "what" => "tasks hold more than the worker's capacity",
                "held" => %self.agent.held_resources());
        }
    }
}
