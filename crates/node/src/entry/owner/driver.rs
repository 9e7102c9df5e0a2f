//! Runs the scheduler.

use std::{collections::HashMap, sync::Arc};

use slog::{info, warn};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::{Duration, Instant, sleep_until},
};
use toucanquay_control::scheduler::{Event as SchedulerEvent, Scheduler};
use toucanquay_model::{Epoch, Revision, Time, graph::AcceptedJob, session::Orders};
use toucanquay_wire::graph::{Query, Reply};

use super::Event;
use crate::{
    entry::{Address, Shared, intake, record, session, takeover::Loaded},
    meters,
};

/// Longest time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// Silence after which a host's address is removed, in milliseconds. It is longer than a lease, after
/// which nothing runs there, and than most cuts, after which the host is needed at once.
const FORGET_MS: u64 = 20_000;

/// Time between two updates of the gauges, in milliseconds.
const METER_INTERVAL_MS: u64 = 1_000;

/// The scheduler with its connections.
#[derive(Debug)]
pub(super) struct Driver {
    shared: Arc<Shared>,
    mailbox: mpsc::Sender<Event>,
    scheduler: Scheduler,
    epoch: Epoch,
    fence: Revision,
    orders: HashMap<String, mpsc::Sender<Orders>>,
    addresses: session::Addresses,
    sessions: HashMap<String, (Address, JoinHandle<()>)>,
    /// Since when a host has had no session.
    silent_since: HashMap<String, Time>,
    tasks: Vec<JoinHandle<()>>,
    is_deposed: bool,
    meter_at: Time,
}

impl Driver {
    pub(super) fn new(
        shared: Arc<Shared>,
        mailbox: mpsc::Sender<Event>,
        loaded: Loaded,
        fence: Revision,
        hold_until: Time,
    ) -> Self {
        let mut scheduler = loaded.scheduler;
        scheduler.extend_ownership(hold_until);
        let epoch = scheduler.epoch();
        let mut driver = Self {
            tasks: vec![
                tokio::spawn(intake::run(shared.clone(), mailbox.clone(), loaded.intake)),
                tokio::spawn(intake::run_hosts(
                    shared.clone(),
                    mailbox.clone(),
                    loaded.hosts_at,
                )),
            ],
            shared,
            mailbox,
            scheduler,
            epoch,
            fence,
            orders: HashMap::new(),
            addresses: session::Addresses::default(),
            sessions: HashMap::new(),
            silent_since: HashMap::new(),
            is_deposed: false,
            meter_at: Time::ZERO,
        };
        driver.configure();
        for (name, address) in loaded.hosts {
            driver.meet(name, address);
        }
        driver
    }

    pub(super) async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        info!(self.shared.log, "owner_started"; "epoch" => self.epoch,
            "jobs" => self.scheduler.active_jobs(), "hosts" => self.sessions.len());
        while !self.is_deposed {
            tokio::select! {
                event = events.recv() => {
                    let Some(event) = event else {
                        break;
                    };
                    self.take(event);
                    while let Ok(event) = events.try_recv() {
                        self.take(event);
                    }
                }
                () = sleep_until(Instant::now() + TICK) => {}
            }
            self.advance();
        }
        warn!(self.shared.log, "owner_ended"; "epoch" => self.epoch);
    }

    fn take(&mut self, event: Event) {
        let now = self.shared.clock.now();
        match event {
            Event::Held(until) => self.scheduler.extend_ownership(until),
            Event::Configured => self.configure(),
            Event::Connected(name, orders) => {
                info!(self.shared.log, "session_opened"; "host" => &name, "epoch" => self.epoch);
                self.scheduler.connect(&name);
                self.silent_since.remove(&name);
                self.orders.insert(name, orders);
            }
            Event::Disconnected(name) => {
                info!(self.shared.log, "session_lost"; "host" => &name, "epoch" => self.epoch);
                meters::session_lost();
                self.scheduler.disconnect(&name);
                self.orders.remove(&name);
                self.silent_since.entry(name).or_insert(now);
            }
            Event::Update(update) => self.scheduler.update(&update, now),
            Event::Query(query, reply) => self.answer(query, reply, now),
            Event::Accepted(id, acceptance) => {
                self.scheduler
                    .set_wall_clock(self.shared.clock.unix_ms(), now);
                self.scheduler.accept(id, *acceptance, now);
            }
            Event::Cancelled(id) => self.scheduler.cancel(id, now),
            Event::Host(name, address) => self.meet(name, address),
            Event::Committed(revision) => self.scheduler.commit_succeeded(revision),
            Event::Refused(revisions) => self.scheduler.commit_rejected(&revisions),
            Event::Deposed => self.is_deposed = true,
        }
    }

    /// Does what is due and sends what has to be sent.
    fn advance(&mut self) {
        let now = self.shared.clock.now();
        self.scheduler
            .set_wall_clock(self.shared.clock.unix_ms(), now);
        self.scheduler.tick(now);
        if let Some(commit) = self.scheduler.next_commit(now) {
            let (shared, mailbox) = (self.shared.clone(), self.mailbox.clone());
            self.tasks.retain(|task| !task.is_finished());
            self.tasks.push(tokio::spawn(record::run(
                shared, mailbox, self.fence, commit,
            )));
        }
        let expired = self.scheduler.take_expired_jobs();
        if !expired.is_empty() {
            tokio::spawn(record::remove(self.shared.clone(), self.fence, expired));
        }
        for note in self.scheduler.take_events() {
            self.log_note(note);
        }
        if now >= self.meter_at {
            self.meter_at = now.plus_millis(METER_INTERVAL_MS);
            let scheduler = &self.scheduler;
            let (jobs, attempts) = (scheduler.active_jobs(), scheduler.running_attempts());
            meters::owned(jobs, attempts, scheduler.unrecorded_jobs());
            self.forget_silent(now);
        }
        for name in self.scheduler.due_hosts(now) {
            self.send(&name, now);
        }
    }

    /// Removes the addresses of hosts that have been silent for long, so that no later owner awaits
    /// them. A companion that lives registers again.
    fn forget_silent(&mut self, now: Time) {
        // Where most hosts are silent, the fault is on this side.
        if 2 * self.silent_since.len() > self.sessions.len() {
            return;
        }
        let is_gone = |since: &Time| now >= since.plus_millis(FORGET_MS);
        let gone = self.silent_since.extract_if(|_, since| is_gone(since));
        let hosts: Vec<String> = gone.map(|(name, _)| name).collect();
        for host in hosts {
            info!(self.shared.log, "host_forgotten"; "host" => &host, "epoch" => self.epoch,
                "silent_ms" => FORGET_MS);
            let (shared, fence) = (self.shared.clone(), self.fence);
            tokio::spawn(record::forget_host(shared, fence, host));
        }
    }

    fn log_note(&self, note: SchedulerEvent) {
        let (log, epoch) = (&self.shared.log, self.epoch);
        match note {
            SchedulerEvent::JobOver { job, state, reason } => {
                info!(log, "job_over"; "job" => %job, "state" => ?state, "reason" => reason,
                    "epoch" => epoch);
            }
            SchedulerEvent::Adopted {
                task,
                attempt,
                host,
            } => {
                info!(log, "task_adopted"; "task" => %task, "attempt" => attempt, "host" => host,
                    "epoch" => epoch);
            }
            SchedulerEvent::Failed {
                task,
                failures,
                host,
            } => {
                info!(log, "task_failed"; "task" => %task, "failures" => failures, "host" => host,
                    "epoch" => epoch);
            }
            SchedulerEvent::WorkerLost { host, attempts } => {
                warn!(log, "worker_lost"; "host" => host, "attempts" => attempts, "epoch" => epoch);
            }
            SchedulerEvent::Draining { host, moved } => {
                info!(log, "worker_draining"; "host" => host, "moved" => moved, "epoch" => epoch);
            }
            SchedulerEvent::Moved {
                task,
                attempt,
                host,
            } => {
                info!(log, "task_moved"; "task" => %task, "attempt" => attempt, "host" => host,
                    "reason" => "neighbours allow hardly any speed", "epoch" => epoch);
            }
        }
    }

    fn send(&mut self, name: &str, now: Time) {
        let Some(sender) = self.orders.get(name) else {
            return;
        };
        let Ok(permit) = sender.try_reserve() else {
            return;
        };
        if let Some(orders) = self.scheduler.orders(name, now) {
            for start in &orders.starts {
                meters::placed();
                info!(self.shared.log, "task_placed"; "task" => %start.task,
                    "attempt" => start.attempt, "host" => name, "epoch" => self.epoch,
                    "milli" => start.profile.occupied.processors_milli,
                    "uses_idle" => start.profile.uses_idle,
                    "latency_target_ms" => start.profile.latency_target_ms);
            }
            permit.send(orders);
        }
    }

    fn answer(&mut self, query: Query, reply: Option<oneshot::Sender<Reply>>, now: Time) {
        let answer = match query {
            Query::State(id) => Reply::State(self.scheduler.job_state(id)),
            Query::Pending(queue) => {
                let pending = self.scheduler.queued_jobs(&queue);
                Reply::Pending(u64::try_from(pending).unwrap_or(u64::MAX))
            }
            Query::Accepted { id, record } => {
                if let Ok(acceptance) = serde_json::from_slice::<AcceptedJob>(&record) {
                    self.scheduler.accept(id, acceptance, now);
                }
                Reply::Noted
            }
            Query::Cancelled(id) => {
                self.scheduler.cancel(id, now);
                Reply::Noted
            }
            // Written by the process that hosts the owner, before it gets here.
            Query::Create { .. } => Reply::Noted,
        };
        if let Some(reply) = reply {
            // The asker may have given up.
            let _ = reply.send(answer);
        }
    }

    fn configure(&mut self) {
        if let Some(catalog) = self.shared.catalog() {
            self.scheduler.configure(catalog.queues.clone());
        }
    }

    /// Opens a session to a companion, or replaces the one to its former address.
    fn meet(&mut self, name: String, address: Address) {
        if self
            .sessions
            .get(&name)
            .is_some_and(|(known, _)| known.address == address.address)
        {
            return;
        }
        if let Some((_, task)) = self.sessions.remove(&name) {
            task.abort();
            self.scheduler.disconnect(&name);
            self.orders.remove(&name);
        }
        self.silent_since
            .insert(name.clone(), self.shared.clock.now());
        self.addresses
            .lock()
            .expect("no holder of this lock panics")
            .insert(name.clone(), address.address);
        let task = tokio::spawn(session::run(
            self.shared.log.clone(),
            self.mailbox.clone(),
            name.clone(),
            self.addresses.clone(),
            self.epoch,
        ));
        self.sessions.insert(name, (address, task));
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        for (_, task) in self.sessions.values() {
            task.abort();
        }
    }
}
