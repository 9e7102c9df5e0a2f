//! A running HTTP server.

use std::{io, net::SocketAddr};

use salvo::{Router, Server, conn::tcp::TcpAcceptor};
use tokio::{
    net::TcpListener,
    task::{AbortHandle, JoinSet},
};

/// An HTTP server with its background tasks, which end when this is dropped.
#[derive(Debug)]
pub(crate) struct ServerHandle {
    address: SocketAddr,
    tasks: JoinSet<()>,
}

impl ServerHandle {
    /// Binds `address` and serves `router` on it.
    pub(crate) async fn start(address: SocketAddr, router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            // The task ends by being aborted, which also closes the connections.
            let _ = Server::new(acceptor).try_serve(router).await;
        });
        Ok(Self { address, tasks })
    }

    /// Runs `task` until this is dropped.
    pub(crate) fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        self.tasks.spawn(task)
    }

    /// Returns the bound address.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }
}
