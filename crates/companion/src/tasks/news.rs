//! What reaches the loop that drives the tasks.

use toucanquay_control::agent::Event;
use toucanquay_model::{Error, Time, exchange::Command};

use super::sample::Sample;

/// What reaches the loop that drives the tasks.
#[derive(Debug)]
pub enum News {
    /// The task runtime has said something.
    Event(Event),
    /// The cell owner has answered a report, or the exchange has failed.
    Answer {
        /// When the report was sent.
        sent_at: Time,
        /// Sequence of the report.
        sequence: u64,
        /// The answer.
        answer: Result<Command, Error>,
    },
    /// Usage of tasks was measured.
    Measured {
        /// When the runtime was asked.
        called_at: Time,
        /// What it said.
        sample: Sample,
    },
}
