//! State shared by the listeners and background tasks of an entry.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use slog::Logger;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use toucanquay_control::{register::Register, roster::Roster};
use toucanquay_model::{Error, ErrorKind, Incarnation, request};
use toucanquay_store::Client;
use toucanquay_wire::{Clock, Pool, heartbeat::Owner};

use crate::{
    Settings,
    balancer::{ServiceBalancer, TrafficClass},
    claim::ClaimLease,
    membership::Peer,
    owner::Role,
};

/// State shared by the listeners and background tasks of an entry.
#[derive(Debug)]
pub struct Context {
    /// Settings of this entry.
    pub settings: Settings,
    /// Logger.
    pub log: Logger,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Incarnation of this entry.
    pub incarnation: Incarnation,
    /// Connections to companions and other entries.
    pub pool: Pool,
    /// Client of the platform's store.
    pub store: Client,
    /// Role of the cell's owner, which this entry may hold.
    pub role: Role,
    /// Lease shared by new idempotency claims.
    pub claim_lease: ClaimLease,
    /// Stops the background tasks, none of which serves a request.
    pub stop: CancellationToken,
    /// Requests in progress.
    pub requests: TaskTracker,
    is_configured: AtomicBool,
    is_stopping: AtomicBool,
    last_request_number: AtomicU64,
    /// Whether a fetch of sections from a companion is in progress.
    is_fetching: AtomicBool,
    register: Mutex<Register>,
    roster: Mutex<Roster>,
    balancers: Mutex<HashMap<(String, TrafficClass), Arc<ServiceBalancer>>>,
    peers: Mutex<BTreeMap<String, Peer>>,
    owner: Mutex<Option<Owner>>,
}

impl Context {
    /// Returns the shared state of a new entry.
    #[must_use]
    pub fn new(
        settings: Settings,
        log: Logger,
        clock: Clock,
        incarnation: Incarnation,
        store: Client,
    ) -> Self {
        Self {
            role: Role::default(),
            settings,
            log,
            clock,
            incarnation,
            pool: Pool::new(),
            store,
            claim_lease: ClaimLease::default(),
            stop: CancellationToken::new(),
            requests: TaskTracker::new(),
            is_configured: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            last_request_number: AtomicU64::new(0),
            is_fetching: AtomicBool::new(false),
            register: Mutex::new(Register::new()),
            roster: Mutex::new(Roster::new(toucanquay_control::roster::Settings::default())),
            balancers: Mutex::default(),
            peers: Mutex::default(),
            owner: Mutex::default(),
        }
    }

    /// Returns a unique request id.
    pub fn next_request_id(&self) -> request::Id {
        let number = self.last_request_number.fetch_add(1, Ordering::Relaxed) + 1;
        request::Id::new(self.incarnation, number)
    }

    /// Returns whether this entry accepts requests.
    pub fn is_ready(&self) -> bool {
        self.is_configured.load(Ordering::Relaxed) && !self.is_stopping.load(Ordering::Relaxed)
    }

    /// Returns an error until the configuration has been read, since services and teams can't be
    /// looked up before.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StoreUnavailable`]. [`ErrorKind::UnknownService`] or [`ErrorKind::UnknownTeam`]
    /// would be wrong, since the service or team may exist.
    pub fn require_configuration(&self) -> Result<(), Error> {
        if self.is_configured.load(Ordering::Relaxed) {
            return Ok(());
        }
        Err(Error::new(ErrorKind::StoreUnavailable).context("no configuration was read yet"))
    }

    /// Marks the configuration as read. The entry then accepts requests unless it is stopping.
    pub fn set_configured(&self) {
        self.is_configured.store(true, Ordering::Relaxed);
    }

    /// Marks this entry as stopping, which makes its readiness probe fail.
    pub fn set_stopping(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Starts a fetch of sections from a companion and returns `true`, or returns `false` if one is
    /// in progress. The caller ends it with [`Self::end_fetch`].
    pub fn try_begin_fetch(&self) -> bool {
        !self.is_fetching.swap(true, Ordering::Relaxed)
    }

    /// Ends a fetch of sections.
    pub fn end_fetch(&self) {
        self.is_fetching.store(false, Ordering::Relaxed);
    }

    /// Locks and returns the configuration.
    pub fn register(&self) -> MutexGuard<'_, Register> {
        lock(&self.register)
    }

    /// Locks and returns the upstreams.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }

    /// Locks and returns the other entries by name.
    pub fn peers(&self) -> MutexGuard<'_, BTreeMap<String, Peer>> {
        lock(&self.peers)
    }

    /// Returns the owner of the cell, if it is known.
    pub fn owner(&self) -> Option<Owner> {
        *lock(&self.owner)
    }

    /// Records the owner of the cell. Ignores an owner whose epoch is lower than the recorded one.
    pub fn set_owner(&self, owner: Owner) {
        let mut known = lock(&self.owner);
        if known.is_none_or(|known| known.epoch <= owner.epoch) {
            *known = Some(owner);
        }
    }

    /// Returns the balancer of `service` for a traffic class, if an upstream has announced the
    /// service.
    pub fn balancer(&self, service: &str, traffic: TrafficClass) -> Option<Arc<ServiceBalancer>> {
        lock(&self.balancers)
            .get(&(service.to_owned(), traffic))
            .cloned()
    }

    /// Returns the balancer of `service` for a traffic class, starting it if it does not exist.
    pub fn balancer_or_insert(&self, service: &str, traffic: TrafficClass) -> Arc<ServiceBalancer> {
        let mut balancers = lock(&self.balancers);
        let key = (service.to_owned(), traffic);
        if let Some(balancer) = balancers.get(&key) {
            return balancer.clone();
        }
        let balancer = Arc::new(ServiceBalancer::new(&self.settings.zone, self.clock));
        balancers.insert(key, balancer.clone());
        let stop = self.stop.clone();
        let run = balancer.clone().run();
        tokio::spawn(async move { stop.run_until_cancelled(run).await });
        balancer
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panics while it holds this lock")
}
