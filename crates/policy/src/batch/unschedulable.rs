//! Reasons why a task fits no known worker.

use displaydoc::Display;
use toucanquay_model::Resources;

/// Why a task cannot run on any known worker.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Unschedulable {
    /// needs {demand}, but the largest worker has {largest}
    Capacity {
        /// Demand of the task.
        demand: Resources,
        /// Largest amount of each resource on any known worker.
        largest: Resources,
    },
    /// needs {demand}, which no single worker has; the largest of each resource is {largest}
    Shape {
        /// Demand of the task.
        demand: Resources,
        /// Largest amount of each resource on any known worker.
        largest: Resources,
    },
    /// needs {demand}, but the quota of team {team} is {quota}
    Quota {
        /// Demand of the task.
        demand: Resources,
        /// Name of the team.
        team: String,
        /// Quota of the team.
        quota: Resources,
    },
}
