//! What the owner tells an agent.

use serde::{Deserialize, Serialize};

use super::{InterferenceEffect, Profile, Start, Stop};
use crate::{Epoch, Incarnation, Time};

/// Orders of the owner. They are applied in the order of their numbers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Number of the message in its session, from 1.
    pub number: u64,
    /// Number of the last update that the owner has processed.
    pub update: u64,
    /// The agent's own time when it sent that update; the lease counts from it.
    pub stamp: Time,
    /// Incarnation of the worker for which the orders are meant.
    pub worker: Incarnation,
    /// Ends up to this number are durable.
    pub acknowledged: u64,
    /// Attempts to start.
    pub starts: Vec<Start>,
    /// Attempts to stop.
    pub stops: Vec<Stop>,
    /// Profiles of attempts that the agent found on its worker.
    pub profiles: Vec<(Stop, Profile)>,
    /// Effects that were learned, of images on this worker.
    pub effects: Vec<InterferenceEffect>,
}
