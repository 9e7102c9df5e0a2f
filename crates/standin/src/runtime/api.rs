//! HTTP routes of the task runtime.

mod renew_request;
mod throttle_request;

use std::{sync::Arc, time::Duration};

use salvo::prelude::*;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::time::Instant;
use toucanquay_model::{Attempt, job, task::Id};

use renew_request::RenewRequest;
use throttle_request::ThrottleRequest;

use super::{
    SharedState, StartRequest, Task,
    fault_middleware::FaultMiddleware,
    task_table::{CallError, SAMPLE_INTERVAL},
};

/// Maximum size of a request body.
const BODY_BYTES_MAX: usize = 4_000_000;

/// Returns the routes with the middleware that injects faults.
pub(super) fn router(shared: &Arc<SharedState>) -> Router {
    let task = Router::with_path("tasks/{job}/{index}")
        .put(start_task)
        .delete(stop_task)
        .push(Router::with_path("renew").post(renew_task))
        .push(Router::with_path("checkpoint").post(take_checkpoint))
        .push(Router::with_path("throttle").post(throttle_task));
    Router::with_path("v1")
        .hoop(FaultMiddleware::new(Arc::clone(shared)))
        .push(Router::with_path("tasks").get(list_tasks))
        .push(Router::with_path("usage").get(read_usage))
        .push(task)
}

/// Returns the state that the middleware has stored in the depot.
fn shared_state(depot: &Depot) -> Arc<SharedState> {
    let shared = depot.get_typed::<Arc<SharedState>>();
    Arc::clone(shared.expect("the middleware stores the state before each handler"))
}

fn task_id(request: &Request) -> Id {
    let job: String = request.param("job").unwrap_or_default();
    Id::new(job::Id(job), request.param("index").unwrap_or(0))
}

/// Parses the body as JSON. On failure, sets status 400 and returns `None`.
async fn read_body<T: DeserializeOwned>(
    request: &mut Request,
    response: &mut Response,
) -> Option<T> {
    let payload = request.payload_with_max_size(BODY_BYTES_MAX).await;
    let body = payload
        .ok()
        .and_then(|bytes| serde_json::from_slice(bytes).ok());
    if body.is_none() {
        response.status_code(StatusCode::BAD_REQUEST);
    }
    body
}

/// Writes the result of a call as the response.
fn respond(response: &mut Response, outcome: Result<impl Serialize + Send, CallError>) {
    match outcome {
        Ok(body) => response.render(Json(body)),
        Err(CallError::UnknownTask) => {
            response.status_code(StatusCode::NOT_FOUND);
        }
        Err(CallError::Conflict(attempt)) => {
            response.status_code(StatusCode::CONFLICT);
            response.render(Json(
                json!({ "epoch": attempt.epoch, "number": attempt.number }),
            ));
        }
    }
}

#[handler]
async fn start_task(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(start) = read_body::<StartRequest>(request, response).await else {
        return;
    };
    let id = task_id(request);
    let outcome = shared_state(depot).with_table(|table| table.start(&id, start, Instant::now()));
    respond(response, outcome.map(|()| json!({})));
}

#[handler]
async fn renew_task(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(renewal) = read_body::<RenewRequest>(request, response).await else {
        return;
    };
    let id = task_id(request);
    let attempt = Attempt::new(renewal.epoch, renewal.number);
    let lease = Duration::from_millis(renewal.lease_ms);
    let outcome =
        shared_state(depot).with_table(|table| table.renew(&id, attempt, lease, Instant::now()));
    respond(response, outcome.map(|()| json!({})));
}

#[handler]
async fn take_checkpoint(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let id = task_id(request);
    let outcome = shared_state(depot).with_table(|table| table.checkpoint(&id));
    respond(response, outcome.map(|text| json!({ "checkpoint": text })));
}

#[handler]
async fn throttle_task(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(throttle) = read_body::<ThrottleRequest>(request, response).await else {
        return;
    };
    let id = task_id(request);
    let outcome =
        shared_state(depot).with_table(|table| table.throttle(&id, throttle.share_percent));
    respond(response, outcome.map(|()| json!({})));
}

#[handler]
async fn stop_task(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let (Some(epoch), Some(number)) = (request.query("epoch"), request.query("number")) else {
        response.status_code(StatusCode::BAD_REQUEST);
        return;
    };
    let id = task_id(request);
    let attempt = Attempt::new(epoch, number);
    let with_checkpoint: bool = request.query("with_checkpoint").unwrap_or(true);
    let outcome = shared_state(depot)
        .with_table(|table| table.stop(&id, attempt, with_checkpoint, Instant::now()));
    respond(response, outcome.map(|text| json!({ "checkpoint": text })));
}

#[handler]
async fn list_tasks(depot: &mut Depot, response: &mut Response) {
    let now = Instant::now();
    let tasks: Vec<Value> = shared_state(depot).with_table(|table| {
        let tasks = table.tasks();
        tasks.map(|(id, task)| describe(id, task, now)).collect()
    });
    response.render(Json(json!({ "tasks": tasks })));
}

fn describe(id: &Id, task: &Task, now: Instant) -> Value {
    json!({
        "job": id.job,
        "index": id.index,
        "epoch": task.attempt.epoch,
        "number": task.attempt.number,
        "kind": task.kind,
        "state": task.state,
        "reason": task.reason,
        "checkpoint": task.checkpoint(),
        "processors_milli": task.resources.processors_milli,
        "memory_mb": task.resources.memory_mb,
        "accelerators": task.resources.accelerators,
        "share_percent": task.share_percent,
        "lease_left_ms": task.lease_deadline.saturating_duration_since(now).as_millis(),
    })
}

#[handler]
async fn read_usage(depot: &mut Depot, response: &mut Response) {
    let now = Instant::now();
    let sample = shared_state(depot).with_table(|table| table.usage(now).cloned());
    let age = sample
        .as_ref()
        .map(|sample| (now - sample.taken_at).as_millis());
    response.render(Json(json!({
        "age_ms": age,
        "window_ms": SAMPLE_INTERVAL.as_millis(),
        "tasks": sample.map(|sample| sample.tasks).unwrap_or_default(),
    })));
}
