//! Keys of a cell's tables.

slotmap::new_key_type! {
    /// A job.
    pub(super) struct JobKey;
    /// An attempt that may hold resources.
    pub(super) struct RunKey;
    /// A worker.
    pub(super) struct WorkerKey;
}

/// A task: its job and its index there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct TaskKey {
    pub(super) job: JobKey,
    pub(super) index: u32,
}
