//! Outlier ejection of upstreams.

mod record;

use slotmap::{Key, SecondaryMap};
use toucanquay_model::Time;

pub use record::Phase;
use record::Record;

/// Largest share of upstreams that may be out at once. The rest stays in service even when it
/// fails, because a wave of failures is more often a common cause than many broken upstreams.
const EJECTED_SHARE_MAX: f64 = 0.34;

/// Ejects upstreams that fail much of what they are sent, and lets them return after probes.
///
/// # Examples
///
/// ```
/// use slotmap::{DefaultKey, SlotMap};
/// use toucanquay_model::Time;
/// use toucanquay_policy::eject::{Ejector, Phase};
///
/// let mut keys: SlotMap<DefaultKey, ()> = SlotMap::new();
/// let mut ejector = Ejector::new();
/// let broken = keys.insert(());
/// ejector.insert(broken);
/// for _ in 0..4 {
///     ejector.insert(keys.insert(()));
/// }
/// ejector.record_unreachable(broken, Time::ZERO);
/// assert_eq!(ejector.phase(broken), Phase::Ejected);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Ejector<K: Key> {
    records: SecondaryMap<K, Record>,
    ejected: usize,
}

impl<K: Key> Ejector<K> {
    /// Returns an ejector without upstreams.
    #[must_use]
    pub fn new() -> Self {
        Self {
            records: SecondaryMap::new(),
            ejected: 0,
        }
    }

    /// Returns the upstreams that are out or being probed.
    #[must_use]
    pub const fn ejected(&self) -> usize {
        self.ejected
    }

    /// Returns the phase of an upstream; an unknown one is in service.
    #[must_use]
    pub fn phase(&self, key: K) -> Phase {
        self.records
            .get(key)
            .map_or(Phase::InService, Record::phase)
    }

    /// Returns the end of an upstream's ejection, if it is out.
    #[must_use]
    pub fn ejected_until(&self, key: K) -> Option<Time> {
        self.records.get(key).and_then(Record::ejected_until)
    }

    /// Adds an upstream in service.
    pub fn insert(&mut self, key: K) {
        self.records.insert(key, Record::default());
    }

    /// Removes an upstream.
    pub fn remove(&mut self, key: K) {
        if let Some(record) = self.records.remove(key) {
            self.ejected -= usize::from(record.phase() != Phase::InService);
        }
    }

    /// Counts a whole answer.
    pub fn record_success(&mut self, key: K) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let was_in_service = record.phase() == Phase::InService;
        record.succeed();
        if !was_in_service && record.phase() == Phase::InService {
            self.ejected -= 1;
        }
    }

    /// Counts a failure, and ejects the upstream when it fails too much and the floor permits.
    pub fn record_failure(&mut self, key: K, now: Time) {
        self.fail(key, now, false);
    }

    /// Counts a failed connection, and ejects the upstream at once when the floor permits.
    pub fn record_unreachable(&mut self, key: K, now: Time) {
        self.fail(key, now, true);
    }

    /// Starts probing an upstream whose ejection has ended.
    pub fn tick(&mut self, key: K, now: Time) {
        if let Some(record) = self.records.get_mut(key) {
            record.tick(now);
        }
    }

    fn fail(&mut self, key: K, now: Time, is_immediate: bool) {
        let may_eject = self.ejected < self.ejected_max();
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        let was_in_service = record.phase() == Phase::InService;
        record.fail();
        if was_in_service && may_eject && (is_immediate || record.is_outlier()) {
            record.eject(now);
            self.ejected += 1;
        } else if record.phase() == Phase::Probing {
            record.eject(now);
        }
    }

    /// Returns how many upstreams may be out. One of two may be out; a single one stays.
    fn ejected_max(&self) -> usize {
        let share = (self.records.len() as f64 * EJECTED_SHARE_MAX) as usize;
        share.max(usize::from(self.records.len() > 1))
    }
}
