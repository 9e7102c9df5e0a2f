//! Middleware that counts requests in progress.

use std::sync::Arc;

use salvo::prelude::*;

use super::in_flight_guard::InFlightGuard;
use crate::upstream::SharedState;

/// Counts each request as in progress from its arrival until its handler returns or is dropped.
#[derive(Debug)]
pub(super) struct InFlightMiddleware {
    shared: Arc<SharedState>,
}

impl InFlightMiddleware {
    pub(super) const fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }
}

#[handler]
impl InFlightMiddleware {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        let _guard = InFlightGuard::new(Arc::clone(&self.shared));
        depot.insert_typed(Arc::clone(&self.shared));
        flow.call_next(request, depot, response).await;
    }
}
