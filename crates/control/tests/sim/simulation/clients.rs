//! Submissions and cancellations of clients.

use rand::RngExt;
use toucanquay_model::{
    Resources,
    job::{self, Spec},
};

use super::super::host::Host;
use super::{JOBS_PER_HOST_MAX, Simulation};

impl Simulation {
    /// Submits a new job or repeats an earlier submission. The first job fits no worker.
    pub(super) fn submit(&mut self) {
        let number = self.specs.len();
        if number >= JOBS_PER_HOST_MAX * self.hosts.len() {
            return;
        }
        let id = job::Id(format!("job{number}"));
        let is_repeat = number > 0 && self.rng.random_range(0..5) == 0;
        let spec = if is_repeat {
            let index = self.rng.random_range(0..number);
            self.specs
                .values()
                .nth(index)
                .expect("the index is below the number of jobs")
                .clone()
        } else {
            let accelerators = if number == 0 {
                9
            } else {
                u32::from(self.rng.random_range(0..8) == 0)
            };
            Spec {
                id,
                team: "desk".to_owned(),
                kind: "plan".to_owned(),
                tasks: self.rng.random_range(1..12),
                demand: Resources {
                    processors_milli: self.rng.random_range(500..5_000),
                    memory_mb: self.rng.random_range(500..9_000),
                    accelerators,
                },
                urgency: job::Urgency::Normal,
                finish_by_unix_ms: None,
                payload: String::new(),
            }
        };
        let owner = self.rng.random_range(0..2);
        self.specs.insert(spec.id.clone(), spec.clone());
        let token = self.new_client_call(&spec.id, false);
        let local_time = self.owners[owner].clock.read(self.now);
        let is_paused = self.owners[owner].paused_until > self.now;
        if let Some(cell) = self.owners[owner].cell.as_mut().filter(|_| !is_paused) {
            cell.submit(spec, token, local_time);
        }
    }

    /// Registers a client call that awaits a reply, and returns its token.
    fn new_client_call(&mut self, id: &job::Id, is_cancel: bool) -> u64 {
        self.last_client_call += 1;
        self.client_calls
            .insert(self.last_client_call, (id.clone(), is_cancel));
        self.last_client_call
    }

    pub(super) fn cancel_jobs(&mut self, count: usize) {
        if count > 1 {
            self.counts.increment("cancellation wave");
        }
        for _ in 0..count {
            if self.specs.is_empty() {
                return;
            }
            let index = self.rng.random_range(0..self.specs.len());
            let id = self
                .specs
                .keys()
                .nth(index)
                .expect("the index is below the number of jobs")
                .clone();
            let is_running = |host: &Host| host.runtime.running().any(|(key, _)| key.0.job == id);
            if self.hosts.iter().any(is_running) {
                self.counts.increment("cancellation beside running tasks");
            }
            let token = self.new_client_call(&id, true);
            for owner in 0..2 {
                let this = &mut self.owners[owner];
                let local_time = this.clock.read(self.now);
                if let Some(cell) = &mut this.cell
                    && this.paused_until <= self.now
                    && local_time < this.ownership_end
                {
                    cell.cancel(&id, token, local_time);
                    break;
                }
            }
        }
    }
}
