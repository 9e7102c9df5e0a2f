//! Why a request asks for an upstream.

/// Why a request asks for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionKind {
    /// It was not sent before.
    First,
    /// It failed and is sent again within the retry budget.
    Retry,
    /// A companion refused it as not run.
    Readmit,
}
