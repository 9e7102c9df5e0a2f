//! A listener in service.

use salvo::{Server, Service, conn::tcp::TcpAcceptor, server::ServerHandle};
use tokio::task::JoinHandle;

/// A listener that is being served.
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

    /// Stops accepting connections and waits until those that are open have ended.
    ///
    /// The caller bounds the time; dropping the future leaves connections as they are.
    pub async fn stop(&mut self) {
        self.handle.stop_graceful(None);
        // The task ends with the last connection; it fails only if a bug made it panic.
        let _ = (&mut self.task).await;
    }

    /// Cuts all connections.
    pub fn abort(&self) {
        self.handle.stop_forceful();
    }
}
