//! Keys of the cell's tables.

slotmap::new_key_type! {
    /// Key of a job.
    pub(super) struct JobKey;
    /// Key of an attempt that may hold resources.
    pub(super) struct RunKey;
    /// Key of a worker.
    pub(super) struct WorkerKey;
}

/// Key of a task: its job and its index in the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct TaskKey {
    pub(super) job: JobKey,
    pub(super) index: u32,
}
