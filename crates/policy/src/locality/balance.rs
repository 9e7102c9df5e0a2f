//! Resources that may be short.

use toucanquay_model::Resources;

/// Free resources less those that are promised; negative where more is promised than is free.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Balance {
    processors_milli: i64,
    memory_mb: i64,
    accelerators: i64,
}

impl Balance {
    pub(super) const fn add(&mut self, resources: &Resources) {
        self.processors_milli += resources.processors_milli as i64;
        self.memory_mb += resources.memory_mb as i64;
        self.accelerators += resources.accelerators as i64;
    }

    pub(super) const fn subtract(&mut self, resources: &Resources) {
        self.processors_milli -= resources.processors_milli as i64;
        self.memory_mb -= resources.memory_mb as i64;
        self.accelerators -= resources.accelerators as i64;
    }

    pub(super) const fn covers(&self, demand: &Resources) -> bool {
        demand.processors_milli as i64 <= self.processors_milli
            && demand.memory_mb as i64 <= self.memory_mb
            && demand.accelerators as i64 <= self.accelerators
    }
}
