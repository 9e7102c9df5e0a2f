//! HTTP listeners.

use std::{io, net::SocketAddr};

use salvo::{Router, Server, Service, catcher::Catcher, conn::tcp::TcpAcceptor};
use slog::Logger;
use tokio::net::{TcpListener, TcpSocket};
use toucanquay_model::{Error, ErrorKind};

use super::{Limits, ListenerHandle, NotFoundHandler, gate::Gate};

/// Maximum connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

/// Size of the receive and of the send buffer of a connection, in bytes. The system keeps so much
/// for a caller that isn't read, or doesn't read.
const SOCKET_BUFFER_BYTES: u32 = 65_536;

/// A bound HTTP listener.
pub struct Listener {
    acceptor: TcpAcceptor,
    address: SocketAddr,
    name: &'static str,
    limits: Limits,
    log: Option<Logger>,
}

impl std::fmt::Debug for Listener {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Listener")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Listener {
    /// Binds `address`, the value of the setting `flag`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidSetting`] if the address can't be bound.
    pub fn bind(flag: &'static str, address: SocketAddr) -> Result<Self, Error> {
        let bind_error = |cause: String| {
            Error::new(ErrorKind::InvalidSetting)
                .field(flag)
                .value(address)
                .expected("a free address of this host")
                .context(cause)
        };
        let acceptor = listen(address)
            .and_then(TcpAcceptor::try_from)
            .map_err(|cause| bind_error(cause.to_string()))?;
        let address = acceptor
            .local_addr()
            .map_err(|cause| bind_error(cause.to_string()))?;
        Ok(Self {
            acceptor,
            address,
            name: flag,
            limits: Limits::default(),
            log: None,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the limits on callers.
    #[must_use]
    pub const fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the log for refused callers.
    #[must_use]
    pub fn log(mut self, log: Logger) -> Self {
        self.log = Some(log);
        self
    }

    /// Serves `router` in a new task.
    #[must_use]
    pub fn serve(self, router: Router) -> ListenerHandle {
        let gate = Gate::new(self.name, self.limits, self.log);
        tokio::spawn(gate.watch());
        let service = Service::new(router)
            .catcher(Catcher::new(NotFoundHandler))
            .hoop(gate.clone());
        let mut server = Server::new(self.acceptor).fuse_policy(gate);
        server.http1_mut().max_buf_size(self.limits.head_bytes);
        ListenerHandle::new(server, service)
    }
}

/// Listens with `TCP_NODELAY` and bounded buffers, which accepted sockets inherit on Linux.
///
/// The head and the first part of a response are two writes. Nagle's algorithm would hold back the
/// second until the client acknowledges the first, and the client delays that by 40 ms.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
