//! HTTP routes for operators.

mod document;
mod in_force;
mod metrics;
mod upstreams;

use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use salvo::Router;

use crate::{
    Context,
    client::{HealthHandler, ReadinessHandler},
};

/// Returns the routes for operators.
#[must_use]
pub fn router(context: &Arc<Context>, metrics: PrometheusHandle) -> Router {
    Router::new()
        .push(document::router(context))
        .push(
            Router::with_path("document-in-force").get(in_force::WaitHandler::new(context.clone())),
        )
        .push(Router::with_path("upstreams").get(upstreams::ListHandler::new(context.clone())))
        .push(Router::with_path("metrics").get(metrics::MetricsHandler::new(metrics)))
        .push(Router::with_path("health").get(HealthHandler))
        .push(Router::with_path("ready").get(ReadinessHandler::new(context.clone())))
}
