//! Routes of the store.

mod grant;
mod put;

use std::{sync::Arc, time::Duration};

use salvo::prelude::*;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::time::Instant;

use grant::Grant;
use put::Put;

use super::{Call, Shared, VALUE_BYTES_MAX, begins_with, gate::Gate};

/// Largest body of a write: a value whose every byte is escaped in JSON, and its fields.
const BODY_BYTES_MAX: usize = 6 * VALUE_BYTES_MAX + 1_000;

/// Longest wait of a watch.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Most changes in one answer to a watch.
const CHANGES_MAX: usize = 1_000;

/// Header with the store-wide revision that an answer reflects.
const REVISION_HEADER: &str = "store-revision";

/// Returns the routes, each behind its gate.
pub(super) fn router(shared: &Arc<Shared>) -> Router {
    let gate = |call| Router::new().hoop(Gate::new(shared, call));
    Router::with_path("v1")
        .push(gate(Call::Get).path("keys/{**key}").get(get))
        .push(gate(Call::Put).path("keys/{**key}").put(put_key))
        .push(gate(Call::Delete).path("keys/{**key}").delete(delete))
        .push(gate(Call::Range).path("range").get(range))
        .push(gate(Call::Watch).path("watch").get(watch))
        .push(gate(Call::Grant).path("leases").post(grant_lease))
        .push(
            gate(Call::KeepAlive)
                .path("leases/{id}/keepalive")
                .post(keep_alive),
        )
        .push(gate(Call::Revoke).path("leases/{id}").delete(revoke))
}

fn shared(depot: &Depot) -> Arc<Shared> {
    let shared = depot.get_typed::<Arc<Shared>>();
    Arc::clone(shared.expect("the gate injects the state before each handler"))
}

fn key(request: &Request) -> String {
    request.param("key").unwrap_or_default()
}

fn mark(response: &mut Response, revision: u64) {
    let _ = response.add_header(REVISION_HEADER, revision.to_string(), true);
}

async fn body<T: DeserializeOwned>(request: &mut Request, response: &mut Response) -> Option<T> {
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
    let key = key(request);
    let (revision, item) = shared(depot).change(|state| {
        let (revision, items) = state.read_view();
        (revision, items.get(&key).cloned())
    });
    mark(response, revision);
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
    let (revision, items) = shared(depot).change(|state| {
        let (revision, items) = state.read_view();
        (revision, begins_with(items, &prefix))
    });
    mark(response, revision);
    response.render(Json(json!({ "revision": revision, "items": items })));
}

#[handler]
async fn put_key(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(put) = body::<Put>(request, response).await else {
        return;
    };
    if put.value.len() > VALUE_BYTES_MAX {
        response.status_code(StatusCode::PAYLOAD_TOO_LARGE);
        return;
    }
    let key = key(request);
    let (revision, outcome) = shared(depot).change(|state| {
        if !state.is_expected(&key, put.expected) {
            return (state.revision(), Err(Some(state.get(&key).cloned())));
        }
        if put.lease.is_some_and(|lease| !state.has_lease(lease)) {
            return (state.revision(), Err(None));
        }
        let revision = state.write(&key, &put.value, put.lease);
        (revision, Ok(revision))
    });
    mark(response, revision);
    match outcome {
        Ok(revision) => response.render(Json(json!({ "revision": revision }))),
        Err(Some(current)) => {
            response.status_code(StatusCode::CONFLICT);
            response.render(Json(json!({ "current": current })));
        }
        Err(None) => {
            response.status_code(StatusCode::PRECONDITION_FAILED);
        }
    }
}

#[handler]
async fn delete(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let key = key(request);
    let expected: Option<u64> = request.query("expected");
    let (revision, outcome) = shared(depot).change(|state| {
        if state.get(&key).is_none() {
            return (state.revision(), Ok(false));
        }
        if !state.is_expected(&key, expected) {
            return (state.revision(), Err(state.get(&key).cloned()));
        }
        state.remove(&key);
        (state.revision(), Ok(true))
    });
    mark(response, revision);
    match outcome {
        Ok(true) => response.render(Json(json!({ "revision": revision }))),
        Ok(false) => {
            response.status_code(StatusCode::NOT_FOUND);
        }
        Err(current) => {
            response.status_code(StatusCode::CONFLICT);
            response.render(Json(json!({ "current": current })));
        }
    }
}

#[handler]
async fn grant_lease(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(grant) = body::<Grant>(request, response).await else {
        return;
    };
    let ttl = Duration::from_millis(grant.ttl_ms);
    let lease = shared(depot).change(|state| state.grant(ttl, Instant::now()));
    response.render(Json(json!({ "lease": lease })));
}

#[handler]
async fn keep_alive(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let lease: u64 = request.param("id").unwrap_or(0);
    match shared(depot).change(|state| state.keep_alive(lease, Instant::now())) {
        Some(ttl) => response.render(Json(json!({ "ttl_ms": ttl.as_millis() }))),
        None => {
            response.status_code(StatusCode::NOT_FOUND);
        }
    }
}

#[handler]
async fn revoke(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let lease: u64 = request.param("id").unwrap_or(0);
    if shared(depot).change(|state| state.end_lease(lease)) {
        response.render(Json(json!({})));
    } else {
        response.status_code(StatusCode::NOT_FOUND);
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
    let deadline = Instant::now() + wait.min(WAIT_MAX);
    let shared = shared(depot);
    let mut changed = shared.changes();
    let dropped = shared.change(|state| state.faults.dropped_watches);
    loop {
        changed.mark_unchanged();
        let (revision, changes, is_down, is_dropped) = shared.change(|state| {
            (
                state.revision(),
                state.changes(&prefix, after, CHANGES_MAX),
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
            mark(response, revision);
            // There may be more changes than one answer holds, so it vouches for its last one only.
            let revision = changes.last().map_or(revision, |change| change.revision);
            response.render(Json(json!({ "revision": revision, "events": changes })));
            return;
        }
        let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
    }
}
