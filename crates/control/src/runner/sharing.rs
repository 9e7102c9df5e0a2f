//! How tasks that use idle processors share the worker with those whose users feel them.

use smallvec::SmallVec;
use toucanquay_model::Time;
use toucanquay_policy::pressure::{Estimate, Neighbour};

use super::{
    Action, Key, Runner,
    entry::Entry,
    pacer::{self, Pace, Row},
};

/// Time of a missed target after which all neighbours are paused, in microseconds: what is known
/// of them must be wrong.
const MISSED_MICROS_MAX: u64 = 1_200_000;

impl Runner {
    /// Tells whether the worker has sensitive attempts and others that are paced for them.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        let mut entries = self.runs.values();
        let has_paced = self.runs.values().any(Entry::is_paced);
        has_paced && entries.any(|entry| entry.sensitive_image().is_some())
    }

    /// Learns from figures that cover the present attempts.
    pub(super) fn learn(&mut self) {
        let neighbours: SmallVec<[Neighbour; 8]> = self
            .runs
            .values()
            .filter(|entry| entry.is_paced())
            .map(|entry| Neighbour {
                image: entry.image(),
                processor_share: self.share(entry.reading.present()),
            })
            .collect();
        for entry in self.runs.values_mut() {
            let Some(image) = entry.sensitive_image() else {
                continue;
            };
            let floor_ms = entry.profile.map_or(0, |profile| profile.latency_floor_ms);
            self.model.record_latency(image, floor_ms);
            self.model.record_latency(image, entry.reading.lowest());
            let latency_ms = f64::from(entry.reading.present());
            if latency_ms == 0.0 {
                continue;
            }
            self.model
                .observe(image, latency_ms, &mut entry.load, &neighbours);
        }
    }

    /// Returns thousandths of a processor as a share of the worker's processors.
    fn share(&self, milli: u32) -> f64 {
        let capacity = self.worker.as_ref().map(|worker| worker.capacity);
        let capacity_milli = capacity.map_or(1, |capacity| capacity.processors_milli.max(1));
        f64::from(milli) / f64::from(capacity_milli)
    }

    /// Returns what neighbours may add to the factor on each sensitive attempt's work.
    fn rooms(&self) -> SmallVec<[(usize, f64); 8]> {
        let room = |entry: &Entry| {
            let image = entry.sensitive_image()?;
            let room = self.model.headroom(image, entry.load.value, entry.aim_ms());
            Some((image, room))
        };
        self.runs.values().filter_map(room).collect()
    }

    /// Returns what an attempt at full pace adds to the factor on each sensitive attempt's work, and
    /// what it hardly exceeds.
    fn effects(&self, entry: &Entry, sensitive: &[(usize, f64)]) -> (Row, Row) {
        let share = self.share(entry.profile.map_or(0, |profile| profile.idle_milli));
        let estimate = |(image, _): &(usize, f64)| self.model.estimate(*image, entry.image());
        let effect = |estimate: Estimate| estimate.value * share;
        let effect_max = |estimate: Estimate| (estimate.value + estimate.deviation()) * share;
        let estimates: SmallVec<[Estimate; 8]> = sensitive.iter().map(estimate).collect();
        (
            estimates.iter().copied().map(effect).collect(),
            estimates.iter().copied().map(effect_max).collect(),
        )
    }

    /// Sets the paces for the present loads, and returns the orders to change them.
    pub(super) fn pace(&mut self, now: Time) -> Vec<Action> {
        let is_missed = self.runs.values().any(|entry| {
            let since = entry.missed_since.unwrap_or(Time::NEVER);
            now >= since.plus_micros(MISSED_MICROS_MAX)
        });
        let sensitive = self.rooms();
        let rooms: Row = sensitive.iter().map(|(_, room)| *room).collect();
        let effects: Vec<(Row, Row)> = self
            .runs
            .values()
            .filter(|entry| entry.is_paced())
            .map(|entry| self.effects(entry, &sensitive))
            .collect();
        let paced = self.runs.iter_mut().filter(|(_, entry)| entry.is_paced());
        let mut paces: Vec<Pace<'_, Key>> = paced
            .zip(effects)
            .map(|((key, entry), (effects, effects_max))| Pace {
                key: *key,
                effects,
                effects_max,
                percent: &mut entry.pace,
            })
            .collect();
        let changed = if is_missed {
            pacer::pause(&mut paces)
        } else {
            pacer::pace(&mut paces, &rooms)
        };
        let order = |(key, percent)| self.order(key, percent);
        changed.into_iter().map(order).collect()
    }

    /// Sets the paces when an attempt that uses idle processors has started. The worker lets it begin
    /// at full pace.
    pub(super) fn begin_pace(&mut self, key: Key, now: Time) -> Vec<Action> {
        if let Some(entry) = self.runs.get_mut(&key) {
            entry.pace = 0;
        }
        self.disturb(now);
        let mut actions = self.pace(now);
        let is_other = |action: &Action| action.key() != Some(key);
        actions.retain(is_other);
        let present = self.runs.get(&key).map(|entry| entry.pace);
        let percent = present.unwrap_or(Entry::FULL_PACE);
        if percent != Entry::FULL_PACE {
            actions.push(self.order(key, percent));
        }
        actions
    }

    fn order(&self, (task, attempt): Key, percent: u8) -> Action {
        let latencies = self.runs.values().filter_map(Entry::latency_percent);
        Action::Pace {
            task,
            attempt,
            percent,
            latency_percent: latencies.max(),
        }
    }

    /// What the worker reported so far doesn't cover the present attempts.
    pub(super) const fn disturb(&mut self, now: Time) {
        self.disturbed_at = now;
        self.has_sample = false;
    }
}
