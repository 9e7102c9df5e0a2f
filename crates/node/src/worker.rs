//! Interface to the worker beside a companion.

mod call;
mod reply;

use std::{fmt, sync::Arc};

use futures_util::future::BoxFuture;
use tokio::time::Instant;

pub use call::Call;
pub use reply::Reply;

/// Executes one call by a deadline.
type Handler = dyn Fn(Call, Instant) -> BoxFuture<'static, Reply> + Send + Sync;

/// Client of one worker.
#[derive(Clone)]
pub struct Worker {
    handler: Arc<Handler>,
}

impl fmt::Debug for Worker {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Worker").finish_non_exhaustive()
    }
}

impl Worker {
    /// Creates a client whose calls are executed by `handler`.
    pub fn new<F>(handler: F) -> Self
    where
        F: Fn(Call, Instant) -> BoxFuture<'static, Reply> + Send + Sync + 'static,
    {
        Self {
            handler: Arc::new(handler),
        }
    }

    /// Executes a call.
    pub async fn call(&self, call: Call, deadline: Instant) -> Reply {
        (self.handler)(call, deadline).await
    }
}
