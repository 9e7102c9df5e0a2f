//! Memory of a placement that found no host.

use toucanquay_model::Time;

/// A placement round in which no host fitted the tasks of a stage.
///
/// Until the job or a host changes, another search would find none either. Without this memory, a
/// backlog is searched anew whenever an attempt ends, and the owner's processor time grows with the
/// product of the backlog and the hosts.
#[derive(Debug, Clone, Copy)]
pub(super) struct Shortage {
    /// The round; only hosts that have changed in later rounds are searched.
    pub(super) round: u64,
    /// Whether hosts on which the tasks would be slow were accepted.
    pub(super) accepted_any_speed: bool,
    /// Time from which all hosts are searched again, because effects that are learned on one host
    /// change the speed on the others.
    pub(super) full_search_at: Time,
}
