//! One upstream, as the router sees it.

use toucanquay_model::Time;

use super::{Key, State, Zone, snapshot::Snapshot};
use crate::{eject::Phase, limit::Limit};

/// Time in which a new or returned upstream reaches its full share, in microseconds. Cold caches
/// and connections make the first answers slow.
const SLOW_START_MICROS: u64 = 10_000_000;

/// Weight of a new latency in the average.
const LATENCY_WEIGHT: f64 = 0.1;

/// One upstream, as the router sees it.
#[derive(Debug, Clone)]
pub struct Candidate {
    pub(super) zone: Zone,
    pub(super) state: State,
    pub(super) phase: Phase,
    pub(super) limit: Limit,
    pub(super) in_flight: u32,
    pub(super) latency_micros: f64,
    pub(super) answered_at: Time,
    pub(super) is_warm: bool,
    pub(super) since: Time,
    pub(super) ready_at: Option<usize>,
    pub(super) wake_at: Option<Time>,
}

impl Candidate {
    pub(super) fn new(zone: Zone, slots: u32, since: Time) -> Self {
        Self {
            zone,
            state: State::Up,
            phase: Phase::In,
            limit: Limit::new(slots),
            in_flight: 0,
            latency_micros: 0.0,
            answered_at: since,
            is_warm: false,
            since,
            ready_at: None,
            wake_at: None,
        }
    }

    /// Returns the availability zone.
    #[must_use]
    pub const fn zone(&self) -> Zone {
        self.zone
    }

    /// Returns the state that the companion reported last.
    #[must_use]
    pub const fn state(&self) -> State {
        self.state
    }

    /// Returns the phase of its ejection.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the limit on requests in flight.
    #[must_use]
    pub const fn limit(&self) -> &Limit {
        &self.limit
    }

    /// Returns the requests of this entry in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the average latency in microseconds, without the way between zones; zero if it is
    /// not known yet.
    #[must_use]
    pub const fn latency_micros(&self) -> f64 {
        self.latency_micros
    }

    /// Returns how many more requests may be sent now.
    #[must_use]
    pub fn room(&self, now: Time) -> u32 {
        if self.state != State::Up {
            return 0;
        }
        let most = match self.phase {
            Phase::In => self.share(now),
            Phase::Out => 0,
            Phase::Probing => 1,
        };
        self.limit
            .room(self.in_flight, now)
            .min(most.saturating_sub(self.in_flight))
    }

    /// Returns what the choice needs to know.
    ///
    /// The next of the slots in use is free after the latency over their number; the square of the
    /// load stands for the chance that all are in use.
    pub(super) fn snapshot(&self, key: Key, now: Time) -> Snapshot {
        let current = self.limit.current();
        let share = self.share(now).min(current).max(1);
        let load = (f64::from(self.in_flight) + self.limit.others() + 1.0) / f64::from(share);
        Snapshot {
            key,
            load,
            latency_micros: self.latency_micros,
            queueing_micros: load * load * self.latency_micros / f64::from(current.max(1)),
            answered_at: self.answered_at,
        }
    }

    pub(super) const fn skip_slow_start(&mut self) {
        self.is_warm = true;
    }

    pub(super) const fn restart_slowly(&mut self, now: Time) {
        self.is_warm = false;
        self.since = now;
    }

    pub(super) fn learn_latency(&mut self, micros: f64, now: Time) {
        self.answered_at = now;
        if self.latency_micros == 0.0 {
            self.latency_micros = micros;
        }
        self.latency_micros += LATENCY_WEIGHT * (micros - self.latency_micros);
    }

    /// Returns the next time after `now` at which the room may grow without an event.
    pub(super) fn next_change(&self, now: Time) -> Option<Time> {
        let slots = u64::from(self.limit.slots());
        let share = u64::from(self.share(now));
        let slow_start = (share < slots).then(|| {
            let step = (share + 1) * SLOW_START_MICROS / slots;
            self.since.plus_micros(step).max(now.plus_micros(1))
        });
        [slow_start, self.limit.next_step(now)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the slots that slow start opens: one at first, all after [`SLOW_START_MICROS`].
    fn share(&self, now: Time) -> u32 {
        let slots = u64::from(self.limit.slots());
        if self.is_warm {
            return self.limit.slots();
        }
        let age = now.micros_since(self.since).min(SLOW_START_MICROS);
        (slots * age / SLOW_START_MICROS).max(slots.min(1)) as u32
    }
}
