//! What the listeners and loops of one entry share.

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

/// What the listeners and loops of one entry share.
#[derive(Debug)]
pub struct Context {
    /// Settings of this entry.
    pub settings: Settings,
    /// The log.
    pub log: Logger,
    /// The process's clock.
    pub clock: Clock,
    /// This run of the entry.
    pub incarnation: Incarnation,
    /// Connections to companions and other entries.
    pub pool: Pool,
    /// The platform's store.
    pub store: Client,
    /// Role of the cell's owner, while this entry holds it.
    pub role: Role,
    /// Leases of idempotency claims.
    pub claim_lease: ClaimLease,
    /// Stops the loops, which hold no request in progress.
    pub stop: CancellationToken,
    /// Requests in progress.
    pub requests: TaskTracker,
    is_configured: AtomicBool,
    is_stopping: AtomicBool,
    last_request_number: AtomicU64,
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

    /// Returns a new request id.
    pub fn next_request_id(&self) -> request::Id {
        let number = self.last_request_number.fetch_add(1, Ordering::Relaxed) + 1;
        request::Id::new(self.incarnation, number)
    }

    /// Tells whether this entry takes requests.
    pub fn is_ready(&self) -> bool {
        self.is_configured.load(Ordering::Relaxed) && !self.is_stopping.load(Ordering::Relaxed)
    }

    /// Refuses work whose service or team can't be looked up, because there is no configuration yet.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StoreUnavailable`] until the configuration is read: "unknown" would be false.
    pub fn require_configuration(&self) -> Result<(), Error> {
        if self.is_configured.load(Ordering::Relaxed) {
            return Ok(());
        }
        Err(Error::new(ErrorKind::StoreUnavailable).context("no configuration was read yet"))
    }

    /// Says that this entry has its configuration, and so takes requests unless it is stopping.
    pub fn set_configured(&self) {
        self.is_configured.store(true, Ordering::Relaxed);
    }

    /// Says that this entry takes no more requests from the balancer.
    pub fn set_stopping(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Claims the right to fetch sections from a companion, and tells whether it was free. The
    /// holder gives it back by [`Self::end_fetch`].
    pub fn try_begin_fetch(&self) -> bool {
        !self.is_fetching.swap(true, Ordering::Relaxed)
    }

    /// Gives back the right to fetch sections.
    pub fn end_fetch(&self) {
        self.is_fetching.store(false, Ordering::Relaxed);
    }

    /// Returns the configuration, locked.
    pub fn register(&self) -> MutexGuard<'_, Register> {
        lock(&self.register)
    }

    /// Returns the upstreams, locked.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }

    /// Returns the other entries by name, locked.
    pub fn peers(&self) -> MutexGuard<'_, BTreeMap<String, Peer>> {
        lock(&self.peers)
    }

    /// Returns the owner of the cell, if it is known.
    pub fn owner(&self) -> Option<Owner> {
        *lock(&self.owner)
    }

    /// Records the owner of the cell. An owner of a lower epoch than a known one is ignored.
    pub fn set_owner(&self, owner: Owner) {
        let mut known = lock(&self.owner);
        if known.is_none_or(|known| known.epoch <= owner.epoch) {
            *known = Some(owner);
        }
    }

    /// Returns the lane of `service` for a kind of requests, if an upstream has named it.
    pub fn balancer(&self, service: &str, traffic: TrafficClass) -> Option<Arc<ServiceBalancer>> {
        lock(&self.balancers)
            .get(&(service.to_owned(), traffic))
            .cloned()
    }

    /// Returns the lane of `service` for a kind of requests, and starts it where it is new.
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
        .expect("no holder of this lock panics while it changes the state")
}
