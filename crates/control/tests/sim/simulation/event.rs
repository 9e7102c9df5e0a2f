//! Scheduled events.

use toucanquay_control::agent::{Action, Event as AgentEvent};
use toucanquay_model::{
    Time,
    exchange::{Command, Report, TaskState},
};

use super::super::{
    runtime::AttemptKey,
    store::{Call, Response},
};

/// Scheduled event of the simulation.
#[derive(Debug, Clone)]
pub(super) enum Event {
    PollOwner(usize),
    PollHost(usize),
    InjectFault,
    /// Report that arrives at an owner: owner, report.
    Report(usize, Report),
    /// Command that arrives at a companion: host, incarnation, command.
    Command(usize, u64, Command),
    /// Call that arrives at a task runtime: host, generation, incarnation, action, time of the call
    /// by the host's clock.
    RuntimeCall(usize, u64, u64, Action, Time),
    /// Result or timeout of a runtime call that reaches the companion: host, generation,
    /// incarnation, event.
    RuntimeOutcome(usize, u64, u64, AgentEvent),
    /// Attempt that ends: host, generation, attempt, final state.
    TaskEnd(usize, u64, AttemptKey, TaskState),
    /// Call that arrives at the store: owner, generation, call, time of the call by the owner's
    /// clock.
    StoreCall(usize, u64, Call, Time),
    /// Response or timeout of a store call that reaches the owner: owner, generation, call,
    /// response, time of the call by the owner's clock.
    StoreResponse(usize, u64, Call, Response, Time),
}
