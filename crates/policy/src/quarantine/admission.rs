//! Admission of tasks to workers.

/// Whether tasks may start on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Admission {
    /// Tasks may start.
    Allowed,
    /// One task may start, to test whether the worker has recovered.
    Probe,
    /// No task may start.
    Denied,
}
