//! One placement round over the free resources of the workers.

use smallvec::SmallVec;
use toucanquay_model::{Resources, worker};

use super::{WorkerResources, order::JobKey};

/// Weight of a worker's free share relative to its cost. It is small, so that load only breaks
/// near-ties in cost.
const LOAD_WEIGHT: f64 = 0.1;

/// State of one call of [`Backlog::assign`](super::Backlog::assign).
pub(super) struct Round<'a, Cost> {
    workers: &'a mut [WorkerResources],
    claims: SmallVec<[(usize, JobKey); 4]>,
    /// Reservations that fitted no worker. Anything at least as large is not tried again.
    failed_fits: SmallVec<[Resources; 8]>,
    /// Reservations and kinds that `cost` rejected on every fitting worker. They are not tried
    /// again, because starts only raise costs.
    rejected: SmallVec<[(Resources, String); 4]>,
    offset: usize,
    candidates: usize,
    cost: Cost,
}

impl<'a, Cost: Fn(&WorkerResources, &str) -> Option<f64>> Round<'a, Cost> {
    pub fn new(
        workers: &'a mut [WorkerResources],
        claims: &[(JobKey, worker::Id)],
        candidates: usize,
        offset: usize,
        cost: Cost,
    ) -> Self {
        let find = |(key, worker): &(JobKey, worker::Id)| {
            let index = workers
                .iter()
                .position(|candidate| candidate.worker == *worker)?;
            Some((index, *key))
        };
        let claims = claims.iter().filter_map(find).collect();
        let offset = offset % workers.len().max(1);
        Self {
            workers,
            claims,
            failed_fits: SmallVec::new(),
            rejected: SmallVec::new(),
            offset,
            candidates,
            cost,
        }
    }

    /// Returns the index of the worker on which the job's next task should start, if any.
    pub fn select_worker(
        &mut self,
        key: JobKey,
        reservation: &Resources,
        kind: &str,
    ) -> Option<usize> {
        if let Some(index) = self.claimed_index(key, reservation, kind) {
            return Some(index);
        }
        if self
            .failed_fits
            .iter()
            .any(|failed| failed.fits(reservation))
        {
            return None;
        }
        let is_rejected =
            |(size, name): &(Resources, String)| name == kind && size.fits(reservation);
        if self.rejected.iter().any(is_rejected) {
            return None;
        }
        let (best, has_fit) = self.scan(reservation, kind);
        if !has_fit {
            self.failed_fits.push(*reservation);
        } else if best.is_none() {
            self.rejected.push((*reservation, kind.to_owned()));
        }
        best
    }

    /// Subtracts `reservation` from the free resources of a worker.
    pub fn reserve(&mut self, index: usize, reservation: &Resources) {
        let free = &mut self.workers[index].free;
        *free = free
            .checked_sub(reservation)
            .expect("the selected worker fits the reservation");
        self.offset = (index + 1) % self.workers.len();
    }

    /// Returns the worker to claim for a job that fits nowhere now: of the unclaimed workers that
    /// are large enough and accept the kind, the one with the most free processors.
    pub fn choose_claim(&self, reservation: &Resources, kind: &str) -> Option<worker::Id> {
        let is_claimed = |index: usize| self.claims.iter().any(|(claimed, _)| *claimed == index);
        let candidates = self
            .workers
            .iter()
            .enumerate()
            .filter(|(index, resources)| {
                reservation.fits(&resources.capacity) && !is_claimed(*index)
            })
            .filter(|(_, resources)| (self.cost)(resources, kind).is_some());
        let resources = candidates
            .max_by_key(|(_, resources)| {
                (resources.free.processors_milli, resources.free.memory_mb)
            })?
            .1;
        Some(resources.worker.clone())
    }

    /// Keeps a worker for a job for the rest of the round.
    pub fn claim(&mut self, key: JobKey, worker: &worker::Id) {
        if let Some(index) = self
            .workers
            .iter()
            .position(|candidate| candidate.worker == *worker)
        {
            self.claims.push((index, key));
        }
    }

    pub const fn offset(&self) -> usize {
        self.offset
    }

    fn claimed_index(&self, key: JobKey, reservation: &Resources, kind: &str) -> Option<usize> {
        let (index, _) = self.claims.iter().find(|(_, claimant)| *claimant == key)?;
        let resources = &self.workers[*index];
        let is_usable = reservation.fits(&resources.free) && (self.cost)(resources, kind).is_some();
        is_usable.then_some(*index)
    }

    /// Returns the index of the best worker among the first `candidates` that fit, and whether any
    /// worker fits. The scan continues past `candidates` until one has a cost.
    fn scan(&self, reservation: &Resources, kind: &str) -> (Option<usize>, bool) {
        let mut best: Option<(f64, usize)> = None;
        let mut fitting = 0;
        let order = (self.offset..self.workers.len()).chain(0..self.offset);
        for index in order {
            let resources = &self.workers[index];
            let is_claimed = self.claims.iter().any(|(claimed, _)| *claimed == index);
            if !reservation.fits(&resources.free) || is_claimed {
                continue;
            }
            fitting += 1;
            if let Some(cost) = (self.cost)(resources, kind) {
                let score = cost - LOAD_WEIGHT * resources.min_free_share_after(reservation);
                if best.is_none_or(|(lowest, _)| score < lowest) {
                    best = Some((score, index));
                }
            }
            if fitting >= self.candidates && best.is_some() {
                break;
            }
        }
        (best.map(|(_, index)| index), fitting > 0)
    }
}
