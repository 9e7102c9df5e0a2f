//! Rebuilding a cell from the store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use foldhash::{HashMap, HashMapExt};
use slotmap::SlotMap;
use toucanquay_model::{Epoch, Error, ErrorKind, Time, job};

use super::{
    Cell, Phase, Queue, Segment, Settings,
    durability::{ENVELOPE_BYTES, job_bytes, task_bytes},
    job_state::Job,
    key::{JobKey, TaskKey},
    record::Record,
    value::{TaskLine, Value},
};

/// Epoch of the first owner of a cell.
const FIRST_EPOCH: Epoch = 1;

impl Cell {
    /// Takes over a cell whose segments were all stamped with `epoch`; see [`super::stamp`].
    ///
    /// `segments` has the values by number, without gap, the last one being the one that did not
    /// exist before. Tasks of the jobs found there wait until every lease has ended that the
    /// former owner can have granted, unless a companion reports them. The new owner answers
    /// nothing before [`Cell::hold`] and admits no job before [`Cell::configure`].
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Protocol`] when a segment is missing, of another epoch or not valid.
    pub fn takeover(
        settings: Settings,
        epoch: Epoch,
        segments: &[(u32, String)],
        now: Time,
    ) -> Result<Self, Error> {
        // Epochs never repeat, so nothing was granted before the first one.
        let wait_until = match epoch {
            FIRST_EPOCH => now,
            _ => settings.bound(now),
        };
        let mut cell = Self::empty(settings, epoch, wait_until);
        let mut records = BTreeMap::new();
        for (place, (number, text)) in segments.iter().enumerate() {
            let value = Value::parse(text)?;
            if *number as usize != place || value.epoch != epoch {
                return Err(Error::new(ErrorKind::Protocol)
                    .field("segment")
                    .value(format!("{number} of epoch {}", value.epoch))
                    .expected(format!("{place} of epoch {epoch}")));
            }
            cell.restore_jobs(place, value, &mut records)?;
        }
        if segments.is_empty() {
            return Err(Error::new(ErrorKind::Protocol).context("no segment was stamped"));
        }
        cell.restore_records(records);
        cell.restore_phases();
        Ok(cell)
    }

    fn empty(settings: Settings, epoch: Epoch, wait_until: Time) -> Self {
        Self {
            settings,
            epoch,
            hold_until: Time::ZERO,
            is_deposed: false,
            revision: 0,
            revision_known: 0,
            sections: BTreeMap::new(),
            jobs: SlotMap::with_key(),
            job_ids: HashMap::new(),
            next_order: 0,
            workers: SlotMap::with_key(),
            worker_ids: HashMap::new(),
            runs: SlotMap::with_key(),
            queue: Queue::default(),
            backoffs: BTreeSet::new(),
            wait_until,
            waiting_jobs: Vec::new(),
            segments: Vec::new(),
            deferred: VecDeque::new(),
            cancelling: Vec::new(),
            answers: Vec::new(),
            refuse_until: Time::ZERO,
            sweep_at: Time::ZERO,
            violations: Vec::new(),
        }
    }

    fn restore_jobs(
        &mut self,
        place: usize,
        value: Value<'_>,
        records: &mut BTreeMap<(job::Id, u32), (usize, Record)>,
    ) -> Result<(), Error> {
        let mut segment = Segment {
            bytes: ENVELOPE_BYTES,
            version: 1,
            durable: 1,
            ..Segment::default()
        };
        for line in value.jobs {
            let mut job = Job::new(line.spec.into_owned(), line.order, self.wait_until);
            job.segment = place;
            job.is_durable = true;
            job.is_cancelled = line.is_cancelled;
            job.finished = line.finished.into_owned();
            job.failed = line.failed.into_owned();
            job.evictions = line.evictions;
            job.bytes = job_bytes(&job)?;
            segment.bytes += job.bytes;
            self.next_order = self.next_order.max(job.order + 1);
            let id = job.spec.id.clone();
            let key = self.jobs.insert(job);
            segment.jobs.insert(key);
            self.job_ids.insert(id, key);
        }
        self.segments.push(segment);
        for line in value.tasks {
            let TaskLine { job, index, record } = line;
            records.insert((job.into_owned(), index), (place, record.into_owned()));
        }
        Ok(())
    }

    fn restore_records(&mut self, records: BTreeMap<(job::Id, u32), (usize, Record)>) {
        for ((id, index), (place, record)) in records {
            let Some(key) = self.job_ids.get(&id).copied() else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if job.is_done(index) || index >= job.spec.tasks {
                continue;
            }
            let task = &mut job.tasks[index as usize];
            task.last = record.attempt;
            task.failures = record.failures;
            job.records.insert(index, (place, record));
            let segment = &mut self.segments[place];
            segment.bytes += task_bytes(job);
            segment.tasks.insert(TaskKey { job: key, index });
        }
    }

    /// Has the tasks that are not done wait for the end of the wait.
    fn restore_phases(&mut self) {
        for (key, job) in &mut self.jobs {
            for index in 0..job.spec.tasks {
                if job.is_done(index) {
                    job.tasks[index as usize].phase = Phase::Done;
                }
            }
            if !job.is_cancelled {
                job.is_held_back = true;
                self.waiting_jobs.push(key);
            }
        }
    }

    /// Forgets jobs that have been over for long, and workers that have been silent for long.
    pub(super) fn sweep(&mut self, now: Time) {
        let mut forgotten: Vec<JobKey> = Vec::new();
        for (key, job) in &mut self.jobs {
            if !job.is_durable || !job.is_over() || !job.cancels.is_empty() {
                continue;
            }
            let over_at = *job.over_at.get_or_insert(now);
            if now >= over_at.plus_micros(self.settings.retention_micros) {
                forgotten.push(key);
            }
        }
        for key in forgotten {
            self.remove_job(key);
        }
        let silence = self.settings.silence_micros;
        let queue = &mut self.queue;
        self.workers.retain(|_, member| {
            let is_kept = !member.runs.is_empty() || now < member.heard_at.plus_micros(silence);
            if !is_kept {
                queue.leave(&member.id);
            }
            is_kept
        });
        let workers = &self.workers;
        self.worker_ids.retain(|_, key| workers.contains_key(*key));
    }
}
