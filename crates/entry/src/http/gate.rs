//! Connections of a listener within its limits.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, Weak},
};

use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    conn::{ConnCtrl, SocketAddr as PeerAddress},
    fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy},
};
use slog::Logger;
use slotmap::SecondaryMap;
use tokio::time::{Instant, sleep};
use toucanquay_wire::RefusalLog;

use super::{
    Caller, Kind, Limits,
    callers::{Callers, Closings, ConnectionKey},
};

/// Admits the connections of a listener and closes those that have to pay for others.
#[derive(Debug, Clone)]
pub(super) struct Gate {
    limits: Limits,
    table: Arc<Mutex<Table>>,
}

/// Connections with their handles.
#[derive(Debug)]
struct Table {
    callers: Callers,
    controls: SecondaryMap<ConnectionKey, ConnCtrl>,
    keys: HashMap<SocketAddr, ConnectionKey>,
    /// Connection that was admitted and has no observer yet.
    admitted: Option<(SocketAddr, ConnectionKey)>,
    refusals: RefusalLog,
}

impl Gate {
    pub(super) fn new(listener: &'static str, limits: Limits, log: Option<Logger>) -> Self {
        let table = Table {
            callers: Callers::new(limits),
            controls: SecondaryMap::new(),
            keys: HashMap::new(),
            admitted: None,
            refusals: RefusalLog::new(listener, log),
        };
        Self {
            limits,
            table: Arc::new(Mutex::new(table)),
        }
    }

    pub(super) const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Closes connections whose head isn't whole in time, until the listener has gone.
    pub(super) fn watch(&self) -> impl Future<Output = ()> + Send + use<> {
        let table: Weak<Mutex<Table>> = Arc::downgrade(&self.table);
        let interval = self.limits.head_timeout / 2;
        async move {
            loop {
                sleep(interval).await;
                let Some(table) = table.upgrade() else {
                    return;
                };
                let now = Instant::now();
                let mut table = lock(&table);
                let closings = table.callers.expire(now);
                table.close(&closings);
            }
        }
    }

    /// Takes room for more bytes of a body. Returns whether there is any.
    pub(super) fn hold(&self, key: ConnectionKey, bytes: usize) -> bool {
        let now = Instant::now();
        let mut table = self.lock();
        let (is_granted, closings) = table.callers.hold(key, bytes, now);
        table.close(&closings);
        is_granted
    }

    /// Records that the rest of a body is awaited.
    pub(super) fn await_body(&self, key: ConnectionKey) {
        self.lock().callers.await_body(key, Instant::now());
    }

    /// Records that a body is whole.
    pub(super) fn begin(&self, key: ConnectionKey) {
        self.lock().callers.begin(key, Instant::now());
    }

    /// Records that a request has ended.
    pub(super) fn end(&self, key: ConnectionKey) {
        self.lock().callers.end(key, Instant::now());
    }

    /// Records a refused request.
    pub(super) fn refuse(&self, kind: Kind) {
        self.lock().refusals.record(kind.name());
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }
}

fn lock(table: &Mutex<Table>) -> MutexGuard<'_, Table> {
    table
        .lock()
        .expect("the lock is never poisoned: no code panics while holding it")
}

impl Table {
    fn close(&self, closings: &Closings) {
        for (key, kind) in closings {
            self.refusals.record(kind.name());
            if let Some(control) = self.controls.get(*key) {
                control.abort();
            }
        }
    }

    fn remove(&mut self, address: SocketAddr, key: ConnectionKey) {
        if self.callers.close(key) {
            self.refusals.record(Kind::HeadUnfinished.name());
        }
        self.controls.remove(key);
        self.keys.remove(&address);
    }
}

#[async_trait]
impl FusePolicy for Gate {
    async fn decide(&self, info: &FuseInfo) -> FuseAction {
        let Some(address) = peer_address(&info.remote_addr) else {
            return FuseAction::Reject;
        };
        let has_closed = {
            let now = Instant::now();
            let mut table = self.lock();
            // Admission may have been cancelled before the connection got its observer.
            if let Some((address, key)) = table.admitted.take() {
                table.remove(address, key);
            }
            let Some((key, closings)) = table.callers.open(address.ip(), now) else {
                table.refusals.record(Kind::ConnectionLimit.name());
                return FuseAction::Reject;
            };
            table.close(&closings);
            table.keys.insert(address, key);
            table.admitted = Some((address, key));
            !closings.is_empty()
        };
        if has_closed {
            // Lets the closed connection free its descriptor before the next one is accepted.
            tokio::task::yield_now().await;
        }
        let timeouts = FuseConfig::disabled()
            .with_http1_header_timeout(self.limits.idle_timeout)
            .with_write_stall_timeout(self.limits.unread_timeout);
        FuseAction::Accept(timeouts)
    }

    fn observe(&self, _info: &FuseInfo, control: &ConnCtrl) -> Option<ArcConnObserver> {
        let mut table = self.lock();
        let (address, key) = table.admitted.take()?;
        table.controls.insert(key, control.clone());
        Some(Arc::new(Observer {
            gate: self.clone(),
            address,
            key,
        }))
    }
}

/// Reports what a connection receives and when it is closed.
#[derive(Debug)]
struct Observer {
    gate: Gate,
    address: SocketAddr,
    key: ConnectionKey,
}

impl ConnObserver for Observer {
    fn on_read(&self, bytes: usize) {
        let mut table = self.gate.lock();
        table.callers.receive(self.key, bytes, Instant::now());
    }
}

impl Drop for Observer {
    fn drop(&mut self) {
        self.gate.lock().remove(self.address, self.key);
    }
}

/// Lets the handlers of a request find its connection.
#[async_trait]
impl Handler for Gate {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        let address = peer_address(request.remote_addr());
        let key = address.and_then(|address| self.lock().keys.get(&address).copied());
        let Some(key) = key else {
            flow.call_next(request, depot, response).await;
            return;
        };
        let caller = Caller::new(self.clone(), key);
        request.extensions_mut().insert(caller.clone());
        flow.call_next(request, depot, response).await;
    }
}

fn peer_address(address: &PeerAddress) -> Option<SocketAddr> {
    address.clone().into_std()
}
