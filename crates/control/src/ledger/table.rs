//! Table of the requests of one incarnation.

use std::{collections::HashMap, collections::VecDeque, sync::Arc};

use foldhash::fast::RandomState;
use toucanquay_model::{Incarnation, Time, request, request::Verdict};

use super::{
    Decision, FINISHED_MAX, FINISHED_TTL_MS, KEYED_TTL_MS, Outcome, RESPONSE_BYTES_MAX,
    RESPONSES_BYTES_MAX, Request, Response, TOMBSTONE_TTL_MS, TOMBSTONES_MAX, WATERMARK_TTL_MS,
    WATERMARKS_MAX, record::Record, watermark::Watermark,
};

/// Request ids with the times at which their records expire, in the order of these times.
type ExpiryQueue = VecDeque<(Time, request::Id)>;

/// Requests that one incarnation of a companion has begun, finished or tombstoned.
///
/// Running requests are retained until they end, so the caller limits their number. The other
/// records are limited by the constants of this module.
///
/// # Examples
///
/// ```
/// use toucanquay_control::ledger::{Decision, Ledger, Request};
/// use toucanquay_model::{Time, request, request::Verdict};
///
/// let mut ledger = Ledger::new(3);
/// let id = request::Id::new(9, 1);
/// let request = Request { id, incarnation: 3, is_keyed: false };
///
/// assert_eq!(ledger.tombstone(id, 3, Time::ZERO), Verdict::NotRun);
/// assert_eq!(ledger.begin(request, Time::from_millis(1)), Decision::Tombstoned);
/// ```
#[derive(Debug)]
pub struct Ledger {
    incarnation: Incarnation,
    records: HashMap<request::Id, Record, RandomState>,
    finished: ExpiryQueue,
    keyed: ExpiryQueue,
    tombstones: ExpiryQueue,
    retained_bytes: usize,
    running: usize,
    watermarks: HashMap<Incarnation, Watermark, RandomState>,
}

impl Ledger {
    /// Returns an empty ledger for `incarnation`.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            records: HashMap::default(),
            finished: ExpiryQueue::new(),
            keyed: ExpiryQueue::new(),
            tombstones: ExpiryQueue::new(),
            retained_bytes: 0,
            running: 0,
            watermarks: HashMap::default(),
        }
    }

    /// Decides on a request that has arrived. After [`Decision::Run`], the caller must call
    /// [`Self::finish`].
    pub fn begin(&mut self, request: Request, now: Time) -> Decision {
        self.remove_expired(now);
        if request.incarnation != self.incarnation {
            return Decision::WrongIncarnation;
        }
        if let Some(record) = self.records.get(&request.id) {
            return record.decision();
        }
        if self.may_be_forgotten(request.id) {
            return Decision::Unknown;
        }
        let record = Record::Running {
            is_keyed: request.is_keyed,
        };
        self.records.insert(request.id, record);
        self.running += 1;
        Decision::Run
    }

    /// Records the outcome of a running request. Does nothing if the request is not running.
    pub fn finish(&mut self, id: request::Id, outcome: Outcome, now: Time) {
        let Some(&Record::Running { is_keyed }) = self.records.get(&id) else {
            return;
        };
        self.running -= 1;
        let record = match outcome {
            Outcome::NotRun => {
                self.records.remove(&id);
                return;
            }
            Outcome::Complete(response) => Record::Finished {
                response: response
                    .filter(|_| is_keyed)
                    .and_then(|response| self.retain_response(response)),
            },
            Outcome::Unknown => Record::Unknown,
        };
        self.records.insert(id, record);
        if is_keyed {
            self.keyed.push_back((now.plus_millis(KEYED_TTL_MS), id));
        } else {
            self.finished
                .push_back((now.plus_millis(FINISHED_TTL_MS), id));
        }
        self.evict_finished(now);
    }

    /// Refuses a request from now on unless it has begun, and returns what is known about it.
    pub fn tombstone(&mut self, id: request::Id, incarnation: Incarnation, now: Time) -> Verdict {
        self.remove_expired(now);
        if incarnation != self.incarnation {
            return Verdict::Unknown;
        }
        if let Some(record) = self.records.get(&id) {
            return record.verdict();
        }
        let is_full = self.tombstones.len() >= TOMBSTONES_MAX;
        if is_full || self.may_be_forgotten(id) {
            return Verdict::Unknown;
        }
        self.records.insert(id, Record::Tombstoned);
        self.tombstones
            .push_back((now.plus_millis(TOMBSTONE_TTL_MS), id));
        Verdict::NotRun
    }

    /// Returns the number of running requests.
    #[must_use]
    pub const fn running_requests(&self) -> usize {
        self.running
    }

    /// Returns the number of retained records, including running requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the ledger has no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the total size of the responses retained for replay, in bytes.
    #[must_use]
    pub const fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// Returns whether a request without a record may have had one that was removed.
    fn may_be_forgotten(&self, id: request::Id) -> bool {
        let watermark = self.watermarks.get(&id.entry());
        watermark.is_some_and(|watermark| id.number() <= watermark.number)
    }

    /// Retains a response for replay if the size limits allow it.
    fn retain_response(&mut self, response: Response) -> Option<Arc<Response>> {
        let size_bytes = response.size_bytes();
        let is_replayable = size_bytes <= RESPONSE_BYTES_MAX;
        if !is_replayable || self.retained_bytes + size_bytes > RESPONSES_BYTES_MAX {
            return None;
        }
        self.retained_bytes += size_bytes;
        Some(Arc::new(response))
    }

    /// Removes the oldest finished requests above the limit.
    fn evict_finished(&mut self, now: Time) {
        while self.finished.len() + self.keyed.len() > FINISHED_MAX {
            let oldest = self.finished.pop_front().or_else(|| self.keyed.pop_front());
            if let Some((_, id)) = oldest {
                self.remove_record(id, now);
            }
        }
    }

    fn remove_expired(&mut self, now: Time) {
        let is_due = |expiry: &mut (Time, request::Id)| expiry.0 <= now;
        loop {
            let due = self
                .finished
                .pop_front_if(is_due)
                .or_else(|| self.keyed.pop_front_if(is_due))
                .or_else(|| self.tombstones.pop_front_if(is_due));
            let Some((_, id)) = due else {
                return;
            };
            self.remove_record(id, now);
        }
    }

    /// Removes a record and raises the watermark of its entry.
    fn remove_record(&mut self, id: request::Id, now: Time) {
        if let Some(record) = self.records.remove(&id) {
            self.retained_bytes -= record.size_bytes();
        }
        if self.watermarks.len() >= WATERMARKS_MAX {
            self.watermarks
                .retain(|_, watermark| watermark.expires > now);
        }
        let watermark = self.watermarks.entry(id.entry()).or_default();
        watermark.number = watermark.number.max(id.number());
        watermark.expires = now.plus_millis(WATERMARK_TTL_MS);
    }
}
