//! The exchange with the cell owner.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::Instant};
use tokio_util::task::AbortOnDropHandle;
use toucanquay_model::{Error, ErrorKind, Time, exchange::Command, exchange::Report};
use toucanquay_wire::Frame;

use super::message::Message;
use crate::Context;

/// Longest wait for the owner's answer, which it holds back for up to 1 s.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// The one exchange that is outstanding.
#[derive(Debug)]
pub struct PendingExchange {
    /// When the report was sent.
    pub sent_at: Time,
    /// Sequence of the report.
    pub sequence: u64,
    _task: AbortOnDropHandle<()>,
}

impl PendingExchange {
    /// Sends a report; the answer arrives at `messages`. Dropping the exchange gives it up.
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
            // Without a receiver the loop has ended, and the answer does not matter.
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
