//! The ledger of one incarnation.

use std::{collections::HashMap, collections::VecDeque, sync::Arc};

use foldhash::fast::RandomState;
use toucanquay_model::{Incarnation, Time, request, request::Verdict};

use super::{
    Begin, ENTRIES_MAX, FINISHED_MAX, FINISHED_MS, HORIZON_MS, KEYED_MS, Outcome,
    RESPONSE_BYTES_MAX, RESPONSES_BYTES_MAX, Request, Response, TOMBSTONE_MS, TOMBSTONES_MAX,
    horizon::Horizon, record::Record,
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
/// let id = request::Id::new(9, 1);
/// let request = Request { id, incarnation: 3, is_keyed: false };
///
/// assert_eq!(ledger.tombstone(id, 3, Time::ZERO), Verdict::NotRun);
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
    horizons: HashMap<Incarnation, Horizon, RandomState>,
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
            horizons: HashMap::default(),
        }
    }

    /// Decides on a request that has arrived. On [`Begin::Run`], the caller owes a call of
    /// [`Self::finish`].
    pub fn begin(&mut self, request: Request, now: Time) -> Begin {
        self.expire(now);
        if request.incarnation != self.incarnation {
            return Begin::Foreign;
        }
        if let Some(record) = self.records.get(&request.id) {
            return record.on_arrival();
        }
        if self.may_be_forgotten(request.id) {
            return Begin::Unknown;
        }
        let record = Record::Running {
            is_keyed: request.is_keyed,
        };
        self.records.insert(request.id, record);
        self.running += 1;
        Begin::Run
    }

    /// Records how a running request ended. It does nothing for a request that is not running.
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
            Outcome::Whole(response) => Record::Finished {
                response: response
                    .filter(|_| is_keyed)
                    .and_then(|kept| self.keep(kept)),
            },
            Outcome::Unknown => Record::Unknown,
        };
        self.records.insert(id, record);
        if is_keyed {
            self.keyed.push_back((now.plus_millis(KEYED_MS), id));
        } else {
            self.finished.push_back((now.plus_millis(FINISHED_MS), id));
        }
        self.bound_finished(now);
    }

    /// Refuses a request from now on unless it has begun, and says what is known of it.
    pub fn tombstone(&mut self, id: request::Id, incarnation: Incarnation, now: Time) -> Verdict {
        self.expire(now);
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

    fn may_be_forgotten(&self, id: request::Id) -> bool {
        let horizon = self.horizons.get(&id.entry());
        horizon.is_some_and(|horizon| id.number() <= horizon.number)
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

    fn bound_finished(&mut self, now: Time) {
        while self.finished.len() + self.keyed.len() > FINISHED_MAX {
            let oldest = self.finished.pop_front().or_else(|| self.keyed.pop_front());
            if let Some((_, id)) = oldest {
                self.forget(id, now);
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
            let Some((_, id)) = due else {
                return;
            };
            self.forget(id, now);
        }
    }

    fn forget(&mut self, id: request::Id, now: Time) {
        if let Some(record) = self.records.remove(&id) {
            self.kept_bytes -= record.size_bytes();
        }
        if self.horizons.len() >= ENTRIES_MAX {
            self.horizons.retain(|_, horizon| horizon.expires > now);
        }
        let horizon = self.horizons.entry(id.entry()).or_default();
        horizon.number = horizon.number.max(id.number());
        horizon.expires = now.plus_millis(HORIZON_MS);
    }
}
