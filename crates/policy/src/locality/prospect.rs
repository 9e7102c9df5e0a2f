//! What a wait and a run elsewhere mean to a job.

use toucanquay_model::Time;

use super::{Bound, Claim, Decision, Forecast, Patience, Reason};

/// Shortest gain for which tasks wait, in microseconds. A start that follows the end of another
/// attempt comes later than one on a free host by the time of a report and an order.
const GAIN_MICROS_MIN: u64 = 100_000;

/// Longest time for which tasks wait while there is room elsewhere, in microseconds. It is half of
/// the time after which a job with nothing running counts as forgotten.
const WAIT_MICROS_MAX: u64 = 1_500_000;

/// Factor by which run times are taken to be longer than estimated when a job must meet its
/// objective.
const TAIL_PERCENT: u64 = 125;

/// Part of the time until the deadline within which a near place must be expected for a wait to
/// begin. A wait that has begun goes on until a place is expected only after the deadline.
const BEGIN_PERCENT: u64 = 75;

/// What a wait and a run elsewhere mean to the waiting tasks of a step and to their job.
#[derive(Debug, Clone, Copy)]
pub struct Prospect {
    /// Expected run time of a task near its data, in microseconds.
    pub run_micros: u64,
    /// Run time elsewhere as a percentage of the run time near the data.
    pub far_percent: u32,
    /// Expected time from a start of the tasks near their data to the end of the job, in
    /// microseconds.
    pub rest_micros: u64,
    /// Time by which the job is to end.
    pub objective_at: Time,
    /// Time since which the tasks have waited.
    pub began_at: Time,
}

impl Prospect {
    /// Returns the time by which a run elsewhere takes longer, in microseconds.
    #[must_use]
    pub const fn gain_micros(&self) -> u64 {
        let extra_percent = self.far_percent.saturating_sub(100) as u64;
        self.run_micros.saturating_mul(extra_percent) / 100
    }

    /// Returns until when a wait pays if a place becomes free by then.
    ///
    /// # Errors
    ///
    /// The reason why no wait pays.
    pub fn patience(&self, now: Time) -> Result<Patience, Reason> {
        let gain_micros = self.gain_micros();
        if gain_micros < GAIN_MICROS_MIN {
            return Err(Reason::NoGain);
        }
        let rest_micros = with_tail(self.rest_micros);
        let last_near_start = minus(self.objective_at, rest_micros);
        if now > last_near_start {
            return Err(Reason::Late);
        }
        let last_far_start = minus(last_near_start, with_tail(gain_micros));
        let by_objective = if self.began_at <= last_far_start {
            (last_far_start, Bound::Objective)
        } else {
            (last_near_start, Bound::LastChance)
        };
        let by_gain = (self.began_at.plus_micros(gain_micros), Bound::Gain);
        let by_limit = (self.began_at.plus_micros(WAIT_MICROS_MAX), Bound::Limit);
        let bounds = [by_limit, by_gain, by_objective];
        let first = bounds.into_iter().min_by_key(|(until, _)| *until);
        let (until, bound) = first.unwrap_or(by_limit);
        Ok(Patience { until, bound })
    }

    /// Decides for the tasks of a claim, and promises them their places if they wait. `held` is the
    /// deadline of the wait that they have begun, which isn't extended.
    pub fn decide(
        &self,
        claim: &Claim,
        forecast: &mut Forecast,
        held: Option<Patience>,
        now: Time,
    ) -> Decision {
        let patience = match held.map_or_else(|| self.patience(now), Ok) {
            Ok(patience) if now < patience.until => patience,
            Ok(_) => return Decision::Far(Reason::Deadline),
            Err(reason) => return Decision::Far(reason),
        };
        if claim.places.iter().all(|places| *places == 0) {
            return Decision::Far(Reason::Lost);
        }
        let latest = if held.is_some() {
            patience.until
        } else {
            let span_micros = patience.until.micros_since(now);
            now.plus_micros(span_micros.saturating_mul(BEGIN_PERCENT) / 100)
        };
        match forecast.promise(claim, now, latest) {
            Some(_) => Decision::Wait(patience),
            None => Decision::Far(Reason::Full),
        }
    }
}

const fn with_tail(micros: u64) -> u64 {
    micros.saturating_mul(TAIL_PERCENT) / 100
}

const fn minus(time: Time, micros: u64) -> Time {
    Time::from_micros(time.as_micros().saturating_sub(micros))
}
