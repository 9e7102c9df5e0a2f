//! Routes for batch jobs.

use std::{convert::Infallible, sync::Arc};

use futures_util::stream;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait,
    http::{HeaderValue, Method, StatusCode, header},
    writing::Json,
};
use tokio::time::{Duration, Instant};
use toucanquay_model::{Error, ErrorKind, job, section};
use toucanquay_wire::Frame;

use crate::{Context, http::ErrorBody};

/// Maximum body of a submission, in bytes: the payload and room for the other fields.
const SUBMISSION_BYTES_MAX: usize = job::PAYLOAD_BYTES_MAX * 2;

/// Timeout of a call to the owner, which replies after a write to the store.
const OWNER_TIMEOUT: Duration = Duration::from_secs(5);

/// Error context of a call that the owner did not complete in time.
const OWNER_TIMEOUT_CONTEXT: &str =
    "the owner did not respond in time; retrying with the same id is safe";

/// Interval between polls of a watched job.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Returns the routes for jobs.
pub(super) fn router(context: &Arc<Context>) -> Router {
    let jobs = JobsHandler {
        context: context.clone(),
    };
    let watch = WatchHandler {
        context: context.clone(),
    };
    Router::with_path("jobs")
        .get(jobs.clone())
        .post(jobs.clone())
        .push(
            Router::with_path("{id}")
                .get(jobs.clone())
                .delete(jobs)
                .push(Router::with_path("watch").get(watch)),
        )
}

/// Handles submission, listing, display and cancellation of jobs.
#[derive(Debug, Clone)]
struct JobsHandler {
    context: Arc<Context>,
}

#[async_trait]
impl Handler for JobsHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let is_submission = request.method() == Method::POST;
        let result = match parse_call(&self.context, request).await {
            Ok(call) => call_owner(&self.context, call).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(job::Reply::One(status)) => {
                if is_submission {
                    response.status_code(StatusCode::CREATED);
                }
                response.render(Json(status));
            }
            Ok(job::Reply::Many(statuses)) => response.render(Json(statuses)),
            Ok(job::Reply::Refused(error)) | Err(error) => ErrorBody::new(&error).write(response),
        }
    }
}

/// Streams status changes of a job as newline-delimited JSON.
#[derive(Debug, Clone)]
struct WatchHandler {
    context: Arc<Context>,
}

#[async_trait]
impl Handler for WatchHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let initial = match id_parameter(request) {
            Ok(id) => fetch_status(&self.context, id).await,
            Err(error) => Err(error),
        };
        let status = match initial {
            Ok(status) => status,
            Err(error) => return ErrorBody::new(&error).write(response),
        };
        let value = HeaderValue::from_static("application/x-ndjson");
        response.headers_mut().insert(header::CONTENT_TYPE, value);
        let state = Some((self.context.clone(), status, true));
        response.stream(stream::unfold(state, next_line));
    }
}

type WatchState = Option<(Arc<Context>, job::Status, bool)>;

async fn next_line(state: WatchState) -> Option<(Result<Vec<u8>, Infallible>, WatchState)> {
    let (context, mut status, is_first) = state?;
    if !is_first {
        status = wait_for_change(&context, &status).await?;
    }
    let mut line = serde_json::to_vec(&status)
        .expect("serialization of plain data with string keys can't fail");
    line.push(b'\n');
    let is_over = status.is_over();
    let next_state = (!is_over).then_some((context, status, false));
    Some((Ok(line), next_state))
}

/// Waits until the status differs from `last`. Returns `None` if the job is no longer available.
async fn wait_for_change(context: &Arc<Context>, last: &job::Status) -> Option<job::Status> {
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        match fetch_status(context, last.id.clone()).await {
            Ok(status) if status != *last => return Some(status),
            Ok(_) => {}
            // A takeover or a broken connection is temporary, so the watch continues.
            Err(error) if error.kind().response().is_retryable => {}
            Err(error) if error.kind() == ErrorKind::OutcomeUnknown => {}
            Err(_) => return None,
        }
    }
}

async fn fetch_status(context: &Arc<Context>, id: job::Id) -> Result<job::Status, Error> {
    match call_owner(context, job::Call::Show(id)).await? {
        job::Reply::One(status) => Ok(status),
        job::Reply::Refused(error) => Err(error),
        job::Reply::Many(_) => Err(Error::new(ErrorKind::Protocol)),
    }
}

async fn parse_call(context: &Context, request: &mut Request) -> Result<job::Call, Error> {
    if request.method() == Method::POST {
        let spec = read_spec(request).await?;
        check_spec(context, &spec)?;
        return Ok(job::Call::Submit(spec));
    }
    if request.param::<String>("id").is_none() {
        return Ok(job::Call::List);
    }
    let id = id_parameter(request)?;
    if request.method() == Method::DELETE {
        return Ok(job::Call::Cancel(id));
    }
    Ok(job::Call::Show(id))
}

fn id_parameter(request: &Request) -> Result<job::Id, Error> {
    let id: String = request.param("id").unwrap_or_default();
    job::check_name("id", &id)?;
    Ok(job::Id(id))
}

async fn read_spec(request: &mut Request) -> Result<job::Spec, Error> {
    let body = request
        .payload_with_max_size(SUBMISSION_BYTES_MAX)
        .await
        .map_err(|cause| match cause {
            salvo::http::ParseError::PayloadTooLarge => Error::new(ErrorKind::BodyTooLarge)
                .field("body")
                .expected(format!("at most {SUBMISSION_BYTES_MAX} bytes")),
            cause => Error::new(ErrorKind::MalformedBody).context(cause),
        })?;
    let spec: job::Spec = serde_json::from_slice(body).map_err(|cause| {
        Error::new(ErrorKind::MalformedBody)
            .field("body")
            .expected("a job in JSON")
            .context(cause)
    })?;
    spec.check()?;
    Ok(spec)
}

/// Checks the team and kind of a job against the configuration.
fn check_spec(context: &Context, spec: &job::Spec) -> Result<(), Error> {
    context.require_configuration()?;
    let register = context.register();
    let Some(section) = register.section(&spec.team) else {
        return Err(Error::new(ErrorKind::UnknownTeam)
            .field("team")
            .value(&spec.team)
            .expected("a team that has a section in the document"));
    };
    if section.state == section::State::Leaving {
        return Err(Error::new(ErrorKind::Leaving)
            .field("team")
            .value(&spec.team));
    }
    if !section.batch.contains_key(&spec.kind) {
        let kinds: Vec<&str> = section.batch.keys().map(String::as_str).collect();
        return Err(Error::new(ErrorKind::InvalidField)
            .field("kind")
            .value(&spec.kind)
            .expected(format!(
                "a kind of the team's section: {}",
                kinds.join(", ")
            )));
    }
    Ok(())
}

/// Sends a call to the owner of the cell, which may be this process.
async fn call_owner(context: &Arc<Context>, call: job::Call) -> Result<job::Reply, Error> {
    let deadline = Instant::now() + OWNER_TIMEOUT;
    // The owner does not reply while the outcome of a write is unknown, which may last until an
    // outage of the store ends. A local call therefore needs the timeout too.
    let local = tokio::time::timeout_at(deadline, context.role.job(&call)).await;
    let outcome_unknown =
        |_elapsed| Error::new(ErrorKind::OutcomeUnknown).context(OWNER_TIMEOUT_CONTEXT);
    if let Some(reply) = local.map_err(outcome_unknown)? {
        return Ok(reply);
    }
    let owner = context
        .owner()
        .ok_or_else(|| Error::new(ErrorKind::NoOwner))?;
    if owner.address == context.settings.peer_listen {
        return Err(Error::new(ErrorKind::NoOwner));
    }
    match context
        .pool
        .call(owner.address, &Frame::Job(call), deadline)
        .await?
    {
        Frame::JobReply(reply) => Ok(reply),
        _ => Err(Error::new(ErrorKind::Protocol).context("unexpected frame")),
    }
}
