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
    client::{Health, Ready},
};

/// Returns the routes for operators.
#[must_use]
pub fn router(context: &Arc<Context>, metrics: PrometheusHandle) -> Router {
    Router::new()
        .push(document::router(context))
        .push(Router::with_path("document-in-force").get(in_force::Wait::new(context.clone())))
        .push(Router::with_path("upstreams").get(upstreams::List::new(context.clone())))
        .push(Router::with_path("metrics").get(metrics::Scrape::new(metrics)))
        .push(Router::with_path("health").get(Health))
        .push(Router::with_path("ready").get(Ready::new(context.clone())))
}
