//! What hosts lack that accept tasks and don't fit a task.

/// What the hosts of a pool lack for a task that fits on none of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lack {
    /// None has the label that the step requires.
    Label,
    /// None that is allowed has enough free processors.
    Processors,
    /// None that is allowed has enough free memory.
    Memory,
    /// None that is allowed has enough free accelerators.
    Accelerators,
    /// Each resource is free on some host, but not all of them on one.
    OneHost,
    /// Each host with enough room has reached the step's limit per worker.
    WorkerLimit,
    /// One task of a gang fits, but not all of them.
    Gang,
}

impl Lack {
    /// Returns the name in logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Label => "label",
            Self::Processors => "processors",
            Self::Memory => "memory",
            Self::Accelerators => "accelerators",
            Self::OneHost => "one_host",
            Self::WorkerLimit => "worker_limit",
            Self::Gang => "gang",
        }
    }
}
