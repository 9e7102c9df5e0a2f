//! Capacity and free resources of workers.

use toucanquay_model::{Resources, worker};

/// Capacity and free resources of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerResources {
    /// Name of the worker, which identifies it across calls; its index may change between them.
    pub worker: worker::Id,
    /// Capacity of the worker for batch tasks.
    pub capacity: Resources,
    /// Resources that no task has reserved.
    pub free: Resources,
}

impl WorkerResources {
    /// Returns the resources of a worker without tasks.
    #[must_use]
    pub const fn new(worker: worker::Id, capacity: Resources) -> Self {
        Self {
            worker,
            capacity,
            free: capacity,
        }
    }

    /// Returns the smaller of the free shares of processors and memory, from 0 to 1, after `demand`
    /// is reserved. A resource with zero capacity counts as free.
    #[must_use]
    pub(super) fn min_free_share_after(&self, demand: &Resources) -> f64 {
        let share = |free: u32, demand: u32, capacity: u32| {
            if capacity == 0 {
                return 1.0;
            }
            f64::from(free.saturating_sub(demand)) / f64::from(capacity)
        };
        let processors = share(
            self.free.processors_milli,
            demand.processors_milli,
            self.capacity.processors_milli,
        );
        let memory = share(
            self.free.memory_mb,
            demand.memory_mb,
            self.capacity.memory_mb,
        );
        processors.min(memory)
    }
}
