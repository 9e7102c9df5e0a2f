//! Whether a worker takes tasks.

/// Whether tasks may start on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Admission {
    /// Tasks may start.
    Allowed,
    /// One task may start, to find out whether the worker has recovered.
    Probe,
    /// No task may start.
    Denied,
}
