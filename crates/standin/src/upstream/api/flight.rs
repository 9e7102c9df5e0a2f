//! Counts requests in progress.

use std::sync::Arc;

use salvo::prelude::*;

use super::guard::Guard;
use crate::upstream::Shared;

/// Counts each request from its arrival until its handler has returned or is dropped.
#[derive(Debug)]
pub(super) struct Flight {
    shared: Arc<Shared>,
}

impl Flight {
    pub(super) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[handler]
impl Flight {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        let _guard = Guard::new(Arc::clone(&self.shared));
        depot.insert_typed(Arc::clone(&self.shared));
        flow.call_next(request, depot, response).await;
    }
}
