//! HTTP routes for clients.

mod jobs;
mod probes;
mod service;

use std::sync::Arc;

use salvo::Router;

use crate::Context;

pub use probes::{HealthHandler, ReadinessHandler};

/// Returns the routes for clients.
#[must_use]
pub fn router(context: &Arc<Context>) -> Router {
    let service = service::ServiceHandler::new(context.clone());
    Router::new()
        .push(
            Router::with_path("services/{service}")
                .goal(service.clone())
                .push(Router::with_path("{**rest}").goal(service)),
        )
        .push(jobs::router(context))
        .push(Router::with_path("health").get(HealthHandler))
        .push(Router::with_path("ready").get(ReadinessHandler::new(context.clone())))
}
