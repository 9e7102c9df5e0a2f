//! The ledger of one incarnation.

use std::{collections::HashMap, collections::VecDeque, sync::Arc};

use foldhash::fast::RandomState;
use toucanquay_model::{Incarnation, Time, request, request::Verdict};

use super::{
    Begin, FINISHED_MAX, FINISHED_MS, KEYED_MS, Outcome, RESPONSE_BYTES_MAX, RESPONSES_BYTES_MAX,
    Request, Response, TOMBSTONE_MS, TOMBSTONES_MAX, TRANSIT_MS, record::Record,
};

/// Ids with the time at which each is forgotten, in the order of these times.
type Expiry = VecDeque<(Time, request::Id)>;

/// Request ids that one incarnation of a companion has begun, finished or tombstoned.
///
/// Running requests are remembered until they end; the caller bounds their number. The other
/// records are bounded by the limits of this module.
///
/// # Examples
///
/// ```
/// use toucanquay_control::ledger::{Begin, Ledger, Request};
/// use toucanquay_model::{Time, request, request::Verdict};
///
/// let mut ledger = Ledger::new(3);
/// let id = request::Id(7);
/// let request = Request { id, incarnation: 3, is_keyed: false, is_replay: false };
///
/// assert_eq!(ledger.tombstone(id, 3, 0, Time::ZERO), Verdict::NotRun);
/// assert_eq!(ledger.begin(request, Time::from_millis(1)), Begin::Tombstoned);
/// ```
#[derive(Debug)]
pub struct Ledger {
    incarnation: Incarnation,
    records: HashMap<request::Id, Record, RandomState>,
    finished: Expiry,
    keyed: Expiry,
    tombstones: Expiry,
    kept_bytes: usize,
    running: usize,
    /// Latest beginning of a request that was forgotten. An unknown id that may have been sent
    /// before it may be that request.
    horizon: Option<Time>,
}

impl Ledger {
    /// Returns an empty ledger of `incarnation`.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            records: HashMap::default(),
            finished: Expiry::new(),
            keyed: Expiry::new(),
            tombstones: Expiry::new(),
            kept_bytes: 0,
            running: 0,
            horizon: None,
        }
    }

    /// Decides on a request that has arrived. On [`Begin::Run`], the caller owes a call of
    /// [`Self::finish`].
    pub fn begin(&mut self, request: Request, now: Time) -> Begin {
        self.expire(now);
        if request.incarnation != self.incarnation {
            return if request.is_replay {
                Begin::Unknown
            } else {
                Begin::Foreign
            };
        }
        if let Some(record) = self.records.get(&request.id) {
            return record.on_arrival();
        }
        if request.is_replay {
            return Begin::Unknown;
        }
        let record = Record::Running {
            begun: now,
            is_keyed: request.is_keyed,
        };
        self.records.insert(request.id, record);
        self.running += 1;
        Begin::Run
    }

    /// Records how a running request ended. It does nothing for a request that is not running.
    pub fn finish(&mut self, id: request::Id, outcome: Outcome, now: Time) {
        let Some(&Record::Running { begun, is_keyed }) = self.records.get(&id) else {
            return;
        };
        self.running -= 1;
        let record = match outcome {
            Outcome::NotRun => {
                self.records.remove(&id);
                return;
            }
            Outcome::Whole(response) => Record::Finished {
                begun,
                response: response
                    .filter(|_| is_keyed)
                    .and_then(|kept| self.keep(kept)),
            },
            Outcome::Unknown => Record::Unknown { begun },
        };
        self.records.insert(id, record);
        if is_keyed {
            self.keyed.push_back((now.plus_millis(KEYED_MS), id));
        } else {
            self.finished.push_back((now.plus_millis(FINISHED_MS), id));
        }
        self.bound_finished();
    }

    /// Refuses a request from now on unless it has begun, and says what is known of it.
    ///
    /// `age_micros` is the time from the first sending of the request to the sending of the
    /// tombstone. It tells an id that never arrived from one that may have been forgotten.
    pub fn tombstone(
        &mut self,
        id: request::Id,
        incarnation: Incarnation,
        age_micros: u64,
        now: Time,
    ) -> Verdict {
        self.expire(now);
        if incarnation != self.incarnation {
            return Verdict::Unknown;
        }
        if let Some(record) = self.records.get(&id) {
            return record.verdict();
        }
        let is_full = self.tombstones.len() >= TOMBSTONES_MAX;
        if is_full || self.may_be_forgotten(age_micros, now) {
            return Verdict::Unknown;
        }
        self.records.insert(id, Record::Tombstoned);
        self.tombstones
            .push_back((now.plus_millis(TOMBSTONE_MS), id));
        Verdict::NotRun
    }

    /// Returns the number of running requests.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of remembered requests, running ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes of all responses kept for replay.
    #[must_use]
    pub const fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    fn may_be_forgotten(&self, age_micros: u64, now: Time) -> bool {
        let age_micros = age_micros.saturating_add(TRANSIT_MS * 1_000);
        let sent = Time::from_micros(now.as_micros().saturating_sub(age_micros));
        self.horizon.is_some_and(|horizon| sent <= horizon)
    }

    fn keep(&mut self, response: Response) -> Option<Arc<Response>> {
        let size_bytes = response.size_bytes();
        let is_small = size_bytes <= RESPONSE_BYTES_MAX;
        if !is_small || self.kept_bytes + size_bytes > RESPONSES_BYTES_MAX {
            return None;
        }
        self.kept_bytes += size_bytes;
        Some(Arc::new(response))
    }

    fn bound_finished(&mut self) {
        while self.finished.len() + self.keyed.len() > FINISHED_MAX {
            let oldest = self.finished.pop_front().or_else(|| self.keyed.pop_front());
            if let Some((_, id)) = oldest {
                self.forget(id);
            }
        }
    }

    fn expire(&mut self, now: Time) {
        let is_due = |entry: &mut (Time, request::Id)| entry.0 <= now;
        loop {
            let due = self
                .finished
                .pop_front_if(is_due)
                .or_else(|| self.keyed.pop_front_if(is_due))
                .or_else(|| self.tombstones.pop_front_if(is_due));
            let Some((_, id)) = due else { return };
            self.forget(id);
        }
    }

    fn forget(&mut self, id: request::Id) {
        if let Some(record) = self.records.remove(&id) {
            self.kept_bytes -= record.size_bytes();
            self.horizon = self.horizon.max(record.begun());
        }
    }
}
