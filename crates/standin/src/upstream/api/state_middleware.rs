//! Hands the shared state to handlers that are not counted.

use std::sync::Arc;

use salvo::prelude::*;

use crate::upstream::SharedState;

/// Puts the shared state where the handler finds it.
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
