//! Takeover of a cell from the segments in the store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use foldhash::{HashMap, HashMapExt};
use slotmap::SlotMap;
use toucanquay_model::{Epoch, Error, ErrorKind, Time, job};

use super::{
    Cell, Phase, Queue, Segment, Settings,
    durability::{EMPTY_SEGMENT_BYTES, job_bytes, task_bytes},
    job_state::Job,
    key::{JobKey, TaskKey},
    record::Record,
    value::{SegmentValue, StoredTask},
};

/// Epoch of a cell's first owner.
const FIRST_EPOCH: Epoch = 1;

impl Cell {
    /// Takes over a cell whose segments were all rewritten with `epoch`; see
    /// [`super::raise_epoch`].
    ///
    /// `segments` holds the values by number without gaps. The last one is the segment that did not
    /// exist before the takeover. Tasks of the stored jobs wait until all leases that the former
    /// owner can have granted have ended, unless a companion reports them. The new owner answers
    /// nothing before [`Cell::extend_ownership`] and admits no job before [`Cell::configure`].
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Protocol`] if a segment is missing, has another epoch or is not valid.
    pub fn takeover(
        settings: Settings,
        epoch: Epoch,
        segments: &[(u32, String)],
        now: Time,
    ) -> Result<Self, Error> {
        // Epochs are never reused, so nothing was granted before the first one.
        let takeover_complete_at = match epoch {
            FIRST_EPOCH => now,
            _ => settings.lease_end_bound(now),
        };
        let mut cell = Self::empty(settings, epoch, takeover_complete_at);
        let mut records = BTreeMap::new();
        for (segment_index, (number, text)) in segments.iter().enumerate() {
            let value = SegmentValue::parse(text)?;
            if *number as usize != segment_index || value.epoch != epoch {
                return Err(Error::new(ErrorKind::Protocol)
                    .field("segment")
                    .value(format!("{number} of epoch {}", value.epoch))
                    .expected(format!("{segment_index} of epoch {epoch}")));
            }
            cell.restore_jobs(segment_index, value, &mut records)?;
        }
        if segments.is_empty() {
            return Err(Error::new(ErrorKind::Protocol).context("no segment to take over"));
        }
        cell.restore_records(records);
        cell.restore_phases();
        Ok(cell)
    }

    fn empty(settings: Settings, epoch: Epoch, takeover_complete_at: Time) -> Self {
        Self {
            settings,
            epoch,
            ownership_until: Time::ZERO,
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
            takeover_complete_at,
            jobs_awaiting_takeover: Vec::new(),
            segments: Vec::new(),
            deferred_endings: VecDeque::new(),
            pending_cancellations: Vec::new(),
            answers: Vec::new(),
            refuse_until: Time::ZERO,
            next_sweep_at: Time::ZERO,
            violations: Vec::new(),
        }
    }

    fn restore_jobs(
        &mut self,
        segment_index: usize,
        value: SegmentValue<'_>,
        records: &mut BTreeMap<(job::Id, u32), (usize, Record)>,
    ) -> Result<(), Error> {
        let mut segment = Segment {
            bytes: EMPTY_SEGMENT_BYTES,
            version: 1,
            durable_version: 1,
            ..Segment::default()
        };
        for stored in value.jobs {
            let mut job = Job::new(
                stored.spec.into_owned(),
                stored.order,
                self.takeover_complete_at,
            );
            job.segment = segment_index;
            job.is_durable = true;
            job.is_cancelled = stored.is_cancelled;
            job.finished = stored.finished.into_owned();
            job.failed = stored.failed.into_owned();
            job.evictions = stored.evictions;
            job.bytes = job_bytes(&job)?;
            segment.bytes += job.bytes;
            self.next_order = self.next_order.max(job.order + 1);
            let id = job.spec.id.clone();
            let key = self.jobs.insert(job);
            segment.jobs.insert(key);
            self.job_ids.insert(id, key);
        }
        self.segments.push(segment);
        for stored in value.tasks {
            let StoredTask { job, index, record } = stored;
            records.insert(
                (job.into_owned(), index),
                (segment_index, record.into_owned()),
            );
        }
        Ok(())
    }

    fn restore_records(&mut self, records: BTreeMap<(job::Id, u32), (usize, Record)>) {
        for ((id, index), (segment_index, record)) in records {
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
            task.last_attempt = record.attempt;
            task.failures = record.failures;
            job.records.insert(index, (segment_index, record));
            let segment = &mut self.segments[segment_index];
            segment.bytes += task_bytes(job);
            segment.tasks.insert(TaskKey { job: key, index });
        }
    }

    /// Makes the tasks that are not done wait for the end of the takeover.
    fn restore_phases(&mut self) {
        for (key, job) in &mut self.jobs {
            for index in 0..job.spec.tasks {
                if job.is_done(index) {
                    job.tasks[index as usize].phase = Phase::Done;
                }
            }
            if !job.is_cancelled {
                job.is_awaiting_takeover = true;
                self.jobs_awaiting_takeover.push(key);
            }
        }
    }

    /// Removes jobs that ended longer ago than the retention time, and workers that are silent and
    /// have no tasks.
    pub(super) fn sweep(&mut self, now: Time) {
        let mut expired: Vec<JobKey> = Vec::new();
        for (key, job) in &mut self.jobs {
            if !job.is_durable || !job.has_ended() || !job.durable_cancellations.is_empty() {
                continue;
            }
            let ended_at = *job.ended_at.get_or_insert(now);
            if now >= ended_at.plus_micros(self.settings.retention_micros) {
                expired.push(key);
            }
        }
        for key in expired {
            self.remove_job(key);
        }
        let worker_timeout = self.settings.worker_timeout_micros;
        let queue = &mut self.queue;
        self.workers.retain(|_, worker_state| {
            let is_kept = !worker_state.runs.is_empty()
                || now < worker_state.last_report_at.plus_micros(worker_timeout);
            if !is_kept {
                queue.remove_worker(&worker_state.id);
            }
            is_kept
        });
        let workers = &self.workers;
        self.worker_ids.retain(|_, key| workers.contains_key(*key));
    }
}
