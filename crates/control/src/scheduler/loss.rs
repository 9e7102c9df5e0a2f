//! Reasons for which a worker is lost.

/// Reason for which the attempts on a worker are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The agent reports that the worker's process has exited.
    Exited,
    /// The worker's process has restarted.
    Restarted,
    /// The agent or the worker was silent until the worker's lease had ended. The worker may be well.
    Silent,
}
