//! Connection pool.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, sync::Mutex};

use tokio::{sync::Mutex as AsyncMutex, time::Instant};
use toucanquay_model::{Error, ErrorKind};

use crate::{Client, Frame, Stream};

/// The connection to one address, if any. The lock is held while connecting, so that concurrent
/// callers share one attempt.
type SharedClient = Arc<AsyncMutex<Option<Client>>>;

/// Keeps one connection for each address and reconnects when it is lost. Clones share the pool.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    clients: Arc<Mutex<HashMap<SocketAddr, SharedClient>>>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Opens a stream to `address`, connecting first if necessary. If this fails, nothing has been
    /// sent.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::PeerUnavailable`] if there is no connection by the deadline.
    pub async fn open(&self, address: SocketAddr, deadline: Instant) -> Result<Stream, Error> {
        tokio::time::timeout_at(deadline, self.open_without_deadline(address))
            .await
            .map_err(|_elapsed| {
                Error::new(ErrorKind::PeerUnavailable)
                    .value(address)
                    .context("no connection by the deadline")
            })?
    }

    /// Sends one frame to `address` and returns the response.
    ///
    /// # Errors
    ///
    /// The errors of [`Client::call`]; [`ErrorKind::OutcomeUnknown`] if the deadline passes after
    /// the frame was sent.
    pub async fn call(
        &self,
        address: SocketAddr,
        frame: &Frame,
        deadline: Instant,
    ) -> Result<Frame, Error> {
        let mut stream = self.open(address, deadline).await?;
        let exchange = async {
            stream.send_last(frame).await?;
            stream.recv().await
        };
        let response = match tokio::time::timeout_at(deadline, exchange).await {
            Ok(response) => response?,
            Err(_elapsed) => {
                // If the peer is unresponsive, later calls on this connection would time out too.
                self.remove(address);
                return Err(Error::new(ErrorKind::OutcomeUnknown)
                    .value(address)
                    .context("no answer by the deadline"));
            }
        };
        match response {
            Some(Frame::Refused(error)) => Err(error),
            Some(response) => Ok(response),
            None => Err(Error::new(ErrorKind::Protocol).context("stream ended without a response")),
        }
    }

    /// Removes the connection to `address` from the pool. Open streams use it until they end.
    pub fn remove(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    async fn open_without_deadline(&self, address: SocketAddr) -> Result<Stream, Error> {
        let shared = self.lock().entry(address).or_default().clone();
        let mut current = shared.lock().await;
        if let Some(client) = current.as_ref()
            && let Ok(stream) = client.open().await
        {
            return Ok(stream);
        }
        let client = Client::connect(address).await?;
        let stream = client.open().await?;
        *current = Some(client);
        Ok(stream)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, SharedClient>> {
        self.clients
            .lock()
            .expect("the lock is never poisoned: no code panics while holding it")
    }
}
