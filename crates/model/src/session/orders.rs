//! Orders from the owner to an agent.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{InterferenceEffect, Profile, Start, Stop};
use crate::{Epoch, Incarnation, Time, graph::Id};

/// Orders from the owner to an agent, applied in the order of their sequence numbers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Sequence number of the message in its session, starting at 1.
    pub number: u64,
    /// Sequence number of the last update that the owner has processed.
    pub update: u64,
    /// Time on the agent's clock at which it sent that update. The lease starts at this time.
    pub stamp: Time,
    /// Incarnation of the worker that the orders apply to.
    pub worker: Incarnation,
    /// Attempt ends up to this sequence number are recorded durably.
    pub acknowledged: u64,
    /// Crashes of the worker up to this incarnation are recorded durably.
    pub crashes_acknowledged: Incarnation,
    /// Time on the agent's clock from which none of the starts may begin any more, because the
    /// worker's zone may have been evacuated. `None` if zones aren't evacuated.
    pub starts_until: Option<Time>,
    /// Attempts to start.
    pub starts: Vec<Start>,
    /// Attempts to stop.
    pub stops: Vec<Stop>,
    /// Profiles of attempts that the agent found already running on its worker.
    pub profiles: Vec<(Stop, Profile)>,
    /// Learned interference between images on this worker.
    pub effects: Vec<InterferenceEffect>,
}

impl Orders {
    /// Removes the payload from each start that follows another one of the same job.
    ///
    /// The tasks of a job have one payload, and it is the largest part of a start.
    pub fn strip_repeated_payloads(&mut self) {
        let mut stripped: SmallVec<[Id; 8]> = SmallVec::new();
        for start in &mut self.starts {
            if stripped.contains(&start.task.job) {
                start.payload = Arc::from("");
            } else {
                stripped.push(start.task.job);
            }
        }
    }

    /// Restores the payloads that [`strip_repeated_payloads`](Self::strip_repeated_payloads) has
    /// removed.
    pub fn restore_payloads(&mut self) {
        let mut payloads: SmallVec<[(Id, Arc<str>); 8]> = SmallVec::new();
        for start in &mut self.starts {
            let job = start.task.job;
            match payloads.iter().find(|(known, _)| *known == job) {
                Some((_, payload)) => start.payload = payload.clone(),
                None => payloads.push((job, start.payload.clone())),
            }
        }
    }
}
