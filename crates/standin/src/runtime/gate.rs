//! Applies faults before each call.

use std::sync::Arc;

use salvo::prelude::*;

use super::Shared;

/// Makes calls wait during a pause and refuses them when told to.
#[derive(Debug)]
pub(super) struct Gate {
    shared: Arc<Shared>,
}

impl Gate {
    pub(super) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[handler]
impl Gate {
    async fn handle(&self, depot: &mut Depot, response: &mut Response, flow: &mut FlowCtrl) {
        self.shared.resumed().await;
        if self.shared.change(|table| table.is_refusing) {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            flow.skip_rest();
            return;
        }
        depot.insert_typed(Arc::clone(&self.shared));
    }
}
