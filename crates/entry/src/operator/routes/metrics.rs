//! Route for metrics.

use metrics_exporter_prometheus::PrometheusHandle;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

/// Renders the metrics of the process.
pub(super) struct MetricsHandler {
    handle: PrometheusHandle,
}

impl MetricsHandler {
    pub(super) const fn new(handle: PrometheusHandle) -> Self {
        Self { handle }
    }
}

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        response.render(self.handle.render());
    }
}
