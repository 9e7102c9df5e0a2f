//! Requests to services.

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
    claim::Claims,
    forward::{Answer, Call, Relay, check_protocol, headers::REQUEST_HEADER},
    http::Refusal,
    lane::{Permit, Refused},
};

/// Sends a client's request to an upstream and the answer back.
#[derive(Debug, Clone)]
pub struct Service {
    context: Arc<Context>,
}

impl Service {
    /// Returns the route of one entry.
    #[must_use]
    pub const fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    async fn answer(
        &self,
        id: request::Id,
        request: &mut Request,
    ) -> Result<(Box<Answer>, Option<Permit>), Refused> {
        let name: String = request.param("service").unwrap_or_default();
        let rules = rules(&self.context, &name)?;
        let clock = self.context.clock;
        let call = Call::read(id, &name, &rules, clock, request).await?;
        debug!(self.context.log, "request_accepted"; "request" => %id,
            "service" => &call.service, "method" => &call.method, "target" => &call.target);
        if call.key.is_some() {
            return Claims::new(&self.context, &call).answer().await;
        }
        let (answer, permit) = Relay::new(&self.context, &call).run().await?;
        Ok((answer, Some(permit)))
    }
}

#[async_trait]
impl Handler for Service {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let id = self.context.next_request();
        let started_at = self.context.clock.now();
        match self.answer(id, request).await {
            Ok((answer, permit)) => self.pass_on(id, started_at, answer, permit, response),
            Err(refused) => {
                info!(self.context.log, "request_refused"; "request" => %id,
                    "kind" => ?refused.error.kind(), "error" => %refused.error);
                count("refused");
                Refusal::new(&refused.error)
                    .request(id)
                    .retry_after_ms(refused.retry_after_ms)
                    .write(response);
            }
        }
    }
}

impl Service {
    fn pass_on(
        &self,
        id: request::Id,
        started_at: Time,
        answer: Box<Answer>,
        permit: Option<Permit>,
        response: &mut Response,
    ) {
        let status = StatusCode::from_u16(answer.head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        response.status_code(status);
        for (name, value) in &answer.head.headers {
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
            match pump(answer, &mut sender).await {
                Ok(()) => {
                    end(
                        permit,
                        if is_error {
                            Outcome::Failed
                        } else {
                            Outcome::Succeeded
                        },
                    );
                    count("answered");
                    record(&context, started_at);
                }
                Err(Some(error)) => {
                    check_protocol(&context.log, &error);
                    warn!(context.log, "answer_cut"; "request" => %id, "error" => %error);
                    end(permit, Outcome::Failed);
                    count("cut");
                    // The body ends with an error, so that the client can't take it for whole.
                    sender.send_error(io::Error::other(error));
                }
                Err(None) => {
                    debug!(context.log, "client_gone"; "request" => %id);
                    end(permit, Outcome::Cancelled);
                    count("client_gone");
                }
            }
        });
    }
}

/// Passes the body on; the error is `None` when the client is gone.
async fn pump(
    mut answer: Box<Answer>,
    sender: &mut salvo::http::body::BodySender,
) -> Result<(), Option<Error>> {
    while let Some(part) = answer.next().await.map_err(Some)? {
        sender.send_data(part).await.map_err(|_closed| None)?;
    }
    Ok(())
}

fn rules(context: &Context, service: &str) -> Result<section::Service, Refused> {
    context.require_configuration()?;
    let register = context.register();
    let Some((team, section, rules)) = register.service(service) else {
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
    Ok(rules.clone())
}

fn end(permit: Option<Permit>, outcome: Outcome) {
    if let Some(permit) = permit {
        permit.end(outcome);
    }
}

fn count(result: &'static str) {
    metrics::counter!("toucanquay_requests_total", "result" => result).increment(1);
}

fn record(context: &Context, started_at: Time) {
    let micros = context.clock.now().micros_since(started_at);
    metrics::histogram!("toucanquay_request_seconds").record(micros as f64 / 1e6);
}
