//! Event loop that runs the scheduler.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use slog::{info, warn};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::{Duration, Instant, sleep_until},
};
use toucanquay_control::{
    scheduler::Scheduler,
    silence::{Tracker, Unreached},
};
use toucanquay_model::{
    Epoch, Revision, Time,
    graph::{AcceptedJob, Id, State},
    session::Orders,
};
use toucanquay_wire::graph::{Query, Reply};

use super::{Event, event_log, held_session::HeldSession, withdrawn::Withdrawn};
use crate::{
    entry::{
        Registration, Shared, evacuations, record, removal, session, silent_hosts,
        takeover::{self, LoadedState},
        watch,
    },
    meters,
};

/// Maximum time between two iterations of the event loop.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a session after which a host's registration is removed, in milliseconds. It exceeds
/// the lease, after which no task runs on the host, and most network partitions, after which the
/// host should be usable at once.
const SILENT_HOST_TIMEOUT_MS: u64 = 20_000;

/// Time from a submission to its arrival at the owner from which on a line is logged, in
/// milliseconds.
const LATE_ARRIVAL_MS: u64 = 1_000;

/// Interval between updates of the gauges, in milliseconds.
const GAUGE_INTERVAL_MS: u64 = 1_000;

/// The scheduler and its sessions to companions.
#[derive(Debug)]
pub(super) struct Driver {
    shared: Arc<Shared>,
    mailbox: mpsc::Sender<Event>,
    scheduler: Scheduler,
    /// Jobs that must not run because their progress can't be read.
    withheld_jobs: HashSet<Id>,
    /// Revisions that wrote the stored jobs. That of a job which an entry has announced is missing
    /// until the job is read from the store.
    job_revisions: HashMap<Id, Revision>,
    withdrawn: Withdrawn,
    /// Removal of withdrawals whose retention has ended.
    withdrawal_removal: Option<JoinHandle<()>>,
    epoch: Epoch,
    fence: Revision,
    order_senders: HashMap<String, mpsc::Sender<Orders>>,
    addresses: session::Addresses,
    sessions: HashMap<String, (Registration, JoinHandle<()>)>,
    /// Time since which each host without a session has been disconnected.
    disconnected_since: HashMap<String, Time>,
    /// Hosts that the record of silent hosts may name.
    silences: Tracker,
    /// Sessions to such hosts, which get no orders.
    held_sessions: HashMap<String, HeldSession>,
    /// Removals of the registrations of silent hosts.
    removals: HashMap<String, JoinHandle<()>>,
    background_tasks: Vec<JoinHandle<()>>,
    is_superseded: bool,
    gauges_due_at: Time,
}

impl Driver {
    pub(super) fn new(
        shared: Arc<Shared>,
        mailbox: mpsc::Sender<Event>,
        loaded: LoadedState,
        fence: Revision,
        ownership_until: Time,
    ) -> Self {
        let mut scheduler = loaded.scheduler;
        scheduler.extend_ownership(ownership_until);
        let epoch = scheduler.epoch();
        let mut driver = Self {
            background_tasks: vec![
                tokio::spawn(watch::watch_jobs(
                    shared.clone(),
                    mailbox.clone(),
                    loaded.intake_revision,
                )),
                tokio::spawn(watch::watch_hosts(
                    shared.clone(),
                    mailbox.clone(),
                    loaded.hosts_revision,
                )),
            ],
            shared,
            mailbox,
            scheduler,
            withheld_jobs: loaded.withheld_jobs,
            job_revisions: loaded.job_revisions,
            withdrawn: Withdrawn::default(),
            withdrawal_removal: None,
            epoch,
            fence,
            order_senders: HashMap::new(),
            addresses: session::Addresses::default(),
            sessions: HashMap::new(),
            disconnected_since: HashMap::new(),
            silences: loaded.silences,
            held_sessions: HashMap::new(),
            removals: HashMap::new(),
            is_superseded: false,
            gauges_due_at: Time::ZERO,
        };
        if let Some(source) = driver.shared.settings.evacuations.clone() {
            let (shared, mailbox) = (driver.shared.clone(), driver.mailbox.clone());
            let watch = tokio::spawn(evacuations::run(shared, mailbox, source));
            driver.background_tasks.push(watch);
        }
        driver.apply_configuration();
        for (id, revision) in loaded.withdrawn {
            driver.keep_withdrawal(id, revision);
        }
        for (name, registration) in loaded.hosts {
            driver.connect_host(name, registration);
        }
        driver
    }

    pub(super) async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        info!(self.shared.log, "owner_started"; "epoch" => self.epoch,
            "jobs" => self.scheduler.active_jobs(), "hosts" => self.sessions.len());
        while !self.is_superseded {
            tokio::select! {
                event = events.recv() => {
                    let Some(event) = event else {
                        break;
                    };
                    self.handle(event);
                    while let Ok(event) = events.try_recv() {
                        self.handle(event);
                    }
                }
                () = sleep_until(Instant::now() + TICK_INTERVAL) => {}
            }
            self.advance();
        }
        warn!(self.shared.log, "owner_ended"; "epoch" => self.epoch);
    }

    fn handle(&mut self, event: Event) {
        let now = self.shared.clock.now();
        match event {
            Event::OwnershipExtended(until) => self.scheduler.extend_ownership(until),
            Event::ConfigurationChanged => self.apply_configuration(),
            // The session was ended meanwhile.
            Event::Connected(name, _) if !self.sessions.contains_key(&name) => {}
            Event::Connected(name, orders) => {
                info!(self.shared.log, "session_opened"; "host" => &name, "epoch" => self.epoch);
                self.disconnected_since.remove(&name);
                if let Some(removal) = self.removals.remove(&name) {
                    removal.abort();
                }
                self.held_sessions.insert(name, HeldSession::new(orders));
                self.connect_held_sessions(now);
            }
            Event::Disconnected(name) => {
                info!(self.shared.log, "session_lost"; "host" => &name, "epoch" => self.epoch);
                meters::count_session_lost();
                self.scheduler.disconnect(&name);
                self.order_senders.remove(&name);
                self.held_sessions.remove(&name);
                self.disconnected_since.entry(name).or_insert(now);
            }
            Event::Update(update) => match self.held_sessions.get_mut(&update.host) {
                Some(session) => session.updates.push(*update),
                None => self.scheduler.update(&update, now),
            },
            Event::Query(query, reply) => self.answer_query(query, reply, now),
            Event::Accepted(id, accepted_job, revision) => {
                self.record_revision(id, revision);
                self.scheduler
                    .set_wall_clock(self.shared.clock.unix_ms(), now);
                self.log_late_arrival(id, &accepted_job);
                self.accept(id, *accepted_job, now);
            }
            Event::Withdrawn(id, revision) => self.keep_withdrawal(id, revision),
            Event::Cancelled(id) => self.scheduler.cancel(id, now),
            Event::HostRegistration(name, registration) => self.connect_host(name, registration),
            Event::HostRemoved(name) => self.forget_host(&name),
            Event::HostsListed(names) => self.forget_unlisted_hosts(&names),
            Event::CommitSucceeded(revision) => self.scheduler.commit_succeeded(revision),
            Event::CommitRejected(revisions) => self.scheduler.commit_rejected(&revisions),
            Event::SilenceRecorded(revision) => {
                self.silences.record_written(revision);
                self.connect_held_sessions(now);
            }
            Event::SilenceRejected(revision) => self.silences.record_rejected(revision),
            Event::JobsRemoved(jobs) => self.forget_jobs(&jobs),
            Event::EvacuationsConfirmed(zones, confirmed_at) => {
                self.scheduler.confirm_evacuations(&zones, confirmed_at);
                meters::set_evacuated_zones(self.scheduler.evacuated_zones());
            }
            Event::Superseded => self.is_superseded = true,
        }
    }

    /// Adds a persisted job, which may be announced more than once, unless it is withheld.
    fn accept(&mut self, id: Id, accepted_job: AcceptedJob, now: Time) {
        if !self.withheld_jobs.contains(&id) {
            self.scheduler.accept(id, accepted_job, now);
        }
    }

    /// Records the revision that wrote a job. An ended job of that identifier which was written before
    /// was removed, although no removal was answered.
    fn record_revision(&mut self, id: Id, revision: Revision) {
        let former = self.job_revisions.insert(id, revision);
        let is_over = self.scheduler.job_state(id).is_some_and(State::is_over);
        if is_over && former.is_some_and(|former| former < revision) {
            info!(self.shared.log, "job_replaced"; "job" => %id, "revision" => revision,
                "epoch" => self.epoch);
            self.scheduler.forget_jobs(&[id]);
        }
    }

    /// Forgets removed jobs, unless the identifier is in use again.
    fn forget_jobs(&mut self, removed: &[(Id, Revision)]) {
        let is_current =
            |(id, revision): &&(Id, Revision)| self.job_revisions.get(id) == Some(revision);
        let ids: Vec<Id> = removed.iter().filter(is_current).map(|job| job.0).collect();
        for id in &ids {
            self.job_revisions.remove(id);
        }
        self.scheduler.forget_jobs(&ids);
    }

    /// Logs a job whose submission took effect late, unless the owner knows it already.
    fn log_late_arrival(&self, id: Id, accepted_job: &AcceptedJob) {
        let unix_ms = self.shared.clock.unix_ms();
        let late_ms = unix_ms.saturating_sub(accepted_job.unix_ms);
        if late_ms >= LATE_ARRIVAL_MS && self.scheduler.job_state(id).is_none() {
            info!(self.shared.log, "job_arrived_late"; "job" => %id, "late_ms" => late_ms,
                "epoch" => self.epoch);
        }
    }

    /// Advances the scheduler to the current time and starts the resulting commits and orders.
    fn advance(&mut self) {
        let now = self.shared.clock.now();
        self.scheduler
            .set_wall_clock(self.shared.clock.unix_ms(), now);
        self.scheduler.tick(now);
        if let Some(commit) = self.scheduler.next_commit(now) {
            let (shared, mailbox) = (self.shared.clone(), self.mailbox.clone());
            self.background_tasks.retain(|task| !task.is_finished());
            self.background_tasks.push(tokio::spawn(record::run(
                shared, mailbox, self.fence, commit,
            )));
        }
        let expired = self.scheduler.take_expired_jobs();
        let with_revision = |id| Some((id, *self.job_revisions.get(&id)?));
        let expired: Vec<_> = expired.into_iter().filter_map(with_revision).collect();
        if !expired.is_empty() {
            tokio::spawn(removal::remove_jobs(
                self.shared.clone(),
                self.mailbox.clone(),
                self.fence,
                expired,
            ));
        }
        for event in self.scheduler.take_events() {
            event_log::write(&self.shared.log, self.epoch, event);
        }
        if now >= self.gauges_due_at {
            self.gauges_due_at = now.plus_millis(GAUGE_INTERVAL_MS);
            for (reason, waited_ms) in self.scheduler.take_waited_ms() {
                meters::count_lasting_wait(reason, waited_ms);
            }
            let scheduler = &self.scheduler;
            let (jobs, attempts) = (scheduler.active_jobs(), scheduler.running_attempts());
            let waiting_lasting = scheduler.lasting_tasks_waiting();
            meters::set_owner_gauges(jobs, attempts, scheduler.unrecorded_jobs());
            meters::set_lasting_tasks_waiting(waiting_lasting);
            let load = scheduler.load();
            info!(self.shared.log, "owner_load"; "epoch" => self.epoch, "jobs" => jobs,
                "attempts" => attempts, "unrecorded_jobs" => scheduler.unrecorded_jobs(),
                "workers" => load.workers, "capacity_milli" => load.capacity_milli,
                "reserved_milli" => load.reserved_milli,
                "waiting_reserving" => load.waiting_reserving,
                "waiting_idle" => load.waiting_idle, "waiting_lasting" => waiting_lasting,
                "waiting_near" => load.waiting_near,
                "hosts_scored" => load.hosts_scored);
            meters::set_withdrawn_jobs(self.withdrawn.len());
            self.remove_silent_hosts(now);
            self.remove_expired_withdrawals(now);
        }
        self.record_silent_hosts(now);
        for name in self.scheduler.due_hosts(now) {
            self.send_orders(&name, now);
        }
    }

    /// Gives orders from now on in the sessions to hosts that the record of silent hosts doesn't
    /// name.
    fn connect_held_sessions(&mut self, now: Time) {
        let silences = &self.silences;
        let is_free = |name: &String| !silences.may_name(name);
        let freed = self.held_sessions.extract_if(|name, _| is_free(name));
        let freed: Vec<_> = freed.collect();
        for (name, session) in freed {
            self.scheduler.connect(&name);
            self.order_senders.insert(name, session.orders);
            for update in session.updates {
                self.scheduler.update(&update, now);
            }
        }
    }

    /// Records the hosts without a session, so that the next owner knows when their leases end.
    fn record_silent_hosts(&mut self, now: Time) {
        let disconnected = self.disconnected_since.iter();
        let unreached = disconnected.map(|(name, since)| Unreached {
            host: name.clone(),
            since: *since,
            lease_end: self.scheduler.lease_end_bound(name),
        });
        let unreached: Vec<Unreached> = unreached.collect();
        let hosts = self.sessions.len();
        if let Some(silent_hosts) = self.silences.next_record(&unreached, hosts, now) {
            info!(self.shared.log, "silent_hosts_recorded"; "epoch" => self.epoch,
                "hosts" => silent_hosts.remaining_ms.len());
            let (shared, mailbox) = (self.shared.clone(), self.mailbox.clone());
            self.background_tasks.retain(|task| !task.is_finished());
            self.background_tasks.push(tokio::spawn(silent_hosts::write(
                shared,
                mailbox,
                self.fence,
                silent_hosts,
            )));
        }
    }

    /// Removes the registrations of hosts that have been disconnected for too long, so that no
    /// later owner waits for them. A running companion registers again.
    fn remove_silent_hosts(&mut self, now: Time) {
        // If most hosts are disconnected, the fault is probably on the owner's side.
        if 2 * self.disconnected_since.len() > self.sessions.len() {
            return;
        }
        let has_timed_out = |since: &Time| now >= since.plus_millis(SILENT_HOST_TIMEOUT_MS);
        let timed_out = self
            .disconnected_since
            .extract_if(|_, since| has_timed_out(since));
        let hosts: Vec<String> = timed_out.map(|(name, _)| name).collect();
        for host in hosts {
            info!(self.shared.log, "host_forgotten"; "host" => &host, "epoch" => self.epoch,
                "silent_ms" => SILENT_HOST_TIMEOUT_MS);
            let (shared, fence) = (self.shared.clone(), self.fence);
            let removal = tokio::spawn(record::remove_host(shared, fence, host.clone()));
            self.removals.insert(host, removal);
        }
    }

    /// Keeps a withdrawal until its retention ends, counted from now on.
    fn keep_withdrawal(&mut self, id: Id, revision: Revision) {
        let retention = self.shared.settings.withdrawal_retention;
        let retention_micros = u64::try_from(retention.as_micros()).unwrap_or(u64::MAX);
        let expires_at = self.shared.clock.now().plus_micros(retention_micros);
        self.withdrawn.insert(id, revision, expires_at);
    }

    fn remove_expired_withdrawals(&mut self, now: Time) {
        let removal = self.withdrawal_removal.as_ref();
        if removal.is_some_and(|removal| !removal.is_finished()) {
            return;
        }
        let expired = self.withdrawn.take_expired(now);
        if !expired.is_empty() {
            info!(self.shared.log, "withdrawals_expired"; "jobs" => expired.len(),
                "epoch" => self.epoch);
            let (shared, fence) = (self.shared.clone(), self.fence);
            let removal = removal::remove_withdrawals(shared, fence, expired);
            self.withdrawal_removal = Some(tokio::spawn(removal));
        }
    }

    fn send_orders(&mut self, name: &str, now: Time) {
        let Some(sender) = self.order_senders.get(name) else {
            return;
        };
        let Ok(permit) = sender.try_reserve() else {
            return;
        };
        if let Some(orders) = self.scheduler.orders(name, now) {
            for start in &orders.starts {
                meters::count_task_placed();
                info!(self.shared.log, "task_placed"; "task" => %start.task,
                    "attempt" => start.attempt, "host" => name, "epoch" => self.epoch,
                    "is_probe" => start.is_probe,
                    "milli" => start.profile.occupied.processors_milli,
                    "uses_idle" => start.profile.uses_idle,
                    "latency_target_ms" => start.profile.latency_target_ms);
            }
            permit.send(orders);
        }
    }

    fn answer_query(&mut self, query: Query, reply: Option<oneshot::Sender<Reply>>, now: Time) {
        let response = match query {
            Query::State(id) => Reply::State(self.scheduler.job_state(id)),
            Query::Pending(queue) => {
                let pending = self.scheduler.queued_jobs(&queue);
                Reply::Pending(u64::try_from(pending).unwrap_or(u64::MAX))
            }
            Query::Accepted { id, record } => {
                // The watch of the store logs a record that can't be read.
                if let Some(accepted_job) = takeover::decode_accepted_job(&record) {
                    self.accept(id, accepted_job, now);
                }
                Reply::Noted
            }
            Query::Cancelled(id) => {
                self.scheduler.cancel(id, now);
                Reply::Noted
            }
            // The peer handler of this process answers these itself and never forwards them.
            Query::Change { .. } | Query::IsReady | Query::Configuration { .. } => Reply::Noted,
        };
        if let Some(reply) = reply {
            // Sending fails if the caller has timed out.
            let _ = reply.send(response);
        }
    }

    fn apply_configuration(&mut self) {
        if let Some(configuration) = self.shared.configuration() {
            self.scheduler.configure(configuration.queues.clone());
        }
    }

    /// Ends the session to a companion without a registration. A later owner would not wait for its
    /// attempts.
    fn forget_host(&mut self, name: &str) {
        let Some((_, task)) = self.sessions.remove(name) else {
            return;
        };
        task.abort();
        self.scheduler.disconnect(name);
        self.order_senders.remove(name);
        self.held_sessions.remove(name);
        self.disconnected_since.remove(name);
        self.addresses
            .lock()
            .expect("the lock is never poisoned: no code panics while holding it")
            .remove(name);
    }

    fn forget_unlisted_hosts(&mut self, listed: &HashSet<String>) {
        let hosts = self.sessions.keys().filter(|name| !listed.contains(*name));
        let unlisted: Vec<String> = hosts.cloned().collect();
        for name in unlisted {
            self.forget_host(&name);
        }
    }

    /// Opens a session to a companion, replacing any session to a previous address.
    fn connect_host(&mut self, name: String, registration: Registration) {
        if self.sessions.get(&name).is_some_and(|(current, task)| {
            current.address == registration.address && !task.is_finished()
        }) {
            return;
        }
        self.forget_host(&name);
        self.disconnected_since
            .insert(name.clone(), self.shared.clock.now());
        self.addresses
            .lock()
            .expect("the lock is never poisoned: no code panics while holding it")
            .insert(name.clone(), registration.address);
        let task = tokio::spawn(session::run(
            self.shared.log.clone(),
            self.mailbox.clone(),
            name.clone(),
            self.addresses.clone(),
            self.epoch,
        ));
        self.sessions.insert(name, (registration, task));
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        let removals = self.removals.values().chain(&self.withdrawal_removal);
        for task in self.background_tasks.iter().chain(removals) {
            task.abort();
        }
        for (_, task) in self.sessions.values() {
            task.abort();
        }
    }
}
