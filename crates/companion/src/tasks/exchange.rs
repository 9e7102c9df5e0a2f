//! Report exchange with the cell owner.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::Instant};
use tokio_util::task::AbortOnDropHandle;
use toucanquay_model::{Error, ErrorKind, Time, exchange::Command, exchange::Report};
use toucanquay_wire::Frame;

use super::message::Message;
use crate::Context;

/// Timeout for the owner's response, which the owner may delay by up to 1 s.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// The exchange in progress; there is at most one at a time.
#[derive(Debug)]
pub struct PendingExchange {
    /// Time at which the report was sent.
    pub sent_at: Time,
    /// Sequence number of the report.
    pub sequence: u64,
    _task: AbortOnDropHandle<()>,
}

impl PendingExchange {
    /// Sends a report. The result is sent to `messages`. Dropping the exchange aborts it.
    pub fn start(
        context: Arc<Context>,
        report: Report,
        sent_at: Time,
        messages: mpsc::Sender<Message>,
    ) -> Self {
        let sequence = report.sequence;
        let task = tokio::spawn(async move {
            let result = send(&context, report).await;
            let message = Message::ExchangeEnded {
                sent_at,
                sequence,
                result,
            };
            // Fails only when the event loop has ended, and the result is not needed then.
            let _ = messages.send(message).await;
        });
        Self {
            sent_at,
            sequence,
            _task: AbortOnDropHandle::new(task),
        }
    }
}

async fn send(context: &Context, report: Report) -> Result<Command, Error> {
    let owner = *context.owner.borrow();
    let owner = owner.ok_or_else(|| Error::new(ErrorKind::NoOwner))?;
    let deadline = Instant::now() + EXCHANGE_TIMEOUT;
    let report = Frame::Report(report);
    match context.pool.call(owner.address, &report, deadline).await? {
        Frame::Command(command) => Ok(command),
        _ => Err(Error::new(ErrorKind::Protocol).context("unexpected frame")),
    }
}
