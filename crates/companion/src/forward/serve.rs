//! Handles one stream from an entry.

use std::{sync::Arc, time::Duration};

use slog::{debug, info};
use tokio::time::{Instant, timeout_at};
use toucanquay_control::ledger::{Outcome, Request, Response};
use toucanquay_model::{Error, ErrorKind, error::Execution};
use toucanquay_wire::{Frame, Receiver, Sender, Stream, request::Head};

use super::{
    relay::{RelayedResponse, relay, replay},
    request_body::RequestBody,
    response_sender::ResponseSender,
};
use crate::{
    Context,
    admission::{Decision, Permit},
    configuration,
};

/// Timeout for receiving the buffered start of a body after its head. Entries send both at once.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles one stream: a request, a tombstone or a query for configuration sections.
pub async fn serve(context: Arc<Context>, stream: Stream) {
    let (mut sender, mut receiver) = stream.split();
    let frame = match receiver.recv().await {
        Ok(Some(frame)) => frame,
        Ok(None) | Err(_) => return,
    };
    let reply = match frame {
        Frame::Request(head) => return forward(&context, head, sender, receiver).await,
        Frame::Tombstone(tombstone) => {
            let verdict = context
                .admission
                .tombstone(tombstone.id, tombstone.incarnation);
            info!(context.log, "tombstoned";
                "request" => %tombstone.id, "verdict" => ?verdict);
            Frame::Verdict(verdict)
        }
        Frame::SectionQuery(query) => {
            Frame::SectionReply(configuration::section_reply(&context, query))
        }
        _ => Frame::Refused(
            Error::new(ErrorKind::Protocol).context("frame type is not handled by companions"),
        ),
    };
    if sender.send(&reply).await.is_ok() {
        // The peer detects and reports a broken stream itself.
        let _ = sender.finish();
    }
}

/// Forwards one request and logs its result.
async fn forward(context: &Context, head: Head, sender: Sender, receiver: Receiver) {
    let id = head.id;
    let started_at = Instant::now();
    let deadline = request_deadline(&head, started_at);
    let is_safe = matches!(head.method.as_str(), "GET" | "HEAD" | "OPTIONS");
    let mut response_sender =
        ResponseSender::new(id, sender, deadline, is_safe, context.abort.clone());
    match process(context, &head, receiver, deadline, &mut response_sender).await {
        Ok(Completion::Relayed(relayed)) => {
            response_sender.finish(relayed.length).await;
            debug!(context.log, "request_served";
                "request" => %id, "status" => relayed.status, "bytes" => relayed.length,
                "micros" => elapsed_micros(started_at));
        }
        Ok(Completion::Replayed(response)) => {
            info!(context.log, "request_replayed"; "request" => %id);
            replay(id, &response, response_sender).await;
        }
        Err(error) => {
            if error.kind().response().execution == Execution::NotRun {
                context.meters.count_refused();
            }
            info!(context.log, "request_failed";
                "request" => %id, "error" => %error, "micros" => elapsed_micros(started_at));
            response_sender.fail(error).await;
        }
    }
}

/// How a request was completed.
#[derive(Debug)]
enum Completion {
    /// The upstream's response was relayed, except for the end frame.
    Relayed(RelayedResponse),
    /// The request has already run with this response, which is still to be sent.
    Replayed(Arc<Response>),
}

async fn process(
    context: &Context,
    head: &Head,
    receiver: Receiver,
    deadline: Instant,
    response_sender: &mut ResponseSender,
) -> Result<Completion, Error> {
    if head.service != context.settings.service {
        return Err(Error::new(ErrorKind::UnknownService).value(&head.service));
    }
    let request_body = read_body(head, receiver, deadline).await?;
    if Instant::now() >= deadline {
        return Err(Error::new(ErrorKind::DeadlineBeforeSend));
    }
    let request = Request {
        id: head.id,
        incarnation: head.incarnation,
        is_keyed: head.is_keyed,
    };
    let is_watch = head.remaining_micros.is_none();
    match context.admission.admit(request, is_watch) {
        Decision::Run(permit) => {
            send_upstream(context, head, request_body, permit, response_sender)
                .await
                .map(Completion::Relayed)
        }
        Decision::Replay(response) => Ok(Completion::Replayed(response)),
        Decision::Refused(error) => Err(error),
    }
}

async fn read_body(
    head: &Head,
    receiver: Receiver,
    deadline: Instant,
) -> Result<RequestBody, Error> {
    let deadline = deadline.min(Instant::now() + BODY_TIMEOUT);
    timeout_at(deadline, RequestBody::read(head.id, receiver))
        .await
        .unwrap_or_else(|_elapsed| {
            Err(Error::new(ErrorKind::DeadlineBeforeSend)
                .context("the request body did not arrive in time"))
        })
}

async fn send_upstream(
    context: &Context,
    head: &Head,
    request_body: RequestBody,
    permit: Permit,
    response_sender: &mut ResponseSender,
) -> Result<RelayedResponse, Error> {
    let (body, _upload) = request_body.into_body();
    let request = match context.upstream.request(head, body) {
        Ok(request) => request,
        Err(error) => {
            permit.finish(Outcome::NotRun);
            return Err(error);
        }
    };
    // From here on, dropping the permit records the outcome as unknown.
    let sent = response_sender.wait(context.upstream.send(permit.slot(), request));
    let response = match sent.await? {
        Ok(response) => response,
        Err(error) => {
            if error.kind().response().execution == Execution::NotRun {
                permit.finish(Outcome::NotRun);
            }
            return Err(error);
        }
    };
    let mut relayed = relay(head.id, head.is_keyed, response, response_sender).await?;
    // Free the slot before the end frame: the entry may use the slot as soon as it receives it.
    permit.finish(Outcome::Complete(relayed.replay_copy.take()));
    Ok(relayed)
}

/// Returns the time at which the entry stops waiting. A watch has no deadline and gets one year.
fn request_deadline(head: &Head, arrival: Instant) -> Instant {
    const YEAR: Duration = Duration::from_secs(365 * 24 * 3_600);
    let remaining = head.remaining_micros.map(Duration::from_micros);
    arrival + remaining.map_or(YEAR, |remaining| remaining.min(YEAR))
}

fn elapsed_micros(started_at: Instant) -> u64 {
    u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
}
