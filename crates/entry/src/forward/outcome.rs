//! How an attempt ended.

use toucanquay_model::{Error, error::Execution};

use super::UpstreamResponse;

/// How one attempt at a request ended.
#[derive(Debug)]
pub enum Outcome {
    /// The answer has begun.
    Responded(Box<UpstreamResponse>),
    /// It did not run and will not run.
    NotRun(Error),
    /// It may have run, may be running or may still run.
    Unknown(Error),
}

impl Outcome {
    /// Returns the outcome of an attempt that ended with `error` before its answer began.
    #[must_use]
    pub const fn from_error(error: Error) -> Self {
        match error.kind().response().execution {
            Execution::NotRun => Self::NotRun(error),
            Execution::Unknown | Execution::Ran => Self::Unknown(error),
        }
    }
}
