//! Owners: lease, takeover, reports and commands.

use toucanquay_control::cell::{Cell, Settings};
use toucanquay_model::{Time, exchange::Report, job::Reply};

use super::super::{owner::Takeover, store::Call};
use super::{Event, SECOND, Simulation, sections};

impl Simulation {
    /// Advances an owner's lease and cell, and sends its writes, replies and commands.
    pub(super) fn poll_owner(&mut self, owner: usize) {
        let local_time = self.owners[owner].clock.read(self.now);
        self.advance_ownership(owner, local_time);
        let Some(cell) = &mut self.owners[owner].cell else {
            return;
        };
        if cell.is_deposed() {
            let replies = cell.take_answers(local_time);
            self.owners[owner].reset();
            self.on_client_replies(replies);
            return;
        }
        cell.tick(local_time);
        let writes = cell.take_writes(local_time);
        let replies = cell.take_answers(local_time);
        let epoch = cell.epoch();
        for write in writes {
            let expected = self.owners[owner]
                .segment_revisions
                .get(&write.segment)
                .copied();
            let expected = expected.unwrap_or_default();
            let call = Call::Write {
                write,
                epoch,
                expected,
            };
            self.call_store(owner, call, local_time);
        }
        self.on_client_replies(replies);
        self.send_commands(owner, local_time);
    }

    /// Sends the next store call for the ownership: raise the epoch of a segment during a takeover,
    /// else renew the lease or acquire it.
    fn advance_ownership(&mut self, owner: usize, local_time: Time) {
        let this = &mut self.owners[owner];
        if this.is_call_pending || self.now < this.next_lease_call {
            return;
        }
        let call = if let Some(takeover) = &this.takeover {
            Call::RaiseEpoch {
                number: u32::try_from(takeover.segments.len()).expect("few segments"),
                epoch: takeover.epoch,
            }
        } else if let Some(cell) = &this.cell {
            this.next_lease_call = self.now + 2 * SECOND;
            Call::Renew {
                epoch: cell.epoch(),
            }
        } else {
            this.next_lease_call = self.now + SECOND;
            Call::Acquire
        };
        this.is_call_pending = true;
        self.call_store(owner, call, local_time);
    }

    /// Creates the cell of a new owner from the segments.
    pub(super) fn take_over(&mut self, owner: usize, local_time: Time) {
        let is_running = self
            .hosts
            .iter()
            .any(|host| host.runtime.running().count() > 0);
        if is_running {
            self.counts.increment("takeover beside running tasks");
        }
        if self.owners.iter().any(|owner| owner.cell.is_some()) {
            self.counts.increment("two owners alive");
        }
        let this = &mut self.owners[owner];
        let Some(takeover) = this.takeover.take() else {
            return;
        };
        let Takeover {
            epoch, segments, ..
        } = &takeover;
        let mut cell =
            Cell::takeover(settings(), *epoch, segments, local_time).expect("valid segments");
        this.ownership_end = takeover.sent_at.plus_millis(8_000);
        cell.extend_ownership(this.ownership_end);
        cell.configure(sections(), self.revision, self.revision);
        this.cell = Some(cell);
    }

    pub(super) fn collect_client_replies(&mut self, owner: usize, local_time: Time) {
        if let Some(cell) = &mut self.owners[owner].cell {
            let replies = cell.take_answers(local_time);
            self.on_client_replies(replies);
        }
    }

    /// Records which submissions and cancellations have been acknowledged.
    fn on_client_replies(&mut self, replies: Vec<(u64, Reply)>) {
        for (token, reply) in replies {
            let Some((id, is_cancel)) = self.client_calls.remove(&token) else {
                panic!("answered-twice: {token}");
            };
            if let Reply::One(status) = reply {
                assert_eq!(status.id, id);
                if is_cancel {
                    self.checker.cancelled.insert(id);
                } else {
                    self.checker.accepted.insert(id);
                }
            }
        }
        self.checker.check_store(&self.store);
    }

    pub(super) fn on_report(&mut self, owner: usize, report: &Report) {
        let local_time = self.owners[owner].clock.read(self.now);
        let this = &mut self.owners[owner];
        if local_time >= this.ownership_end && this.cell.is_some() {
            self.counts.increment("owner asked after its lease");
        }
        let Some(cell) = &mut this.cell else {
            return;
        };
        self.checker.count_report(report, &mut self.counts);
        if cell.receive_report(report, local_time) {
            this.incarnations
                .insert(report.worker.0.clone(), report.incarnation);
        }
        cell.tick(local_time);
        self.send_commands(owner, local_time);
    }

    fn send_commands(&mut self, owner: usize, local_time: Time) {
        let Some(cell) = &mut self.owners[owner].cell else {
            return;
        };
        for (worker, command) in cell.take_commands(local_time) {
            self.checker
                .check_command(&command, &self.store, &mut self.counts);
            let host: usize = worker.0[1..]
                .parse()
                .expect("a worker's name ends in its number");
            let incarnation = self.owners[owner].incarnations[&worker.0];
            let delivery = (host, incarnation, command);
            if self.fault_occurs(4) {
                self.counts.increment("answer dropped");
                continue;
            }
            let delay = self.message_delay();
            self.push(
                delay,
                Event::Command(delivery.0, delivery.1, delivery.2.clone()),
            );
            if self.fault_occurs(4) {
                self.counts.increment("answer repeated");
                let delay = self.message_delay();
                self.push(
                    delay,
                    Event::Command(delivery.0, delivery.1, delivery.2.clone()),
                );
            }
            self.last_command = Some(delivery);
        }
    }
}

fn settings() -> Settings {
    Settings {
        retention_micros: 10_000 * SECOND,
        ..Settings::default()
    }
}
