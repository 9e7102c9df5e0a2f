//! Capacities of the known workers.

use std::collections::{BTreeMap, HashMap};

use foldhash::fast::RandomState;
use toucanquay_model::{Resources, worker};

use super::Unschedulable;

/// Capacities of the known workers, counted by shape because a fleet has few distinct shapes.
#[derive(Debug, Clone, Default)]
pub(super) struct Fleet {
    workers: HashMap<worker::Id, Resources, RandomState>,
    shapes: BTreeMap<(u32, u32, u32), u32>,
    total_processors_milli: u64,
}

impl Fleet {
    /// Adds a worker or updates its capacity. Returns whether the set of shapes changed.
    pub fn add(&mut self, worker: &worker::Id, capacity: Resources) -> bool {
        if self.workers.get(worker) == Some(&capacity) {
            return false;
        }
        let was_last_of_shape = self.remove(worker);
        self.workers.insert(worker.clone(), capacity);
        self.total_processors_milli += u64::from(capacity.processors_milli);
        let count = self.shapes.entry(Self::shape(&capacity)).or_default();
        *count += 1;
        *count == 1 || was_last_of_shape
    }

    /// Removes a worker. Returns whether the set of shapes changed.
    pub fn remove(&mut self, worker: &worker::Id) -> bool {
        let Some(capacity) = self.workers.remove(worker) else {
            return false;
        };
        self.total_processors_milli -= u64::from(capacity.processors_milli);
        let shape = Self::shape(&capacity);
        let count = self.shapes.entry(shape).or_default();
        *count -= 1;
        if *count > 0 {
            return false;
        }
        self.shapes.remove(&shape);
        true
    }

    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns the total processors of all known workers, in thousandths.
    pub const fn total_processors_milli(&self) -> u64 {
        self.total_processors_milli
    }

    /// Returns `wanted` if it fits a known worker. Otherwise clamps it to the capacity of the
    /// largest worker that fits `minimum`.
    ///
    /// # Errors
    ///
    /// [`Unschedulable`] if `minimum` fits no known worker.
    pub fn fit(&self, wanted: &Resources, minimum: &Resources) -> Result<Resources, Unschedulable> {
        if self.capacities().any(|capacity| wanted.fits(&capacity)) {
            return Ok(*wanted);
        }
        let largest = self
            .capacities()
            .filter(|capacity| minimum.fits(capacity))
            .max_by_key(|capacity| (capacity.memory_mb, capacity.processors_milli));
        largest
            .map(|capacity| clamp(wanted, &capacity))
            .ok_or_else(|| self.unschedulable(minimum))
    }

    fn unschedulable(&self, demand: &Resources) -> Unschedulable {
        let largest = self
            .capacities()
            .fold(Resources::ZERO, |largest, capacity| largest.max(&capacity));
        let demand = *demand;
        if demand.fits(&largest) {
            return Unschedulable::Shape { demand, largest };
        }
        Unschedulable::Capacity { demand, largest }
    }

    fn capacities(&self) -> impl Iterator<Item = Resources> + '_ {
        self.shapes
            .keys()
            .map(|&(processors_milli, memory_mb, accelerators)| Resources {
                processors_milli,
                memory_mb,
                accelerators,
            })
    }

    const fn shape(capacity: &Resources) -> (u32, u32, u32) {
        (
            capacity.processors_milli,
            capacity.memory_mb,
            capacity.accelerators,
        )
    }
}

fn clamp(wanted: &Resources, capacity: &Resources) -> Resources {
    Resources {
        processors_milli: wanted.processors_milli.min(capacity.processors_milli),
        memory_mb: wanted.memory_mb.min(capacity.memory_mb),
        accelerators: wanted.accelerators.min(capacity.accelerators),
    }
}
