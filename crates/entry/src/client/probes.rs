//! Health and readiness probes.

use std::sync::Arc;

use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use toucanquay_model::{Error, ErrorKind};

use crate::{Context, http::ErrorBody};

/// Responds with 200 while the process runs.
#[derive(Debug, Clone, Copy)]
pub struct HealthHandler;

#[async_trait]
impl Handler for HealthHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        response.render("healthy\n");
    }
}

/// Responds with 200 while the entry accepts requests. The load balancer in front of the entries
/// sends requests only to entries that are ready.
#[derive(Debug, Clone)]
pub struct ReadinessHandler {
    context: Arc<Context>,
}

impl ReadinessHandler {
    /// Returns the handler for an entry.
    #[must_use]
    pub const fn new(context: Arc<Context>) -> Self {
        Self { context }
    }
}

#[async_trait]
impl Handler for ReadinessHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        if self.context.is_ready() {
            response.render("ready\n");
        } else {
            ErrorBody::new(&Error::new(ErrorKind::ShuttingDown)).write(response);
        }
    }
}
