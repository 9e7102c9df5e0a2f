//! Tasks that want places on one rack.

use smallvec::SmallVec;
use toucanquay_model::Resources;

/// Tasks of one step that want places on one rack.
#[derive(Debug, Clone)]
pub struct Claim {
    /// Number of tasks.
    pub tasks: usize,
    /// Resources that each task occupies.
    pub demand: Resources,
    /// Expected run time of a task near its data, in microseconds.
    pub run_micros: u64,
    /// Maximum number of these tasks in each room of the rack, in the order of the rooms; 0 where
    /// they aren't allowed.
    pub places: SmallVec<[usize; 16]>,
}
