//! Parameters of a run.

/// Parameters that fully determine a run.
#[derive(Debug, Clone, Copy)]
pub struct RunParameters {
    pub seed: u64,
    pub hosts: usize,
    /// Duration of the phase with faults, in simulated seconds.
    pub seconds: u64,
}
