//! Durable records: their allocation to segments, their writes and the effects of these writes.

use std::{borrow::Cow, collections::BTreeSet};

use toucanquay_model::{Error, ErrorKind, Time, job::Reply};

use super::{
    Cell, Token, Write,
    effect::Effect,
    job_state::Job,
    key::{JobKey, TaskKey},
    record::Record,
    segment::Segment,
    value::{SegmentValue, StoredJob, StoredTask},
};

/// Largest checkpoint that is recorded, in bytes of JSON. A checkpoint is a reference; without a
/// limit, the size of a task's record could not be bounded against the size of a segment.
pub(super) const CHECKPOINT_BYTES_MAX: usize = 512;

/// Upper bound of a stored job's size, in bytes, without its spec and task sets.
const STORED_JOB_BYTES: usize = 160;

/// Upper bound of a stored task's size with the largest checkpoint, in bytes, without its job id.
const STORED_TASK_BYTES: usize = 160 + CHECKPOINT_BYTES_MAX;

/// Upper bound of an empty segment's size, in bytes.
pub(super) const EMPTY_SEGMENT_BYTES: usize = 64;

impl Cell {
    /// Returns the writes that are due. Each segment has at most one write in flight.
    pub fn take_writes(&mut self, now: Time) -> Vec<Write> {
        let mut writes = Vec::new();
        if self.is_deposed {
            return writes;
        }
        for segment_index in 0..self.segments.len() {
            if !self.segments[segment_index].is_due(now) {
                continue;
            }
            let Ok(value) = self.segment_value(&self.segments[segment_index]).to_text() else {
                continue;
            };
            let segment = &mut self.segments[segment_index];
            segment.in_flight = Some(segment.version);
            segment.write_at = now.plus_micros(self.settings.commit_interval_micros);
            writes.push(Write {
                segment: u32::try_from(segment_index).unwrap_or(u32::MAX),
                version: segment.version,
                value,
            });
        }
        writes
    }

    /// Returns whether a change is not durable yet.
    #[must_use]
    pub fn has_pending_writes(&self) -> bool {
        let is_pending = |segment: &Segment| segment.version > segment.durable_version;
        self.segments.iter().any(is_pending)
    }

    /// Records that a write is durable and applies the effects that waited for it.
    pub fn write_succeeded(&mut self, segment: u32, version: u64, now: Time) {
        let Some(segment) = self.segments.get_mut(segment as usize) else {
            return;
        };
        if segment.in_flight == Some(version) {
            segment.in_flight = None;
        }
        segment.durable_version = segment.durable_version.max(version);
        let effects = segment.take_effects();
        self.refuse_until = Time::ZERO;
        for effect in effects {
            self.apply_effect(effect, now);
        }
        for ending in std::mem::take(&mut self.deferred_endings) {
            self.record_ending(ending);
        }
    }

    /// Records that a write has failed. It is retried, and new calls are refused for a while.
    ///
    /// `is_certain` states that the write had no effect and never will have one. Jobs that were
    /// only in such writes are refused.
    pub fn write_failed(&mut self, segment: u32, version: u64, is_certain: bool, now: Time) {
        let Some(segment) = self.segments.get_mut(segment as usize) else {
            return;
        };
        if segment.in_flight == Some(version) {
            segment.in_flight = None;
        }
        segment.write_at = now.plus_micros(self.settings.commit_interval_micros);
        self.refuse_until = now.plus_micros(self.settings.store_retry_delay_micros);
        let accepted_jobs = segment
            .effects
            .iter()
            .filter_map(|(effect_version, effect)| match effect {
                Effect::Accept { job, .. } if *effect_version <= version => Some(*job),
                _ => None,
            });
        let jobs: BTreeSet<JobKey> = accepted_jobs.collect();
        for key in jobs {
            self.handle_failed_acceptance(key, is_certain);
        }
    }

    /// Refuses a job that was certainly not written, or marks it as possibly written.
    fn handle_failed_acceptance(&mut self, key: JobKey, is_certain: bool) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.is_ambiguous |= !is_certain;
        if job.is_ambiguous || job.is_durable || job.is_cancelled {
            return;
        }
        let segment_index = job.segment;
        self.remove_job(key);
        let refusal =
            Error::new(ErrorKind::StoreUnavailable).context("the job was not written to the store");
        let answers = &mut self.answers;
        self.segments[segment_index]
            .effects
            .retain(|(_, effect)| match effect {
                Effect::Accept { job, token } if *job == key => {
                    answers.push((*token, Reply::Refused(refusal.clone())));
                    false
                }
                _ => true,
            });
    }

    /// Records a change of a segment and applies `effect` once it is durable.
    pub(super) fn record_change(&mut self, segment: usize, effect: Option<Effect>) {
        self.segments[segment].record_change(effect);
    }

    /// Applies `effect` once all changes made so far to the segment are durable.
    pub(super) fn run_after_write(&mut self, segment_index: usize, effect: Effect) {
        let segment = &mut self.segments[segment_index];
        if segment.durable_version == segment.version {
            self.apply_effect(effect, Time::ZERO);
        } else {
            segment.effects.push_back((segment.version, effect));
        }
    }

    /// Adds a new job, which is accepted once it is durable.
    pub(super) fn insert_job(&mut self, mut job: Job, token: Token) -> Result<(), Error> {
        job.bytes = job_bytes(&job)?;
        let Some(segment_index) = self.allocate_segment(job.bytes) else {
            return Err(
                Error::new(ErrorKind::Overloaded).context("no segment has room for the job")
            );
        };
        job.segment = segment_index;
        let bytes = job.bytes;
        let id = job.spec.id.clone();
        let key = self.jobs.insert(job);
        self.job_ids.insert(id, key);
        self.segments[segment_index].jobs.insert(key);
        self.segments[segment_index].bytes += bytes;
        self.record_change(segment_index, Some(Effect::Accept { job: key, token }));
        Ok(())
    }

    /// Removes a job, none of whose tasks runs, and all its records.
    pub(super) fn remove_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.queue.remove_job(&job.spec);
        self.job_ids.remove(&job.spec.id);
        let segment = &mut self.segments[job.segment];
        segment.jobs.remove(&key);
        segment.bytes -= job.bytes;
        segment.record_change(None);
        for (index, (segment_index, _)) in &job.records {
            let bytes = task_bytes(&job);
            self.segments[*segment_index].remove_task(
                TaskKey {
                    job: key,
                    index: *index,
                },
                bytes,
            );
        }
    }

    /// Sets the record of a task. Returns its segment, or `None` if no segment has room.
    pub(super) fn set_record(&mut self, task: TaskKey, record: &Record) -> Option<usize> {
        let job = self.jobs.get(task.job)?;
        let existing = job
            .records
            .get(&task.index)
            .map(|(segment_index, _)| *segment_index);
        let bytes = task_bytes(job);
        let segment_index = match existing {
            Some(segment_index) => segment_index,
            None => self.allocate_segment(bytes)?,
        };
        if existing.is_none() {
            self.segments[segment_index].tasks.insert(task);
            self.segments[segment_index].bytes += bytes;
        }
        let job = self.jobs.get_mut(task.job)?;
        job.records
            .insert(task.index, (segment_index, record.clone()));
        Some(segment_index)
    }

    /// Removes the record of a finished task. No write is scheduled for this: such a record is
    /// ignored at a takeover and disappears with the segment's next write.
    pub(super) fn drop_record(&mut self, task: TaskKey) {
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        if let Some((segment_index, _)) = job.records.remove(&task.index) {
            let bytes = task_bytes(job);
            self.segments[segment_index].remove_task(task, bytes);
        }
    }

    /// Returns a segment with room for `bytes`, or `None` if there is none.
    ///
    /// A segment is added only when all others exist in the store. The next owner relies on this
    /// order, as it reads segments only up to the first number that does not exist.
    fn allocate_segment(&mut self, bytes: usize) -> Option<usize> {
        if let Some(segment_index) = self
            .segments
            .iter()
            .position(|segment| segment.has_room(bytes))
        {
            return Some(segment_index);
        }
        if !self.segments.iter().all(Segment::exists) {
            return None;
        }
        self.segments.push(Segment {
            bytes: EMPTY_SEGMENT_BYTES,
            ..Segment::default()
        });
        Some(self.segments.len() - 1)
    }

    fn segment_value<'a>(&'a self, segment: &'a Segment) -> SegmentValue<'a> {
        let jobs = segment.jobs.iter().filter_map(|key| self.jobs.get(*key));
        let tasks = segment.tasks.iter().filter_map(|task| {
            let job = self.jobs.get(task.job)?;
            let (_, record) = job.records.get(&task.index)?;
            Some(StoredTask {
                job: Cow::Borrowed(&job.spec.id),
                index: task.index,
                record: Cow::Borrowed(record),
            })
        });
        SegmentValue {
            epoch: self.epoch,
            jobs: jobs.map(stored_job).collect(),
            tasks: tasks.collect(),
        }
    }

    /// Applies an effect whose write is durable.
    fn apply_effect(&mut self, effect: Effect, now: Time) {
        match effect {
            Effect::Accept { job, token } => {
                self.accept(job);
                self.answer_status(job, token);
            }
            Effect::Cancel { job: key, token } => {
                if let Some(job) = self.jobs.get_mut(key) {
                    job.is_durable = true;
                    job.durable_cancellations.push(token);
                    self.pending_cancellations.push(key);
                }
            }
            Effect::End {
                task,
                attempt,
                worker,
                backoff_micros,
            } => {
                let not_before = now.plus_micros(backoff_micros);
                self.acknowledge_and_requeue(task, attempt, worker, not_before, now);
            }
        }
    }

    /// Marks a job as durable and queues its tasks.
    fn accept(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.is_durable {
            return;
        }
        job.is_durable = true;
        if !job.is_cancelled {
            self.enqueue_waiting_tasks(key);
        }
    }
}

impl Segment {
    fn remove_task(&mut self, task: TaskKey, bytes: usize) {
        if self.tasks.remove(&task) {
            self.bytes -= bytes;
        }
    }
}

/// Returns an upper bound of the stored size of a job.
pub(super) fn job_bytes(job: &Job) -> Result<usize, Error> {
    let spec = serde_json::to_string(&job.spec)
        .map_err(|cause| Error::new(ErrorKind::Protocol).context(cause))?;
    let task_set_bytes = 2 * (job.spec.tasks as usize / 4 + 1);
    Ok(spec.len() + task_set_bytes + STORED_JOB_BYTES)
}

/// Returns an upper bound of the stored size of one of the job's task records.
pub(super) fn task_bytes(job: &Job) -> usize {
    job.spec.id.0.len() + STORED_TASK_BYTES
}

const fn stored_job(job: &Job) -> StoredJob<'_> {
    StoredJob {
        spec: Cow::Borrowed(&job.spec),
        order: job.order,
        finished: Cow::Borrowed(&job.finished),
        failed: Cow::Borrowed(&job.failed),
        is_cancelled: job.is_cancelled,
        evictions: job.evictions,
    }
}
