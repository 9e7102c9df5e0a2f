//! Starting and stopping an entry.

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
    http::{Listener, ListenerHandle},
    membership, operator, owner, peer, registry,
};

/// Interval between checks for upstreams whose heartbeats have stopped.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    context: Arc<Context>,
    client_listener: ListenerHandle,
    operator_listener: ListenerHandle,
    client_address: SocketAddr,
    operator_address: SocketAddr,
    peer_server: JoinHandle<()>,
    peer_server_stop: CancellationToken,
    owner_task: JoinHandle<()>,
}

impl Entry {
    /// Binds the listeners and starts the entry.
    ///
    /// The entry becomes ready once it has read the configuration, from the store or from another
    /// process.
    ///
    /// # Errors
    ///
    /// [`InvalidSetting`](toucanquay_model::ErrorKind::InvalidSetting) for the first invalid
    /// setting.
    pub async fn start(mut settings: Settings, log: Logger) -> Result<Self, Error> {
        settings.check().map_err(|errors| {
            errors
                .into_iter()
                .next()
                .expect("a failed check returns at least one error")
        })?;
        let log = log.new(o!("entry" => settings.name.clone()));
        let client_listener = Listener::bind("--client-listen", settings.client_listen)?;
        let operator_listener = Listener::bind("--operator-listen", settings.operator_listen)?;
        let peer_server = Server::bind(settings.peer_listen, log.clone()).await?;
        settings.peer_listen = peer_server.address();
        let incarnation = incarnation();
        let store = store_client(&settings, incarnation)?;
        let clock = Clock::start();
        let context = Arc::new(Context::new(settings, log, clock, incarnation, store));
        info!(context.log, "entry_started"; "incarnation" => incarnation,
            "client" => %client_listener.address(), "operator" => %operator_listener.address(),
            "peer" => %peer_server.address());
        spawn_background_tasks(&context);
        let peer_server_stop = CancellationToken::new();
        let peer_context = context.clone();
        let peer_server = tokio::spawn(peer_server.run(peer_server_stop.clone(), move |stream| {
            peer::serve(peer_context.clone(), stream)
        }));
        let owner_task = tokio::spawn(owner::run(context.clone()));
        Ok(Self {
            client_address: client_listener.address(),
            operator_address: operator_listener.address(),
            client_listener: client_listener.serve(client::router(&context)),
            operator_listener: operator_listener
                .serve(operator::routes::router(&context, metrics_handle())),
            context,
            peer_server,
            peer_server_stop,
            owner_task,
        })
    }

    /// Returns the address of the client listener.
    #[must_use]
    pub const fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// Returns the address of the operator listener.
    #[must_use]
    pub const fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns the address of the peer listener, for companions and other entries.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.context.settings.peer_listen
    }

    /// Returns whether the entry accepts requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.context.is_ready()
    }

    /// Returns whether the entry owns its cell.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        self.context.role.is_held()
    }

    /// Stops the entry gracefully and returns the number of requests aborted at the deadline.
    ///
    /// The readiness probe fails first, so that the load balancer in front of the entries sends no
    /// more requests. The listeners then accept no new connections while requests in progress
    /// complete. Finally the owner's role is given up, so that another entry can acquire it.
    pub async fn stop(mut self) -> usize {
        let settings = &self.context.settings;
        let deadline = Instant::now() + Duration::from_millis(settings.stop_deadline_ms);
        info!(self.context.log, "stop_started");
        self.context.set_stopping();
        tokio::time::sleep(Duration::from_millis(settings.balancer_wait_ms)).await;
        self.context.requests.close();
        let drained = async {
            tokio::join!(self.client_listener.stop(), self.context.requests.wait());
        };
        let is_drained = timeout_at(deadline, drained).await.is_ok();
        let unfinished = self.context.requests.len();
        self.context.role.retire();
        let _ = timeout_at(deadline, &mut self.owner_task).await;
        let _ = timeout_at(deadline, registry::deregister(&self.context)).await;
        self.context.stop.cancel();
        self.peer_server_stop.cancel();
        let _ = timeout_at(deadline, &mut self.peer_server).await;
        self.peer_server.abort();
        self.client_listener.abort();
        self.operator_listener.abort();
        info!(self.context.log, "stop_ended"; "is_drained" => is_drained,
            "requests_cut" => unfinished);
        if is_drained { 0 } else { unfinished.max(1) }
    }
}

fn spawn_background_tasks(context: &Arc<Context>) {
    spawn_until_stop(context, registry::register(context.clone()));
    spawn_until_stop(context, registry::watch(context.clone()));
    spawn_until_stop(context, membership::poll_peers(context.clone()));
    let expiry_context = context.clone();
    spawn_until_stop(context, async move {
        loop {
            membership::expire_upstreams(&expiry_context);
            tokio::time::sleep(EXPIRY_INTERVAL).await;
        }
    });
}

fn spawn_until_stop(context: &Arc<Context>, run: impl Future<Output = ()> + Send + 'static) {
    let stop = context.stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(run).await });
}

/// Returns a number that increases with each start of the process.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

fn store_client(settings: &Settings, incarnation: Incarnation) -> Result<Client, Error> {
    Client::builder(settings.store, format!("{}-{incarnation}", settings.name))
        .calls_per_second(settings.store_calls_per_second)
        .build()
}

/// Returns a handle to the process's metrics; the first call installs the recorder.
fn metrics_handle() -> PrometheusHandle {
    use std::sync::OnceLock;
    /// A process has one recorder, even when it runs several entries.
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE
        .get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            // If another recorder is already installed, this handle renders no metrics.
            let _ = metrics::set_global_recorder(recorder);
            handle
        })
        .clone()
}
