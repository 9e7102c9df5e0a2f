//! Startup and graceful stop of a companion.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use slog::{Logger, info, o, warn};
use tokio::{
    task::JoinHandle,
    time::{Instant, timeout_at},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use toucanquay_model::{Error, Incarnation};
use toucanquay_wire::Server;

use crate::{
    Context, Settings, Upstream, forward, health, heartbeat,
    tasks::{self, RuntimeClient},
};

/// Time after the deadline of a graceful stop for sending failures to the entries of aborted
/// requests.
const ABORT_GRACE: Duration = Duration::from_secs(1);

/// A running companion.
///
/// # Examples
///
/// ```no_run
/// use slog::{Discard, Logger, o};
/// use toucanquay_companion::{Companion, Settings};
///
/// # async fn example() -> Result<(), Vec<toucanquay_model::Error>> {
/// let settings = Settings::new("w1", "lookup", "desk", "http://127.0.0.1:9000");
/// let companion = Companion::start(settings, Logger::root(Discard, o!())).await?;
/// println!("listens on {}", companion.address());
/// assert!(companion.stop().await);
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Companion {
    context: Arc<Context>,
    address: SocketAddr,
    server: JoinHandle<()>,
    loops: TaskTracker,
    stop_server: CancellationToken,
    stop_loops: CancellationToken,
}

impl Companion {
    /// Starts a companion. Its listener is bound when this returns.
    ///
    /// # Errors
    ///
    /// An [`InvalidSetting`](toucanquay_model::ErrorKind::InvalidSetting) for each setting that is
    /// invalid or can't be used on this host.
    pub async fn start(settings: Settings, log: Logger) -> Result<Self, Vec<Error>> {
        settings.check()?;
        let incarnation = new_incarnation();
        let log = log.new(o!("worker" => settings.worker.clone()));
        let upstream = Upstream::new(&settings).map_err(|error| vec![error])?;
        let runtime = settings
            .runtime
            .as_deref()
            .map(RuntimeClient::new)
            .transpose();
        let runtime = runtime.map_err(|error| vec![error])?;
        let server = Server::bind(settings.listen, log.clone())
            .await
            .map_err(|error| vec![error])?;
        let address = server.address();
        let context = Context::new(settings, address, upstream, incarnation, log);
        let companion = Self::spawn(Arc::new(context), server, runtime);
        info!(companion.context.log, "companion_started";
            "incarnation" => incarnation, "address" => %address);
        Ok(companion)
    }

    /// Returns the address of the listener for entries.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the incarnation, which identifies this run of the companion.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.context.incarnation
    }

    /// Returns the state shared by the companion's background loops and streams.
    #[must_use]
    pub const fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Stops gracefully, and returns whether no request was aborted and no task remained.
    ///
    /// New requests are refused, and entries are notified at once. Tasks are stopped with a
    /// checkpoint and handed back to the cell owner. Requests in flight may complete until the
    /// deadline of the settings; the remaining ones are logged and aborted.
    pub async fn stop(self) -> bool {
        let context = &self.context;
        let deadline = Instant::now() + Duration::from_millis(context.settings.stop_deadline_ms);
        info!(context.log, "stop_begun"; "in_flight" => context.admission.in_flight());
        context.admission.stop();
        heartbeat::send_final(context).await;
        let is_clean = timeout_at(deadline, wait_until_drained(context))
            .await
            .is_ok();
        if !is_clean {
            warn!(context.log, "stop_deadline"; "in_flight" => context.admission.in_flight(),
                "tasks" => context.tasks.borrow().running);
            context.abort.cancel();
        }
        heartbeat::send_final(context).await;
        self.stop_loops.cancel();
        self.stop_server.cancel();
        self.loops.close();
        let shutdown_deadline = deadline.max(Instant::now()) + ABORT_GRACE;
        let shutdown = timeout_at(shutdown_deadline, async {
            self.loops.wait().await;
            self.server.await
        });
        if !matches!(shutdown.await, Ok(Ok(()))) {
            warn!(context.log, "stop_incomplete");
        }
        info!(context.log, "companion_stopped"; "is_clean" => is_clean);
        is_clean
    }

    fn spawn(context: Arc<Context>, server: Server, runtime: Option<RuntimeClient>) -> Self {
        let loops = TaskTracker::new();
        let stop_loops = CancellationToken::new();
        let stop_server = CancellationToken::new();
        let address = server.address();
        let stream_context = context.clone();
        let server = server.run(stop_server.clone(), move |stream| {
            forward::serve(stream_context.clone(), stream)
        });
        let server = tokio::spawn(server);
        heartbeat::start(&context, &loops, &stop_loops);
        let health = stop_loops
            .clone()
            .run_until_cancelled_owned(health::run(context.clone()));
        loops.spawn(health);
        if let Some(runtime) = runtime {
            let tasks = stop_loops
                .clone()
                .run_until_cancelled_owned(tasks::run(context.clone(), runtime));
            loops.spawn(tasks);
        }
        Self {
            context,
            address,
            server,
            loops,
            stop_server,
            stop_loops,
        }
    }
}

/// Waits until no request is in flight and the tasks are drained.
async fn wait_until_drained(context: &Context) {
    let mut tasks = context.tasks.subscribe();
    context.admission.wait_until_idle().await;
    // Fails only when the sender is dropped, and the context owns the sender.
    let _ = tasks.wait_for(|summary| summary.is_drained).await;
}

/// Returns an incarnation that is higher than that of any earlier run, as long as the host's wall
/// clock does not go backwards. The low 8 bits are random, to distinguish runs that start in the
/// same microsecond.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since_epoch.map_or(0, |time| time.as_micros());
    let micros = Incarnation::try_from(micros).unwrap_or(0);
    (micros << 8) | Incarnation::from(rand::random::<u8>())
}
