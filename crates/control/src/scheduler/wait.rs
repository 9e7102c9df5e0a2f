//! Reason why a perpetual task doesn't run.

use super::Lack;

/// What a perpetual task waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wait {
    /// This process has lost the ownership, so it gives no orders.
    NotOwner,
    /// The task may already run on a host that has not reported to this owner.
    Takeover {
        /// Number of hosts that have not reported.
        hosts: usize,
        /// Name of one of them.
        host: String,
    },
    /// The suspicion that the task crashes workers is not recorded.
    Unrecorded,
    /// The task is placed again after a delay, because its last attempt failed or was rejected.
    Backoff {
        /// Time until then in milliseconds.
        remaining_ms: u64,
    },
    /// The task is suspected to crash workers and waits for a host of its own.
    Probe,
    /// The task fits only on hosts that are kept free for suspects.
    Reserved {
        /// Name of one of them.
        host: String,
        /// A suspect has been started there. Otherwise the host is kept for one that waits.
        is_begun: bool,
    },
    /// It isn't known whether zones were evacuated lately, so that nothing is started.
    EvacuationsUnknown,
    /// Only hosts in evacuated zones would fit the task.
    Evacuated {
        /// Name of one of them.
        host: String,
        /// Availability zone of that host.
        zone: String,
    },
    /// No host of the pool accepts tasks.
    NoHost,
    /// No host that accepts tasks fits the task.
    NoRoom {
        /// What the hosts lack.
        lack: Lack,
        /// Largest number of free processors on a host of the pool, in thousandths.
        free_milli: u32,
        /// Number of free processors on all hosts of the pool together, in thousandths.
        pool_free_milli: u64,
        /// Processors that the task demands, in thousandths.
        demand_milli: u32,
    },
    /// A host fits the task, but the task has not been placed there.
    Unplaced {
        /// Name of the host.
        host: String,
    },
    /// A start was ordered and its agent has not confirmed that the attempt runs.
    Unconfirmed {
        /// Name of the agent's host.
        host: String,
    },
    /// The attempt is on a worker that is not heard, until its lease ends.
    Silent {
        /// Name of the worker's host.
        host: String,
    },
    /// The former attempt is being stopped.
    Stopping {
        /// Name of its host.
        host: String,
    },
    /// The start of the former attempt may still reach the worker.
    Unresolved {
        /// Name of the worker's host.
        host: String,
    },
}

impl Wait {
    /// Returns the reason's name in logs.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::NotOwner => "not_owner",
            Self::Takeover { .. } => "takeover",
            Self::Unrecorded => "unrecorded",
            Self::Backoff { .. } => "backoff",
            Self::Probe => "probe",
            Self::Reserved { .. } => "reserved",
            Self::EvacuationsUnknown => "evacuations_unknown",
            Self::Evacuated { .. } => "evacuated",
            Self::NoHost => "no_host",
            Self::NoRoom { .. } => "no_room",
            Self::Unplaced { .. } => "unplaced",
            Self::Unconfirmed { .. } => "unconfirmed",
            Self::Silent { .. } => "silent",
            Self::Stopping { .. } => "stopping",
            Self::Unresolved { .. } => "unresolved",
        }
    }

    /// Returns the host that the wait is for.
    #[must_use]
    pub fn host(&self) -> Option<&str> {
        match self {
            Self::Takeover { host, .. }
            | Self::Reserved { host, .. }
            | Self::Evacuated { host, .. }
            | Self::Unplaced { host }
            | Self::Unconfirmed { host }
            | Self::Silent { host }
            | Self::Stopping { host }
            | Self::Unresolved { host } => Some(host),
            Self::NotOwner
            | Self::Unrecorded
            | Self::Backoff { .. }
            | Self::Probe
            | Self::EvacuationsUnknown
            | Self::NoHost
            | Self::NoRoom { .. } => None,
        }
    }
}
