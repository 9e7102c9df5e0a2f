//! HTTP client of the worker's task runtime.

use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder, StatusCode, Url};
use serde::Deserialize;
use serde_json::{Value, json};
use toucanquay_model::{Attempt, Error, ErrorKind, exchange::Grant, task};

use super::{attempt_list::AttemptList, usage_sample::UsageSample};
use crate::upstream::error_chain;

/// Timeout of a call that sets a lease deadline, in milliseconds. The granted lease is shortened by
/// the same amount, since the runtime counts it from the arrival of the call.
pub const LEASE_CALL_TIMEOUT_MS: u64 = 500;

/// Timeout of all other calls. Taking a checkpoint may be slow.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Error of a call to the task runtime.
///
/// The variants appear in log lines by their `Debug` representation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The call had no effect.
    NotDone(String),
    /// The runtime lists another attempt of the task, or this one has already ended.
    Conflict(Attempt),
    /// The runtime does not list the attempt.
    Absent,
    /// The call may or may not have had an effect.
    Unknown(String),
}

/// HTTP client of the worker's task runtime.
#[derive(Debug)]
pub struct RuntimeClient {
    client: Client,
    base: String,
}

#[derive(Debug, Deserialize)]
struct StopReply {
    checkpoint: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ConflictReply {
    epoch: u64,
    number: u32,
}

impl RuntimeClient {
    /// Creates a client for the runtime at `address`, without connecting.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidSetting`] when `address` is not a valid URL.
    pub fn new(address: &str) -> Result<Self, Error> {
        let invalid_setting = |cause: String| {
            Error::new(ErrorKind::InvalidSetting)
                .field("--runtime")
                .value(address)
                .expected("an address such as http://127.0.0.1:9100")
                .context(cause)
        };
        Url::parse(address).map_err(|cause| invalid_setting(cause.to_string()))?;
        let client = Client::builder()
            .retry(reqwest::retry::never())
            .no_proxy()
            .http1_only()
            .tcp_nodelay(true)
            .timeout(CALL_TIMEOUT)
            .build()
            .map_err(|cause| invalid_setting(cause.to_string()))?;
        let base = format!("{}/v1", address.trim_end_matches('/'));
        Ok(Self { client, base })
    }

    /// Starts an attempt whose lease ends `lease_ms` after the arrival of the call.
    pub async fn start(&self, grant: &Grant, lease_ms: u64) -> Result<(), CallError> {
        let body = json!({
            "epoch": grant.attempt.epoch,
            "number": grant.attempt.number,
            "kind": grant.kind,
            "payload": grant.payload,
            "checkpoint": grant.checkpoint,
            "processors_milli": grant.demand.processors_milli,
            "memory_mb": grant.demand.memory_mb,
            "accelerators": grant.demand.accelerators,
            "lease_ms": lease_ms,
        });
        let request = self.task_request(Method::PUT, &grant.task, "").json(&body);
        send(request.timeout(Duration::from_millis(LEASE_CALL_TIMEOUT_MS))).await?;
        Ok(())
    }

    /// Extends an attempt's lease to `lease_ms` milliseconds after the arrival of the call.
    pub async fn renew(
        &self,
        task: &task::Id,
        attempt: Attempt,
        lease_ms: u64,
    ) -> Result<(), CallError> {
        let body = json!({
            "epoch": attempt.epoch,
            "number": attempt.number,
            "lease_ms": lease_ms,
        });
        let request = self.task_request(Method::POST, task, "/renew").json(&body);
        send(request.timeout(Duration::from_millis(LEASE_CALL_TIMEOUT_MS))).await?;
        Ok(())
    }

    /// Limits a task to `share_percent` of its processors.
    pub async fn throttle(&self, task: &task::Id, share_percent: u8) -> Result<(), CallError> {
        let body = json!({ "share_percent": share_percent });
        send(
            self.task_request(Method::POST, task, "/throttle")
                .json(&body),
        )
        .await?;
        Ok(())
    }

    /// Stops an attempt and returns its checkpoint if one was requested.
    ///
    /// If the attempt has already ended, the runtime forgets it unless a checkpoint is requested.
    pub async fn stop(
        &self,
        task: &task::Id,
        attempt: Attempt,
        with_checkpoint: bool,
    ) -> Result<Option<String>, CallError> {
        let query = format!(
            "?epoch={}&number={}&with_checkpoint={with_checkpoint}",
            attempt.epoch, attempt.number
        );
        let body = send(self.task_request(Method::DELETE, task, &query)).await?;
        let reply: StopReply = parse(body)?;
        Ok(reply.checkpoint)
    }

    /// Returns all attempts that the runtime knows.
    pub async fn list(&self) -> Result<AttemptList, CallError> {
        let request = self.client.get(format!("{}/tasks", self.base));
        parse(send(request).await?)
    }

    /// Returns the latest usage measurement.
    pub async fn usage(&self) -> Result<UsageSample, CallError> {
        let request = self.client.get(format!("{}/usage", self.base));
        parse(send(request).await?)
    }

    fn task_request(&self, method: Method, task: &task::Id, rest: &str) -> RequestBuilder {
        let url = format!("{}/tasks/{}/{}{rest}", self.base, task.job, task.index);
        self.client.request(method, url)
    }
}

async fn send(request: RequestBuilder) -> Result<Value, CallError> {
    let response = request.send().await.map_err(|cause| {
        if cause.is_connect() {
            CallError::NotDone(error_chain(&cause))
        } else {
            CallError::Unknown(error_chain(&cause))
        }
    })?;
    let status = response.status();
    let body = response.json().await;
    match status {
        StatusCode::NOT_FOUND => Err(CallError::Absent),
        StatusCode::CONFLICT => {
            let body = body.map_err(|cause| CallError::Unknown(error_chain(&cause)))?;
            let conflict: ConflictReply = parse(body)?;
            let attempt = Attempt::new(conflict.epoch, conflict.number);
            Err(CallError::Conflict(attempt))
        }
        _ if status.is_success() => body.map_err(|cause| CallError::Unknown(error_chain(&cause))),
        _ if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            Err(CallError::NotDone(format!("status {status}")))
        }
        _ => Err(CallError::Unknown(format!("status {status}"))),
    }
}

fn parse<T: for<'de> Deserialize<'de>>(body: Value) -> Result<T, CallError> {
    serde_json::from_value(body).map_err(|cause| CallError::Unknown(cause.to_string()))
}
