//! Handles of running listeners.

use salvo::{Server, Service, conn::tcp::TcpAcceptor, server::ServerHandle};
use tokio::task::JoinHandle;

/// Handle of a running listener.
#[derive(Debug)]
pub struct ListenerHandle {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl ListenerHandle {
    pub(super) fn new(server: Server<TcpAcceptor>, service: Service) -> Self {
        let handle = server.handle();
        let task = tokio::spawn(server.serve(service));
        Self { handle, task }
    }

    /// Stops accepting connections and waits until the open ones have closed.
    ///
    /// The caller sets the timeout; dropping the future leaves connections open.
    pub async fn stop(&mut self) {
        self.handle.stop_graceful(None);
        // The task ends with the last connection and fails only if it panics.
        let _ = (&mut self.task).await;
    }

    /// Closes all connections immediately.
    pub fn abort(&self) {
        self.handle.stop_forceful();
    }
}
