//! Middleware that counts calls and injects faults before and after each call.

use std::{sync::Arc, time::Duration};

use salvo::prelude::*;

use super::{Call, SharedState};

/// Wraps the handler of one kind of call.
#[derive(Debug)]
pub(super) struct FaultMiddleware {
    shared: Arc<SharedState>,
    call: Call,
}

impl FaultMiddleware {
    pub(super) fn new(shared: &Arc<SharedState>, call: Call) -> Self {
        Self {
            shared: Arc::clone(shared),
            call,
        }
    }
}

#[handler]
impl FaultMiddleware {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
        connection: &mut ConnCtrl,
    ) {
        let delay = self.shared.with_state(|state| {
            state
                .call_stats
                .record(self.call, tokio::time::Instant::now());
            // Calls that change the store are delayed by `with_state_delayed`, so that they take
            // effect even if the caller disconnects.
            match self.call.is_read() {
                true => state.faults.delay,
                false => Duration::ZERO,
            }
        });
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if self.shared.with_state(|state| state.is_down()) {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            flow.skip_rest();
            return;
        }
        depot.insert_typed(Arc::clone(&self.shared));
        flow.call_next(request, depot, response).await;
        let (is_lost, delay) = self.shared.with_state(|state| {
            let is_lost = state.faults.take_lost_response(self.call);
            (is_lost, state.faults.response_delay)
        });
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if is_lost {
            connection.abort();
        }
    }
}
