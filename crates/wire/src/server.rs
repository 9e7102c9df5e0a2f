//! Server side of the transport.

use std::net::SocketAddr;

use h2::server::{Connection, SendResponse};
use http::{Request, Response};
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use toucanquay_model::{Error, ErrorKind};

use crate::Stream;

/// Maximum number of concurrent streams of a connection.
const STREAMS_MAX: u32 = 4_096;

/// Flow-control window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// Flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 1 << 24;

/// Listener for streams of frames.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
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
            log,
        })
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
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((socket, peer)) => {
                    let log = self.log.clone();
                    let connection = run_connection(socket, peer, log, stop.clone(), serve.clone());
                    connections.spawn(connection);
                }
                Err(cause) => {
                    warn!(self.log, "accept_failed"; "cause" => %cause);
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

async fn run_connection<F, S>(
    socket: TcpStream,
    peer: SocketAddr,
    log: Logger,
    stop: CancellationToken,
    serve: F,
) where
    F: Fn(Stream) -> S,
    S: Future<Output = ()> + Send + 'static,
{
    let mut connection = match handshake(socket).await {
        Ok(connection) => connection,
        Err(cause) => {
            debug!(log, "handshake_failed"; "peer" => %peer, "cause" => %cause);
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
                if let Some(stream) = accept_stream(request, respond) {
                    tokio::spawn(serve(stream));
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

async fn handshake(socket: TcpStream) -> Result<Connection<TcpStream, bytes::Bytes>, String> {
    socket
        .set_nodelay(true)
        .map_err(|cause| cause.to_string())?;
    h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(STREAMS_MAX)
        .handshake(socket)
        .await
        .map_err(|cause| cause.to_string())
}

fn accept_stream(
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<bytes::Bytes>,
) -> Option<Stream> {
    let sink = respond.send_response(Response::new(()), false).ok()?;
    Some(Stream::from_server(sink, request.into_body()))
}
