//! Kinds of admission.

/// Kind of an attempt to admit a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionKind {
    /// The request was not sent before.
    First,
    /// The request failed and is retried within the retry budget.
    Retry,
    /// A companion refused the request without running it.
    Readmit,
}
