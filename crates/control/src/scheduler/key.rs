//! Keys of the scheduler's slot maps.

use slotmap::new_key_type;

new_key_type! {
    /// Identifies a job.
    pub(super) struct JobKey;
    /// Identifies a host.
    pub(super) struct HostKey;
    /// Identifies an attempt.
    pub(super) struct RunKey;
}
