//! One HTTP listener.

use std::net::SocketAddr;

use salvo::{
    Listener as _, Router, Server, Service,
    catcher::Catcher,
    conn::{TcpListener, tcp::TcpAcceptor},
};
use toucanquay_model::{Error, ErrorKind};

use super::{Fallback, Serving};

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
    /// Binds `address`, which the setting `flag` names.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidSetting`] when the address can't be bound.
    pub async fn bind(flag: &str, address: SocketAddr) -> Result<Self, Error> {
        let unusable = |cause: String| {
            Error::new(ErrorKind::InvalidSetting)
                .field(flag)
                .value(address)
                .expected("a free address of this host")
                .context(cause)
        };
        let acceptor = TcpListener::new(address)
            .try_bind()
            .await
            .map_err(|cause| unusable(cause.to_string()))?;
        let address = acceptor
            .local_addr()
            .map_err(|cause| unusable(cause.to_string()))?;
        Ok(Self { acceptor, address })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves `router` in a task of its own.
    #[must_use]
    pub fn serve(self, router: Router) -> Serving {
        let service = Service::new(router).catcher(Catcher::new(Fallback));
        let server = Server::new(self.acceptor);
        Serving::new(server, service)
    }
}
