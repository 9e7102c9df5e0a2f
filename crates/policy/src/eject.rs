//! Outlier ejection of upstreams.

mod record;

use slotmap::{Key, SecondaryMap};
use toucanquay_model::Time;

pub use record::Phase;
use record::Record;

/// Maximum share of upstreams that may be ejected at once. The rest stay in service even when they
/// fail, because many simultaneous failures usually have a common cause.
const EJECTED_SHARE_MAX: f64 = 0.34;

/// Ejects upstreams that fail too many requests and returns them to service after successful
/// probes.
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
    /// Creates an ejector without upstreams.
    #[must_use]
    pub fn new() -> Self {
        Self {
            records: SecondaryMap::new(),
            ejected: 0,
        }
    }

    /// Returns the number of upstreams that are ejected or being probed.
    #[must_use]
    pub const fn ejected(&self) -> usize {
        self.ejected
    }

    /// Returns the phase of an upstream. An unknown upstream counts as in service.
    #[must_use]
    pub fn phase(&self, key: K) -> Phase {
        self.records
            .get(key)
            .map_or(Phase::InService, Record::phase)
    }

    /// Returns the end of an upstream's ejection, if it is ejected.
    #[must_use]
    pub fn ejected_until(&self, key: K) -> Option<Time> {
        self.records.get(key).and_then(Record::ejected_until)
    }

    /// Adds an upstream, which starts in service.
    pub fn insert(&mut self, key: K) {
        self.records.insert(key, Record::default());
    }

    /// Removes an upstream.
    pub fn remove(&mut self, key: K) {
        if let Some(record) = self.records.remove(key) {
            self.ejected -= usize::from(record.phase() != Phase::InService);
        }
    }

    /// Records a complete response.
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

    /// Records a failure. Ejects the upstream if it is an outlier and the maximum share permits it.
    pub fn record_failure(&mut self, key: K, now: Time) {
        self.fail(key, now, false);
    }

    /// Records a failed connection. Ejects the upstream immediately if the maximum share permits
    /// it.
    pub fn record_unreachable(&mut self, key: K, now: Time) {
        self.fail(key, now, true);
    }

    /// Starts probing an upstream if its ejection has ended.
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

    /// Returns the maximum number of ejected upstreams. One of two may be ejected; a single
    /// upstream is never ejected.
    fn ejected_max(&self) -> usize {
        let share = (self.records.len() as f64 * EJECTED_SHARE_MAX) as usize;
        share.max(usize::from(self.records.len() > 1))
    }
}
