//! Simulated workers.

use toucanquay_model::worker;

use crate::{lookups::Lookups, run::Run};

/// A simulated worker.
#[derive(Debug)]
pub struct Host {
    pub id: worker::Id,
    pub lookups: Lookups,
    pub runs: Vec<Run>,
    pub is_lost: bool,
    /// Logarithm of the factor by which the running tasks slow down lookups at medium load.
    pub slowdown: f64,
}
