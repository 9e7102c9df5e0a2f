//! State that the router keeps for one upstream.

use toucanquay_model::Time;

use super::{Key, State, Zone, snapshot::Snapshot};
use crate::{eject::Phase, limit::Limit};

/// Duration of slow start for a new or recovered upstream, in microseconds. Cold caches and
/// connections make its first responses slow.
const SLOW_START_MICROS: u64 = 10_000_000;

/// Smoothing factor of the moving average of latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// State that the router keeps for one upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    pub(super) zone: Zone,
    pub(super) state: State,
    pub(super) phase: Phase,
    pub(super) limit: Limit,
    pub(super) in_flight: u32,
    pub(super) latency_micros: f64,
    pub(super) latency_updated_at: Time,
    pub(super) is_warm: bool,
    pub(super) slow_start_began: Time,
    pub(super) ready_index: Option<usize>,
    pub(super) wakeup_at: Option<Time>,
}

impl Upstream {
    pub(super) fn new(zone: Zone, slots: u32, slow_start_began: Time) -> Self {
        Self {
            zone,
            state: State::Up,
            phase: Phase::InService,
            limit: Limit::new(slots),
            in_flight: 0,
            latency_micros: 0.0,
            latency_updated_at: slow_start_began,
            is_warm: false,
            slow_start_began,
            ready_index: None,
            wakeup_at: None,
        }
    }

    /// Returns the availability zone.
    #[must_use]
    pub const fn zone(&self) -> Zone {
        self.zone
    }

    /// Returns the state that the companion last reported.
    #[must_use]
    pub const fn state(&self) -> State {
        self.state
    }

    /// Returns the outlier-ejection phase.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the concurrency limit.
    #[must_use]
    pub const fn limit(&self) -> &Limit {
        &self.limit
    }

    /// Returns the number of requests that this entry has in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the average latency in microseconds, without the network latency between zones, or
    /// zero before the first response.
    #[must_use]
    pub const fn latency_micros(&self) -> f64 {
        self.latency_micros
    }

    /// Returns the number of additional requests that may be sent now.
    #[must_use]
    pub fn available(&self, now: Time) -> u32 {
        if self.state != State::Up {
            return 0;
        }
        let phase_max = match self.phase {
            Phase::InService => self.slow_start_slots(now),
            Phase::Ejected => 0,
            Phase::Probing => 1,
        };
        self.limit
            .available(self.in_flight, now)
            .min(phase_max.saturating_sub(self.in_flight))
    }

    /// Returns the data on which the router bases its choice.
    ///
    /// When all slots are busy, the next one becomes free after the latency divided by the number
    /// of slots. The square of the load approximates the probability that all slots are busy.
    pub(super) fn snapshot(&self, key: Key, now: Time) -> Snapshot {
        let current = self.limit.current();
        let usable_slots = self.slow_start_slots(now).min(current).max(1);
        let load = (f64::from(self.in_flight) + self.limit.others_in_flight() + 1.0)
            / f64::from(usable_slots);
        Snapshot {
            key,
            load,
            latency_micros: self.latency_micros,
            queueing_micros: load * load * self.latency_micros / f64::from(current.max(1)),
            latency_updated_at: self.latency_updated_at,
        }
    }

    pub(super) const fn skip_slow_start(&mut self) {
        self.is_warm = true;
    }

    pub(super) const fn restart_slow_start(&mut self, now: Time) {
        self.is_warm = false;
        self.slow_start_began = now;
    }

    pub(super) fn record_latency(&mut self, micros: f64, now: Time) {
        self.latency_updated_at = now;
        if self.latency_micros == 0.0 {
            self.latency_micros = micros;
        }
        self.latency_micros += LATENCY_WEIGHT * (micros - self.latency_micros);
    }

    /// Returns the next time after `now` at which more requests may be allowed without an event.
    pub(super) fn next_change(&self, now: Time) -> Option<Time> {
        let slots = u64::from(self.limit.slots());
        let open_slots = u64::from(self.slow_start_slots(now));
        let slow_start = (open_slots < slots).then(|| {
            let step = (open_slots + 1) * SLOW_START_MICROS / slots;
            self.slow_start_began
                .plus_micros(step)
                .max(now.plus_micros(1))
        });
        [slow_start, self.limit.next_step(now)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the number of slots that slow start allows: one at first, all of them after
    /// [`SLOW_START_MICROS`].
    fn slow_start_slots(&self, now: Time) -> u32 {
        let slots = u64::from(self.limit.slots());
        if self.is_warm {
            return self.limit.slots();
        }
        let age = now
            .micros_since(self.slow_start_began)
            .min(SLOW_START_MICROS);
        (slots * age / SLOW_START_MICROS).max(slots.min(1)) as u32
    }
}
