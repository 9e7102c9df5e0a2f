//! Keys into the scheduler's arenas.

use slotmap::new_key_type;

new_key_type! {
    /// A job.
    pub(super) struct JobKey;
    /// A host with a worker.
    pub(super) struct HostKey;
    /// An attempt.
    pub(super) struct RunKey;
}
