//! Messages to the event loop of the tasks.

use toucanquay_control::agent::Event;
use toucanquay_model::{Error, Time, exchange::Command};

use super::usage_sample::UsageSample;

/// Message to the event loop of the tasks.
#[derive(Debug)]
pub enum Message {
    /// An event from the task runtime.
    RuntimeEvent(Event),
    /// The cell owner has responded to a report, or the exchange has failed.
    ExchangeEnded {
        /// Time at which the report was sent.
        sent_at: Time,
        /// Sequence number of the report.
        sequence: u64,
        /// The owner's command, or the reason of the failure.
        result: Result<Command, Error>,
    },
    /// The task runtime has returned a usage measurement.
    Usage {
        /// Time at which the measurement was requested.
        called_at: Time,
        /// Latest measurement of the runtime. It has no age if nothing was measured yet.
        sample: UsageSample,
    },
}
