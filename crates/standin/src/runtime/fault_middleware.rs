//! Middleware that injects faults before each call.

use std::sync::Arc;

use salvo::prelude::*;

use super::SharedState;

/// Delays calls while the runtime is paused and fails them while it is unavailable.
#[derive(Debug)]
pub(super) struct FaultMiddleware {
    shared: Arc<SharedState>,
}

impl FaultMiddleware {
    pub(super) const fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }
}

#[handler]
impl FaultMiddleware {
    async fn handle(&self, depot: &mut Depot, response: &mut Response, flow: &mut FlowCtrl) {
        self.shared.wait_until_resumed().await;
        if self.shared.with_table(|table| table.is_unavailable) {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            flow.skip_rest();
            return;
        }
        depot.insert_typed(Arc::clone(&self.shared));
    }
}
