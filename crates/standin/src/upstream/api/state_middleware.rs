//! Middleware that passes the shared state to handlers whose requests are not counted.

use std::sync::Arc;

use salvo::prelude::*;

use crate::upstream::SharedState;

/// Stores the shared state in the depot for the handler.
#[derive(Debug)]
pub(super) struct StateMiddleware {
    shared: Arc<SharedState>,
}

impl StateMiddleware {
    pub(super) const fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }
}

#[handler]
impl StateMiddleware {
    async fn handle(&self, depot: &mut Depot) {
        depot.insert_typed(Arc::clone(&self.shared));
    }
}
