//! Server side of the transport.

use std::net::SocketAddr;

use h2::server::{Connection, SendResponse};
use http::{Request, Response};
use slog::{Logger, debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Duration, Instant, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use toucanquay_model::{Error, ErrorKind};

use crate::{
    PeerLimits, RefusalLog, Stream,
    connections::{Connections, Open},
    room::Room,
};

/// Maximum number of concurrent streams of a connection.
const STREAMS_MAX: u32 = 4_096;

/// Flow-control window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// Flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 1 << 24;

/// Maximum size of the headers of a stream, in bytes.
const HEADER_BYTES_MAX: u32 = 16_384;

/// Listener for streams of frames.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    limits: PeerLimits,
    log: Logger,
}

impl Server {
    /// Binds a listener to `address`. With port 0, the operating system chooses a port.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidSetting`] if the address cannot be bound.
    pub async fn bind(address: SocketAddr, log: Logger) -> Result<Self, Error> {
        let bind_error = |cause: std::io::Error| {
            Error::new(ErrorKind::InvalidSetting)
                .field("listen address")
                .value(address)
                .expected("a free address of this host")
                .context(cause)
        };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        Ok(Self {
            listener,
            address,
            limits: PeerLimits::default(),
            log,
        })
    }

    /// Sets the limits on other processes.
    #[must_use]
    pub const fn limits(mut self, limits: PeerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls `serve` with each stream until `stop` is cancelled, then waits for open streams.
    ///
    /// On `stop`, a GOAWAY frame is sent on each connection to refuse new streams. The wait for
    /// open streams has no timeout; the caller has to apply one.
    pub async fn run<F, S>(self, stop: CancellationToken, serve: F)
    where
        F: Fn(Stream) -> S + Clone + Send + 'static,
        S: Future<Output = ()> + Send + 'static,
    {
        let connections = TaskTracker::new();
        let refusals = RefusalLog::new("peers", Some(self.log.clone()));
        let open_connections = Connections::new(self.limits.connections, refusals.clone());
        let room = Room::new(self.limits, refusals.clone());
        let mut is_accept_failing = false;
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((socket, peer)) => {
                    is_accept_failing = false;
                    let Some((open, has_closed)) = open_connections.open(Instant::now()) else {
                        continue;
                    };
                    let key = open.key();
                    let connection = Accepted {
                        socket,
                        peer,
                        open,
                        room: room.clone(),
                        refusals: refusals.clone(),
                        timeout: self.limits.timeout,
                        log: self.log.clone(),
                    };
                    let run = connection.run(stop.clone(), serve.clone());
                    open_connections.set_task(key, connections.spawn(run).abort_handle());
                    if has_closed {
                        // Lets it free its descriptor before the next one is accepted.
                        tokio::task::yield_now().await;
                    }
                }
                Err(cause) => {
                    if !is_accept_failing {
                        warn!(self.log, "accept_failed"; "cause" => %cause);
                    }
                    is_accept_failing = true;
                    // Without file descriptors, accept fails at once; the delay avoids a busy loop.
                    tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                }
            }
        }
        drop(self.listener);
        connections.close();
        connections.wait().await;
    }
}

/// An accepted connection.
#[derive(Debug)]
struct Accepted {
    socket: TcpStream,
    peer: SocketAddr,
    open: Open,
    room: Room,
    refusals: RefusalLog,
    timeout: Duration,
    log: Logger,
}

impl Accepted {
    async fn run<F, S>(self, stop: CancellationToken, serve: F)
    where
        F: Fn(Stream) -> S,
        S: Future<Output = ()> + Send + 'static,
    {
        let Self { peer, log, .. } = self;
        let mut connection = match timeout(self.timeout, handshake(self.socket)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(cause)) => {
                debug!(log, "handshake_failed"; "peer" => %peer, "cause" => %cause);
                return;
            }
            Err(_elapsed) => {
                self.refusals.record("handshake_timeout");
                return;
            }
        };
        let mut is_stopping = false;
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled(), if !is_stopping => {
                    is_stopping = true;
                    connection.graceful_shutdown();
                    continue;
                }
                accepted = connection.accept() => accepted,
            };
            match accepted {
                Some(Ok((request, respond))) => {
                    if let Some(stream) = accept_stream(request, respond, &self.room) {
                        let open = self.open.stream();
                        let served = serve(stream);
                        tokio::spawn(async move {
                            served.await;
                            drop(open);
                        });
                    }
                }
                Some(Err(cause)) => {
                    debug!(log, "connection_broken"; "peer" => %peer, "cause" => %cause);
                    return;
                }
                None => return,
            }
        }
    }
}

async fn handshake(socket: TcpStream) -> Result<Connection<TcpStream, bytes::Bytes>, String> {
    socket
        .set_nodelay(true)
        .map_err(|cause| cause.to_string())?;
    h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(STREAMS_MAX)
        .max_header_list_size(HEADER_BYTES_MAX)
        .handshake(socket)
        .await
        .map_err(|cause| cause.to_string())
}

fn accept_stream(
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<bytes::Bytes>,
    room: &Room,
) -> Option<Stream> {
    let sink = respond.send_response(Response::new(()), false).ok()?;
    Some(Stream::from_server(sink, request.into_body(), room.part()))
}
