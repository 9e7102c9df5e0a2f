//! Health checks of the upstream.

use std::{sync::Arc, time::Duration};

use reqwest::{Client, Url, redirect::Policy};
use slog::debug;
use tokio::{net::TcpStream, time::timeout};
use toucanquay_model::{Error, ErrorKind};

use crate::{Context, upstream::error_chain};

/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of one check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of consecutive failed checks after which the upstream is unhealthy. With a single one, a
/// slow response under load would remove capacity when it is needed most.
const UNHEALTHY_FAILURES: u32 = 3;

/// Checks the upstream's health until the returned future is dropped.
///
/// A refused connection makes the upstream unhealthy immediately.
pub async fn run(context: Arc<Context>) {
    let mut failures = 0;
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    loop {
        interval.tick().await;
        match check(&context).await {
            Ok(()) => {
                failures = 0;
                context.set_healthy(true);
            }
            Err(error) => {
                debug!(context.log, "health_check_failed"; "error" => %error);
                failures += 1;
                let is_refused = error.kind() == ErrorKind::PeerUnavailable;
                if is_refused || failures >= UNHEALTHY_FAILURES {
                    context.set_healthy(false);
                }
            }
        }
    }
}

async fn check(context: &Context) -> Result<(), Error> {
    let check = async {
        match &context.settings.health_path {
            Some(path) => request_health(&context.settings.upstream, path).await,
            None => connect(&context.settings.upstream).await,
        }
    };
    timeout(CHECK_TIMEOUT, check)
        .await
        .unwrap_or_else(|_elapsed| {
            Err(Error::new(ErrorKind::OutcomeUnknown).context("health check timed out"))
        })
}

async fn connect(upstream: &str) -> Result<(), Error> {
    let unavailable =
        |cause: &dyn std::fmt::Display| Error::new(ErrorKind::PeerUnavailable).context(cause);
    let url = Url::parse(upstream).map_err(|cause| unavailable(&cause))?;
    let host = url.host_str().unwrap_or_default().to_owned();
    let port = url.port_or_known_default().unwrap_or(80);
    TcpStream::connect((host, port))
        .await
        .map_err(|cause| unavailable(&cause))?;
    Ok(())
}

async fn request_health(upstream: &str, path: &str) -> Result<(), Error> {
    let request_error = |cause: reqwest::Error| {
        let kind = if cause.is_connect() {
            ErrorKind::PeerUnavailable
        } else {
            ErrorKind::OutcomeUnknown
        };
        Error::new(kind).context(error_chain(&cause))
    };
    // A new client per check, so that no connection stays open between checks.
    let client = Client::builder()
        .redirect(Policy::none())
        .no_proxy()
        .http1_only()
        .pool_max_idle_per_host(0)
        .build()
        .map_err(request_error)?;
    let url = format!("{}{path}", upstream.trim_end_matches('/'));
    let response = client.get(url).send().await.map_err(request_error)?;
    if response.status().is_server_error() {
        let status = format!("status {}", response.status());
        return Err(Error::new(ErrorKind::OutcomeUnknown).context(status));
    }
    Ok(())
}
