//! Calls of owners to the store, and their responses.

use rand::RngExt;
use toucanquay_model::Time;

use super::super::{owner::Takeover, store::Call, store::Response};
use super::{CALL_TIMEOUT, Event, MILLISECOND, SECOND, Simulation};

impl Simulation {
    pub(super) fn call_store(&mut self, owner: usize, call: Call, local_time: Time) {
        let is_slow = self.now < self.store.slow_until;
        if is_slow && matches!(call, Call::Write { .. }) {
            self.counts.increment("store write slow");
        }
        let delay = if is_slow {
            self.rng.random_range(100 * MILLISECOND..5 * SECOND)
        } else {
            self.rng.random_range(MILLISECOND..8 * MILLISECOND)
        };
        let generation = self.owners[owner].generation;
        self.push(delay, Event::StoreCall(owner, generation, call, local_time));
    }

    /// Carries out a store call, unless the store is unavailable, and sends the response.
    pub(super) fn on_store_call(
        &mut self,
        owner: usize,
        generation: u64,
        call: Call,
        sent_at: Time,
    ) {
        let is_down = self.now < self.store.down_until;
        let response = if is_down {
            if matches!(call, Call::Write { .. }) {
                self.counts.increment("store down for a write");
            }
            Response::Failed { is_certain: true }
        } else {
            self.store.call(owner, &call, self.now)
        };
        if let Response::Conflict { epoch, .. } = response
            && matches!(&call, Call::Write { epoch: write_epoch, .. } if *write_epoch < epoch)
        {
            self.counts
                .increment("store write of a former owner refused");
        }
        self.checker.check_store(&self.store);
        let is_lost = !is_down && self.fault_occurs(8);
        if is_lost && matches!(response, Response::Written { .. }) {
            self.counts.increment("store answer lost after the effect");
        }
        let (delay, response) = if is_lost {
            (CALL_TIMEOUT, Response::Failed { is_certain: false })
        } else {
            (self.rng.random_range(500..4 * MILLISECOND), response)
        };
        self.push(
            delay,
            Event::StoreResponse(owner, generation, call, response, sent_at),
        );
    }

    pub(super) fn on_store_response(
        &mut self,
        owner: usize,
        call: Call,
        response: Response,
        sent_at: Time,
    ) {
        let local_time = self.owners[owner].clock.read(self.now);
        let this = &mut self.owners[owner];
        let Call::Write { write, epoch, .. } = call else {
            this.is_call_pending = false;
            self.on_ownership_response(owner, response, sent_at, local_time);
            return;
        };
        let Some(cell) = this.cell.as_mut().filter(|cell| cell.epoch() == epoch) else {
            return;
        };
        match response {
            Response::Written { revision } => {
                this.segment_revisions.insert(write.segment, revision);
                cell.write_succeeded(write.segment, write.version, local_time);
            }
            Response::Conflict {
                epoch: stored_epoch,
                revision,
            } if stored_epoch == epoch => {
                // An earlier write of this owner took effect although its response was lost.
                this.segment_revisions.insert(write.segment, revision);
                cell.write_failed(write.segment, write.version, false, local_time);
            }
            Response::Conflict { .. } => cell.mark_deposed(),
            Response::Failed { is_certain } => {
                cell.write_failed(write.segment, write.version, is_certain, local_time);
            }
            _ => unreachable!("response does not match a write"),
        }
        self.collect_client_replies(owner, local_time);
    }

    fn on_ownership_response(
        &mut self,
        owner: usize,
        response: Response,
        sent_at: Time,
        local_time: Time,
    ) {
        let this = &mut self.owners[owner];
        match response {
            Response::Renewed(true) => {
                this.ownership_end = sent_at.plus_millis(8_000);
                let ownership_end = this.ownership_end;
                if let Some(cell) = &mut this.cell {
                    cell.extend_ownership(ownership_end);
                }
            }
            Response::Acquired(Some(epoch)) => {
                this.takeover = Some(Takeover {
                    epoch,
                    sent_at,
                    segments: Vec::new(),
                });
            }
            Response::Renewed(false) => {
                if let Some(cell) = &mut this.cell {
                    cell.mark_deposed();
                }
            }
            Response::EpochRefused => this.takeover = None,
            Response::EpochRaised {
                text,
                revision,
                is_new,
            } => {
                let Some(takeover) = &mut this.takeover else {
                    return;
                };
                let number = u32::try_from(takeover.segments.len()).expect("few segments");
                takeover.segments.push((number, text));
                this.segment_revisions.insert(number, revision);
                if is_new {
                    self.take_over(owner, local_time);
                }
            }
            _ => {}
        }
    }
}
