//! Reasons why a task can never run.

use displaydoc::Display;
use toucanquay_model::Resources;

/// Why no known worker can ever hold a task.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Unschedulable {
    /// needs {demand}, but the largest worker has {largest}
    Capacity {
        /// What the task needs.
        demand: Resources,
        /// Largest amount of each resource over the known workers.
        largest: Resources,
    },
    /// needs {demand}, and no single worker has all of it, although {largest} exist on several
    Shape {
        /// What the task needs.
        demand: Resources,
        /// Largest amount of each resource over the known workers.
        largest: Resources,
    },
    /// needs {demand}, but the quota of team {team} is {quota}
    Quota {
        /// What the task needs.
        demand: Resources,
        /// The team.
        team: String,
        /// Its quota.
        quota: Resources,
    },
}
