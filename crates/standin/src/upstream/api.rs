//! HTTP routes of the upstream.

mod in_flight_guard;
mod in_flight_middleware;
mod state_middleware;

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use salvo::prelude::*;
use serde_json::json;

use in_flight_middleware::InFlightMiddleware;
use state_middleware::StateMiddleware;

use super::SharedState;

/// Maximum size of a request body.
const BODY_BYTES_MAX: usize = 64_000_000;

/// Maximum size of a response body of `/large`.
const LARGE_BYTES_MAX: usize = 256_000_000;

/// Size of the chunks that `/large` and `/cut` send.
const CHUNK_BYTES: usize = 16_384;

/// Time between the first chunk of `/cut` and the abort of the response. Without this delay, the
/// server closes the connection before it has written the response head.
const CUT_DELAY: Duration = Duration::from_millis(20);

/// Header that identifies a request. Its value is part of the response.
const MARKER_HEADER: &str = "x-request-marker";

/// Returns the routes. Requests for `/health` are not counted.
pub(super) fn router(shared: &Arc<SharedState>) -> Router {
    let counted = Router::new()
        .hoop(InFlightMiddleware::new(Arc::clone(shared)))
        .push(Router::with_path("lookup/{**rest}").goal(lookup))
        .push(Router::with_path("execute").post(execute))
        .push(Router::with_path("slow").goal(slow))
        .push(Router::with_path("feed").get(feed))
        .push(Router::with_path("cut").get(cut))
        .push(Router::with_path("large").get(large));
    Router::new()
        .push(
            Router::with_path("health")
                .hoop(StateMiddleware::new(Arc::clone(shared)))
                .get(health),
        )
        .push(counted)
}

/// Returns the state that a middleware has stored in the depot.
fn shared_state(depot: &Depot) -> Arc<SharedState> {
    let shared = depot.get_typed::<Arc<SharedState>>();
    Arc::clone(shared.expect("a middleware stores the state before each handler"))
}

/// Returns the request body as text, or an empty string if it cannot be read.
async fn read_text(request: &mut Request) -> String {
    let body = request.payload_with_max_size(BODY_BYTES_MAX).await;
    body.map(|bytes| String::from_utf8_lossy(bytes).into_owned())
        .unwrap_or_default()
}

fn marker(request: &Request) -> Option<String> {
    request.header(MARKER_HEADER)
}

#[handler]
async fn health(depot: &mut Depot, response: &mut Response) {
    if shared_state(depot).lock().is_healthy {
        response.render("ok");
    } else {
        response.status_code(StatusCode::SERVICE_UNAVAILABLE);
    }
}

#[handler]
async fn lookup(request: &mut Request, response: &mut Response) {
    let body = read_text(request).await;
    response.render(Json(json!({
        "method": request.method().as_str(),
        "path": request.uri().path(),
        "query": request.uri().query(),
        "marker": marker(request),
        "body": body,
    })));
}

#[handler]
async fn execute(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let body = read_text(request).await;
    let count = {
        let shared = shared_state(depot);
        let mut state = shared.lock();
        let count = state.executions.entry(body).or_default();
        *count += 1;
        *count
    };
    response.render(Json(json!({ "count": count, "marker": marker(request) })));
}

#[handler]
async fn slow(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let body = read_text(request).await;
    let delay = shared_state(depot).lock().slow_delay;
    let delay = request.query("ms").map_or(delay, Duration::from_millis);
    tokio::time::sleep(delay).await;
    response.render(Json(json!({ "marker": marker(request), "body": body })));
}

#[handler]
async fn feed(depot: &mut Depot, response: &mut Response) {
    let interval = shared_state(depot).lock().feed_interval;
    let lines = stream::unfold(0_u64, move |line| async move {
        if line > 0 {
            tokio::time::sleep(interval).await;
        }
        let text = Bytes::from(format!("line {line}\n"));
        Some((Ok::<_, io::Error>(text), line + 1))
    });
    response.stream(lines);
}

#[handler]
/// Responds with half of the announced content length and then aborts the response.
async fn cut(response: &mut Response) {
    let length = (2 * CHUNK_BYTES).to_string();
    let _ = response.add_header("content-length", length, true);
    let first = stream::iter([Ok(Bytes::from(vec![b'c'; CHUNK_BYTES]))]);
    let rest = stream::once(async {
        tokio::time::sleep(CUT_DELAY).await;
        Err(io::Error::other("response truncated on purpose"))
    });
    response.stream(first.chain(rest));
}

#[handler]
async fn large(request: &mut Request, response: &mut Response) {
    let bytes: usize = request.query("bytes").unwrap_or(1_000_000);
    let bytes = bytes.min(LARGE_BYTES_MAX);
    let _ = response.add_header("content-length", bytes.to_string(), true);
    let chunks = stream::unfold(0, move |sent| async move {
        let length = CHUNK_BYTES.min(bytes - sent);
        let chunk = Bytes::from(vec![b'l'; length]);
        (length > 0).then_some((Ok::<_, io::Error>(chunk), sent + length))
    });
    response.stream(chunks);
}
