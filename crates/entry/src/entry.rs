//! A running entry.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use slog::{Logger, info, o};
use tokio::{
    task::JoinHandle,
    time::{Duration, Instant, timeout_at},
};
use tokio_util::sync::CancellationToken;
use toucanquay_model::{Error, Incarnation};
use toucanquay_store::Client;
use toucanquay_wire::{Clock, Server};

use crate::{
    Context, Settings, client,
    http::{Listener, Serving},
    member, operator, owner, peer, registry,
};

/// Time between two looks for upstreams whose heartbeats have stopped.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    context: Arc<Context>,
    clients: Serving,
    operators: Serving,
    client_address: SocketAddr,
    operator_address: SocketAddr,
    peers: JoinHandle<()>,
    peers_stop: CancellationToken,
    owner: JoinHandle<()>,
}

impl Entry {
    /// Binds the listeners and starts the entry.
    ///
    /// It is ready as soon as it has read the configuration, from the store or from another entry.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidSetting`] for the first setting that is wrong.
    pub async fn start(mut settings: Settings, log: Logger) -> Result<Self, Error> {
        settings.check().map_err(|faults| {
            faults
                .into_iter()
                .next()
                .expect("a failed check names a fault")
        })?;
        let log = log.new(o!("entry" => settings.name.clone()));
        let clients = Listener::bind("--client-listen", settings.client_listen)?;
        let operators = Listener::bind("--operator-listen", settings.operator_listen)?;
        let peers = Server::bind(settings.peer_listen, log.clone()).await?;
        settings.peer_listen = peers.address();
        let incarnation = incarnation();
        let store = store(&settings, incarnation)?;
        let clock = Clock::start();
        let context = Arc::new(Context::new(settings, log, clock, incarnation, store));
        info!(context.log, "entry_started"; "incarnation" => incarnation,
            "client" => %clients.address(), "operator" => %operators.address(),
            "peer" => %peers.address());
        start_loops(&context);
        let peers_stop = CancellationToken::new();
        let serving = context.clone();
        let peers = tokio::spawn(peers.run(peers_stop.clone(), move |stream| {
            peer::serve(serving.clone(), stream)
        }));
        let owner = tokio::spawn(owner::run(context.clone()));
        Ok(Self {
            client_address: clients.address(),
            operator_address: operators.address(),
            clients: clients.serve(client::router(&context)),
            operators: operators.serve(operator::routes::router(&context, metrics_handle())),
            context,
            peers,
            peers_stop,
            owner,
        })
    }

    /// Returns the address of the listener for clients.
    #[must_use]
    pub const fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// Returns the address of the listener for operators.
    #[must_use]
    pub const fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns the address of the listener for companions and other entries.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.context.settings.peer_listen
    }

    /// Tells whether the entry takes requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.context.is_ready()
    }

    /// Tells whether the entry owns its cell.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        self.context.role.is_held()
    }

    /// Stops the entry gracefully and returns the number of requests that the deadline cut off.
    ///
    /// Readiness goes off first, so that the balancer sends no more requests; then the listeners
    /// take no new connections, and requests in progress end. The owner's role is handed over.
    pub async fn stop(mut self) -> usize {
        let settings = &self.context.settings;
        let deadline = Instant::now() + Duration::from_millis(settings.stop_deadline_ms);
        info!(self.context.log, "stop_started");
        self.context.begin_stop();
        tokio::time::sleep(Duration::from_millis(settings.balancer_wait_ms)).await;
        self.context.requests.close();
        let drained = async {
            tokio::join!(self.clients.stop(), self.context.requests.wait());
        };
        let is_drained = timeout_at(deadline, drained).await.is_ok();
        let remaining = self.context.requests.len();
        self.context.role.retire();
        let _ = timeout_at(deadline, &mut self.owner).await;
        let _ = timeout_at(deadline, registry::withdraw(&self.context)).await;
        self.context.stop.cancel();
        self.peers_stop.cancel();
        let _ = timeout_at(deadline, &mut self.peers).await;
        self.peers.abort();
        self.clients.abort();
        self.operators.abort();
        info!(self.context.log, "stop_ended"; "is_drained" => is_drained,
            "requests_cut" => remaining);
        if is_drained { 0 } else { remaining.max(1) }
    }
}

fn start_loops(context: &Arc<Context>) {
    spawn(context, registry::register(context.clone()));
    spawn(context, registry::watch(context.clone()));
    spawn(context, member::run(context.clone()));
    let expiring = context.clone();
    spawn(context, async move {
        loop {
            member::expire(&expiring);
            tokio::time::sleep(EXPIRY_INTERVAL).await;
        }
    });
}

fn spawn(context: &Arc<Context>, run: impl Future<Output = ()> + Send + 'static) {
    let stop = context.stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(run).await });
}

/// Returns a number that grows from one run of the process to the next.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

fn store(settings: &Settings, incarnation: Incarnation) -> Result<Client, Error> {
    Client::builder(settings.store, format!("{}-{incarnation}", settings.name))
        .calls_per_second(settings.store_calls_per_second)
        .build()
}

/// Returns the process's metrics; the first call installs the recorder.
fn metrics_handle() -> PrometheusHandle {
    use std::sync::OnceLock;
    /// The recorder is one for the process, also where a process runs several entries.
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE
        .get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            // Another recorder may be there already; the handle then stays empty.
            let _ = metrics::set_global_recorder(recorder);
            handle
        })
        .clone()
}
