//! HTTP routes of the store.

mod grant_request;
mod put_request;

use std::{sync::Arc, time::Duration};

use salvo::prelude::*;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::time::Instant;

use grant_request::GrantRequest;
use put_request::PutRequest;

use super::{
    Call, CallError, SharedState, VALUE_BYTES_MAX, fault_middleware::FaultMiddleware,
    items_with_prefix,
};

/// Maximum size of a request body: a value of the maximum size in which every byte is escaped in
/// JSON, and the other fields.
const BODY_BYTES_MAX: usize = 6 * VALUE_BYTES_MAX + 1_000;

/// Maximum time for which a watch waits.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(60);

/// Maximum number of changes in one response to a watch.
const CHANGES_PER_RESPONSE_MAX: usize = 1_000;

/// Header with the store-wide revision that a response reflects.
const REVISION_HEADER: &str = "store-revision";

/// Returns the routes, each with its middleware that counts calls and injects faults.
pub(super) fn router(shared: &Arc<SharedState>) -> Router {
    let route = |call| Router::new().hoop(FaultMiddleware::new(shared, call));
    Router::with_path("v1")
        .push(route(Call::Get).path("keys/{**key}").get(get))
        .push(route(Call::Put).path("keys/{**key}").put(put_key))
        .push(route(Call::Delete).path("keys/{**key}").delete(delete))
        .push(route(Call::Range).path("range").get(range))
        .push(route(Call::Watch).path("watch").get(watch))
        .push(route(Call::Grant).path("leases").post(grant_lease))
        .push(
            route(Call::KeepAlive)
                .path("leases/{id}/keepalive")
                .post(keep_alive),
        )
        .push(route(Call::Revoke).path("leases/{id}").delete(revoke))
}

/// Returns the state that the middleware has stored in the depot.
fn shared_state(depot: &Depot) -> Arc<SharedState> {
    let shared = depot.get_typed::<Arc<SharedState>>();
    Arc::clone(shared.expect("the middleware stores the state before each handler"))
}

fn request_key(request: &Request) -> String {
    request.param("key").unwrap_or_default()
}

fn set_revision_header(response: &mut Response, revision: u64) {
    let _ = response.add_header(REVISION_HEADER, revision.to_string(), true);
}

/// Parses the body as JSON. On failure, sets status 400 or 413 and returns `None`.
async fn read_body<T: DeserializeOwned>(
    request: &mut Request,
    response: &mut Response,
) -> Option<T> {
    let status = match request.payload_with_max_size(BODY_BYTES_MAX).await {
        Ok(bytes) => match serde_json::from_slice(bytes) {
            Ok(body) => return Some(body),
            Err(_malformed) => StatusCode::BAD_REQUEST,
        },
        Err(_too_large) => StatusCode::PAYLOAD_TOO_LARGE,
    };
    response.status_code(status);
    None
}

#[handler]
async fn get(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let key = request_key(request);
    let (revision, item) = shared_state(depot).with_state(|state| {
        let (revision, items) = state.read_view();
        (revision, items.get(&key).cloned())
    });
    set_revision_header(response, revision);
    match item {
        Some(item) => response.render(Json(item)),
        None => {
            response.status_code(StatusCode::NOT_FOUND);
        }
    }
}

#[handler]
async fn range(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let prefix: String = request.query("prefix").unwrap_or_default();
    let (revision, items) = shared_state(depot).with_state(|state| {
        let (revision, items) = state.read_view();
        (revision, items_with_prefix(items, &prefix))
    });
    set_revision_header(response, revision);
    response.render(Json(json!({ "revision": revision, "items": items })));
}

#[handler]
async fn put_key(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(put) = read_body::<PutRequest>(request, response).await else {
        return;
    };
    if put.value.len() > VALUE_BYTES_MAX {
        response.status_code(StatusCode::PAYLOAD_TOO_LARGE);
        return;
    }
    let key = request_key(request);
    let pending = shared_state(depot).with_state_delayed(move |state| {
        let outcome = state.put(&key, &put.value, put.expected, put.lease);
        (state.revision(), outcome)
    });
    respond(response, pending.await);
}

#[handler]
async fn delete(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let key = request_key(request);
    let expected: Option<u64> = request.query("expected");
    let pending = shared_state(depot).with_state_delayed(move |state| {
        let outcome = state.delete(&key, expected);
        (state.revision(), outcome)
    });
    respond(response, pending.await);
}

#[handler]
async fn grant_lease(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(grant) = read_body::<GrantRequest>(request, response).await else {
        return;
    };
    let ttl = Duration::from_millis(grant.ttl_ms);
    let pending = shared_state(depot).with_state_delayed(move |state| {
        let lease = state.grant(ttl, Instant::now());
        (state.revision(), Ok(json!({ "lease": lease })))
    });
    respond(response, pending.await);
}

#[handler]
async fn keep_alive(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let lease: u64 = request.param("id").unwrap_or(0);
    let pending = shared_state(depot).with_state_delayed(move |state| {
        let ttl = state.keep_alive(lease, Instant::now());
        let body = ttl.map(|ttl| json!({ "ttl_ms": ttl.as_millis() }));
        (state.revision(), body.ok_or(CallError::NotFound))
    });
    respond(response, pending.await);
}

#[handler]
async fn revoke(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let lease: u64 = request.param("id").unwrap_or(0);
    let pending = shared_state(depot).with_state_delayed(move |state| {
        let outcome = match state.end_lease(lease) {
            true => Ok(json!({})),
            false => Err(CallError::NotFound),
        };
        (state.revision(), outcome)
    });
    respond(response, pending.await);
}

/// Writes the response to a call that can change the store. An outcome of `None` means that the
/// store was down.
fn respond(response: &mut Response, outcome: Option<(u64, Result<Value, CallError>)>) {
    let Some((revision, outcome)) = outcome else {
        response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        return;
    };
    set_revision_header(response, revision);
    match outcome {
        Ok(body) => response.render(Json(body)),
        Err(CallError::NotFound) => {
            response.status_code(StatusCode::NOT_FOUND);
        }
        Err(CallError::LeaseNotFound) => {
            response.status_code(StatusCode::PRECONDITION_FAILED);
        }
        Err(CallError::Conflict(current)) => {
            response.status_code(StatusCode::CONFLICT);
            response.render(Json(json!({ "current": current })));
        }
    }
}

#[handler]
async fn watch(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
    connection: &mut ConnCtrl,
) {
    let prefix: String = request.query("prefix").unwrap_or_default();
    let after: u64 = request.query("after").unwrap_or(0);
    let wait = Duration::from_millis(request.query("wait_ms").unwrap_or(0));
    let deadline = Instant::now() + wait.min(WATCH_WAIT_MAX);
    let shared = shared_state(depot);
    let mut changed = shared.subscribe();
    let dropped = shared.with_state(|state| state.faults.dropped_watches);
    loop {
        changed.mark_unchanged();
        let (revision, changes, is_down, is_dropped) = shared.with_state(|state| {
            (
                state.revision(),
                state.changes_after(&prefix, after, CHANGES_PER_RESPONSE_MAX),
                state.is_down(),
                state.faults.dropped_watches != dropped,
            )
        });
        if is_down || is_dropped {
            connection.abort();
            return;
        }
        let Some(changes) = changes else {
            response.status_code(StatusCode::GONE);
            return;
        };
        if !changes.is_empty() || Instant::now() >= deadline {
            set_revision_header(response, revision);
            // More changes may exist than fit into one response, so its revision is that of its
            // last change.
            let revision = changes.last().map_or(revision, |change| change.revision);
            response.render(Json(json!({ "revision": revision, "events": changes })));
            return;
        }
        let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
    }
}
