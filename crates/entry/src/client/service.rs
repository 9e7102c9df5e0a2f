//! Route for requests to services.

use std::{io, sync::Arc};

use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{HeaderName, HeaderValue, StatusCode},
};
use slog::{debug, info, warn};
use toucanquay_model::{Error, ErrorKind, Time, request, section};
use toucanquay_policy::route::Outcome;

use crate::{
    Context,
    balancer::{Permit, Rejection},
    claim::KeyedForwarder,
    forward::{
        ClientRequest, Forwarder, UpstreamResponse, headers::REQUEST_HEADER,
        report_protocol_violation,
    },
    http::ErrorBody,
};

/// Forwards client requests to upstreams and returns the responses.
#[derive(Debug, Clone)]
pub struct ServiceHandler {
    context: Arc<Context>,
}

impl ServiceHandler {
    /// Returns the handler for an entry.
    #[must_use]
    pub const fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    async fn forward(
        &self,
        id: request::Id,
        request: &mut Request,
    ) -> Result<(Box<UpstreamResponse>, Option<Permit>), Rejection> {
        let name: String = request.param("service").unwrap_or_default();
        let service_settings = find_service_settings(&self.context, &name)?;
        let clock = self.context.clock;
        let client_request =
            ClientRequest::read(id, &name, &service_settings, clock, request).await?;
        debug!(self.context.log, "request_accepted"; "request" => %id,
            "service" => &client_request.service, "method" => &client_request.method,
            "target" => &client_request.target);
        if client_request.key.is_some() {
            return KeyedForwarder::new(&self.context, &client_request)
                .run()
                .await;
        }
        let (upstream_response, permit) =
            Forwarder::new(&self.context, &client_request).run().await?;
        Ok((upstream_response, Some(permit)))
    }
}

#[async_trait]
impl Handler for ServiceHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let id = self.context.next_request_id();
        let started_at = self.context.clock.now();
        match self.forward(id, request).await {
            Ok((incoming, permit)) => self.respond(id, started_at, incoming, permit, response),
            Err(rejection) => {
                info!(self.context.log, "request_refused"; "request" => %id,
                    "kind" => ?rejection.error.kind(), "error" => %rejection.error);
                count_request("refused");
                ErrorBody::new(&rejection.error)
                    .request(id)
                    .retry_after_ms(rejection.retry_after_ms)
                    .write(response);
            }
        }
    }
}

impl ServiceHandler {
    fn respond(
        &self,
        id: request::Id,
        started_at: Time,
        upstream_response: Box<UpstreamResponse>,
        permit: Option<Permit>,
        response: &mut Response,
    ) {
        let status =
            StatusCode::from_u16(upstream_response.head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        response.status_code(status);
        for (name, value) in &upstream_response.head.headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            let value = HeaderValue::from_bytes(value);
            if let (Ok(name), Ok(value)) = (name, value) {
                response.headers_mut().append(name, value);
            }
        }
        if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
            response
                .headers_mut()
                .insert(HeaderName::from_static(REQUEST_HEADER), value);
        }
        let mut sender = response.channel();
        let context = self.context.clone();
        self.context.requests.spawn(async move {
            let is_error = status.is_server_error();
            match stream_body(upstream_response, &mut sender).await {
                Ok(()) => {
                    complete_permit(
                        permit,
                        if is_error {
                            Outcome::Failed
                        } else {
                            Outcome::Succeeded
                        },
                    );
                    count_request("answered");
                    record_duration(&context, started_at);
                }
                Err(Some(error)) => {
                    report_protocol_violation(&context.log, &error);
                    warn!(context.log, "response_truncated"; "request" => %id, "error" => %error);
                    complete_permit(permit, Outcome::Failed);
                    count_request("cut");
                    // Ending the body with an error keeps the client from treating it as complete.
                    sender.send_error(io::Error::other(error));
                }
                Err(None) => {
                    debug!(context.log, "client_disconnected"; "request" => %id);
                    complete_permit(permit, Outcome::Cancelled);
                    count_request("client_gone");
                }
            }
        });
    }
}

/// Streams the body to the client. The error is `None` if the client has disconnected.
async fn stream_body(
    mut upstream_response: Box<UpstreamResponse>,
    sender: &mut salvo::http::body::BodySender,
) -> Result<(), Option<Error>> {
    while let Some(part) = upstream_response.next().await.map_err(Some)? {
        sender.send_data(part).await.map_err(|_closed| None)?;
    }
    Ok(())
}

fn find_service_settings(context: &Context, service: &str) -> Result<section::Service, Rejection> {
    context.require_configuration()?;
    let register = context.register();
    let Some((team, section, service_settings)) = register.service(service) else {
        return Err(Error::new(ErrorKind::UnknownService)
            .field("service")
            .value(service)
            .expected("a service that a section of the document names")
            .into());
    };
    if section.state == section::State::Leaving {
        return Err(Error::new(ErrorKind::Leaving)
            .field("team")
            .value(team)
            .into());
    }
    Ok(service_settings.clone())
}

fn complete_permit(permit: Option<Permit>, outcome: Outcome) {
    if let Some(permit) = permit {
        permit.complete(outcome);
    }
}

fn count_request(result: &'static str) {
    metrics::counter!("toucanquay_requests_total", "result" => result).increment(1);
}

fn record_duration(context: &Context, started_at: Time) {
    let micros = context.clock.now().micros_since(started_at);
    metrics::histogram!("toucanquay_request_seconds").record(micros as f64 / 1e6);
}
