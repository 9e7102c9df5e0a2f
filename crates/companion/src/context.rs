//! Shared state of a companion.

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

/// State shared by the background loops and streams of a companion.
#[derive(Debug)]
pub struct Context {
    /// Settings of this companion.
    pub settings: Settings,
    /// Id of the worker.
    pub worker: worker::Id,
    /// Announced address of the listener for entries.
    pub address: SocketAddr,
    /// Incarnation, which identifies this run of the companion.
    pub incarnation: Incarnation,
    /// Logger of the companion.
    pub log: Logger,
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics of the companion.
    pub meters: Meters,
    /// Connection pool to entries.
    pub pool: Pool,
    /// Admission control for requests.
    pub admission: Arc<AdmissionController>,
    /// HTTP client of the upstream.
    pub upstream: Upstream,
    /// Entries that receive heartbeats.
    pub entries: HeartbeatTargets,
    /// Cancelled at the deadline of the graceful stop, which aborts the requests in flight.
    pub abort: CancellationToken,
    /// Latest known owner of the cell.
    pub owner: watch::Sender<Option<Owner>>,
    /// Counter of changes. Each increment sends a heartbeat to all entries without waiting for the
    /// next interval.
    pub changes: watch::Sender<u64>,
    /// Summary of the worker's tasks.
    pub tasks: watch::Sender<TaskSummary>,
    register: Mutex<Register>,
    is_healthy: AtomicBool,
    sequence: AtomicU64,
}

impl Context {
    /// Creates the shared state of a companion that listens on `address`.
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

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Locks the configuration register. The lock must not be held across an await point.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn register(&self) -> MutexGuard<'_, Register> {
        self.register
            .lock()
            .expect("the register lock must not be poisoned")
    }

    /// Sends the next heartbeat to all entries without waiting for the interval.
    pub fn notify_entries(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Applies the configuration that the register holds.
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

    /// Records whether the upstream is healthy.
    pub fn set_healthy(&self, is_healthy: bool) {
        let was_healthy = self.is_healthy.swap(is_healthy, Ordering::Relaxed);
        self.meters.set_healthy(is_healthy);
        if is_healthy != was_healthy {
            info!(self.log, "upstream_health"; "worker" => %self.worker, "is_healthy" => is_healthy);
            self.notify_entries();
        }
    }

    /// Returns the next heartbeat and increments the sequence number.
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
