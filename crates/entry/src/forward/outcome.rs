//! Outcome of an attempt.

use toucanquay_model::{Error, error::Execution};

use super::UpstreamResponse;

/// Outcome of one attempt at a request.
#[derive(Debug)]
pub enum Outcome {
    /// The head of the response has arrived.
    Responded(Box<UpstreamResponse>),
    /// It did not run and will not run.
    NotRun(Error),
    /// It may have run, may be running or may still run.
    Unknown(Error),
}

impl Outcome {
    /// Returns the outcome of an attempt that failed with `error` before the head of the response.
    #[must_use]
    pub const fn from_error(error: Error) -> Self {
        match error.kind().response().execution {
            Execution::NotRun => Self::NotRun(error),
            Execution::Unknown | Execution::Ran => Self::Unknown(error),
        }
    }
}
