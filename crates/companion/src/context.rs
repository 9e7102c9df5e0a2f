//! What the loops and streams of one companion share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use slog::{Logger, info};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use toucanquay_control::register::Register;
use toucanquay_model::{
    Incarnation, Time,
    section::State,
    upstream::{Announcement, watch_slots},
    worker,
};
use toucanquay_wire::{Clock, Pool, heartbeat::Heartbeat, heartbeat::Owner};

use crate::{
    Meters, Settings, Upstream, admission::AdmissionController, heartbeat::HeartbeatTargets,
    tasks::TaskSummary,
};

/// What the loops and streams of one companion share.
#[derive(Debug)]
pub struct Context {
    /// Settings of this companion.
    pub settings: Settings,
    /// The worker.
    pub worker: worker::Id,
    /// Address of the listener for entries, as it is announced.
    pub address: SocketAddr,
    /// This run of the companion.
    pub incarnation: Incarnation,
    /// The log.
    pub log: Logger,
    /// The process's clock.
    pub clock: Clock,
    /// The metrics.
    pub meters: Meters,
    /// Connections to entries.
    pub pool: Pool,
    /// Admission of requests.
    pub admission: Arc<AdmissionController>,
    /// The upstream.
    pub upstream: Upstream,
    /// Entries that receive heartbeats.
    pub entries: HeartbeatTargets,
    /// Cancelled when the graceful stop is out of time: requests in flight are cut off.
    pub abort: CancellationToken,
    /// Owner of the cell, as far as it is known.
    pub owner: watch::Sender<Option<Owner>>,
    /// Counts changes that entries should hear of before the next heartbeat is due.
    pub changes: watch::Sender<u64>,
    /// Tasks of the worker.
    pub tasks: watch::Sender<TaskSummary>,
    register: Mutex<Register>,
    is_healthy: AtomicBool,
    sequence: AtomicU64,
}

impl Context {
    /// Returns the shared state of a new companion that listens on `address`.
    #[must_use]
    pub fn new(
        settings: Settings,
        address: SocketAddr,
        upstream: Upstream,
        incarnation: Incarnation,
        log: Logger,
    ) -> Self {
        let clock = Clock::start();
        let has_runtime = settings.runtime.is_some();
        let summary = if has_runtime {
            TaskSummary::UNKNOWN
        } else {
            TaskSummary::NONE
        };
        let meters = Meters::new(&settings.worker);
        let admission = AdmissionController::new(
            incarnation,
            settings.slots,
            watch_slots(settings.slots, settings.connections),
            clock,
            meters.clone(),
        );
        Self {
            worker: worker::Id(settings.worker.clone()),
            address: settings.advertise.unwrap_or(address),
            incarnation,
            log,
            clock,
            meters,
            pool: Pool::new(),
            admission: Arc::new(admission),
            upstream,
            entries: HeartbeatTargets::new(&settings.entries),
            abort: CancellationToken::new(),
            owner: watch::Sender::new(None),
            changes: watch::Sender::new(0),
            tasks: watch::Sender::new(summary),
            register: Mutex::new(Register::new()),
            is_healthy: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the configuration. The lock must not be held across a wait.
    ///
    /// # Panics
    ///
    /// Panics when an earlier holder of the lock has panicked.
    pub fn register(&self) -> MutexGuard<'_, Register> {
        self.register
            .lock()
            .expect("no holder of this lock panics while it changes the register")
    }

    /// Tells entries at once about a change.
    pub fn notify_entries(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Puts the configuration in force that the register holds.
    pub fn apply_configuration(&self) {
        let (state, revision) = {
            let register = self.register();
            (register.state(&self.settings.team), register.revision())
        };
        let is_leaving = state == Some(State::Leaving);
        let was_leaving = self.admission.set_leaving(is_leaving);
        self.meters.set_revision(revision);
        info!(self.log, "configuration_applied";
            "revision" => revision, "is_leaving" => is_leaving);
        if is_leaving != was_leaving {
            self.notify_entries();
        }
    }

    /// Records whether the upstream answers its health check.
    pub fn set_healthy(&self, is_healthy: bool) {
        let was_healthy = self.is_healthy.swap(is_healthy, Ordering::Relaxed);
        self.meters.set_healthy(is_healthy);
        if is_healthy != was_healthy {
            info!(self.log, "upstream_health"; "worker" => %self.worker, "is_healthy" => is_healthy);
            self.notify_entries();
        }
    }

    /// Returns the next heartbeat.
    #[must_use]
    pub fn next_heartbeat(&self, with_announcement: bool) -> Heartbeat {
        let (revision, revision_known) = {
            let register = self.register();
            (register.revision(), register.revision_known())
        };
        let in_flight = self.admission.in_flight();
        let tasks = *self.tasks.borrow();
        let is_leaving = self.admission.is_leaving();
        Heartbeat {
            worker: self.worker.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            announcement: with_announcement.then(|| self.announcement()),
            revision,
            revision_known,
            in_flight: self.admission.request_slots_in_use(),
            is_healthy: self.is_healthy.load(Ordering::Relaxed),
            is_leaving,
            is_drained: is_leaving && in_flight == 0 && tasks.is_drained,
            tasks: tasks.running,
        }
    }

    fn announcement(&self) -> Announcement {
        let settings = &self.settings;
        Announcement {
            worker: self.worker.clone(),
            incarnation: self.incarnation,
            service: settings.service.clone(),
            team: settings.team.clone(),
            zone: settings.zone.clone(),
            rack: settings.rack.clone(),
            address: self.address,
            slots: settings.slots,
            connections: settings.connections,
            capacity: settings.resources(),
            cell: settings.cell,
        }
    }
}
