//! What reaches the loop that drives the tasks.

use toucanquay_control::agent::Event;
use toucanquay_model::{Error, Time, exchange::Command};

use super::usage_sample::UsageSample;

/// What reaches the loop that drives the tasks.
#[derive(Debug)]
pub enum Message {
    /// The task runtime has said something.
    RuntimeEvent(Event),
    /// The cell owner has answered a report, or the exchange has failed.
    ExchangeEnded {
        /// When the report was sent.
        sent_at: Time,
        /// Sequence of the report.
        sequence: u64,
        /// The answer.
        result: Result<Command, Error>,
    },
    /// Usage of tasks was measured.
    Usage {
        /// When the runtime was asked.
        called_at: Time,
        /// What it said.
        sample: UsageSample,
    },
}
