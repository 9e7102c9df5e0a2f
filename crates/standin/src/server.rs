//! HTTP server that runs in the background.

use std::{io, net::SocketAddr};

use salvo::{Router, Server, conn::tcp::TcpAcceptor};
use tokio::{
    net::TcpListener,
    task::{AbortHandle, JoinSet},
};

/// Running HTTP server with its background tasks, which are aborted when the handle is dropped.
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
            // The task ends when it is aborted, which also closes the connections.
            let _ = Server::new(acceptor).try_serve(router).await;
        });
        Ok(Self { address, tasks })
    }

    /// Runs `task` in the background until it ends or the handle is dropped.
    pub(crate) fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        self.tasks.spawn(task)
    }

    /// Returns the bound address.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }
}
