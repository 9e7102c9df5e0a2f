//! Routes of the store.

mod grant;
mod put;

use std::{sync::Arc, time::Duration};

use salvo::prelude::*;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::time::Instant;

use grant::Grant;
use put::Put;

use super::{Call, Refusal, Shared, VALUE_BYTES_MAX, begins_with, gate::Gate};

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
    let change = shared(depot).change_late(move |state| {
        let outcome = state.put(&key, &put.value, put.expected, put.lease);
        (state.revision(), outcome)
    });
    answer(response, change.await);
}

#[handler]
async fn delete(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let key = key(request);
    let expected: Option<u64> = request.query("expected");
    let change = shared(depot).change_late(move |state| {
        let outcome = state.delete(&key, expected);
        (state.revision(), outcome)
    });
    answer(response, change.await);
}

#[handler]
async fn grant_lease(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(grant) = body::<Grant>(request, response).await else {
        return;
    };
    let ttl = Duration::from_millis(grant.ttl_ms);
    let change = shared(depot).change_late(move |state| {
        let lease = state.grant(ttl, Instant::now());
        (state.revision(), Ok(json!({ "lease": lease })))
    });
    answer(response, change.await);
}

#[handler]
async fn keep_alive(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let lease: u64 = request.param("id").unwrap_or(0);
    let change = shared(depot).change_late(move |state| {
        let ttl = state.keep_alive(lease, Instant::now());
        let body = ttl.map(|ttl| json!({ "ttl_ms": ttl.as_millis() }));
        (state.revision(), body.ok_or(Refusal::Absent))
    });
    answer(response, change.await);
}

#[handler]
async fn revoke(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let lease: u64 = request.param("id").unwrap_or(0);
    let change = shared(depot).change_late(move |state| {
        let outcome = match state.end_lease(lease) {
            true => Ok(json!({})),
            false => Err(Refusal::Absent),
        };
        (state.revision(), outcome)
    });
    answer(response, change.await);
}

/// Writes the answer to a call with an effect; `None` stands for a store that is down.
fn answer(response: &mut Response, outcome: Option<(u64, Result<Value, Refusal>)>) {
    let Some((revision, outcome)) = outcome else {
        response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        return;
    };
    mark(response, revision);
    match outcome {
        Ok(body) => response.render(Json(body)),
        Err(Refusal::Absent) => {
            response.status_code(StatusCode::NOT_FOUND);
        }
        Err(Refusal::LeaseEnded) => {
            response.status_code(StatusCode::PRECONDITION_FAILED);
        }
        Err(Refusal::Conflict(current)) => {
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
