//! HTTP listeners.

use std::{io, net::SocketAddr};

use salvo::{Router, Server, Service, catcher::Catcher, conn::tcp::TcpAcceptor};
use tokio::net::{TcpListener, TcpSocket};
use toucanquay_model::{Error, ErrorKind};

use super::{ListenerHandle, NotFoundHandler};

/// Maximum connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

/// A bound HTTP listener.
pub struct Listener {
    acceptor: TcpAcceptor,
    address: SocketAddr,
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
    pub fn bind(flag: &str, address: SocketAddr) -> Result<Self, Error> {
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
        Ok(Self { acceptor, address })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves `router` in a new task.
    #[must_use]
    pub fn serve(self, router: Router) -> ListenerHandle {
        let service = Service::new(router).catcher(Catcher::new(NotFoundHandler));
        let server = Server::new(self.acceptor);
        ListenerHandle::new(server, service)
    }
}

/// Listens with `TCP_NODELAY`, which accepted sockets inherit on Linux.
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
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
