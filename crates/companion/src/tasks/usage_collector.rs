//! Collects usage measurements for the reports to the cell owner.

use toucanquay_model::{
    Time,
    exchange::{Report, ServiceUsage},
};

use super::{percentile::percentile, usage_sample::UsageSample};
use crate::admission::AdmissionController;

/// Length of the windows over which service latencies are aggregated, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Collects usage measurements until the next report.
#[derive(Debug)]
pub struct UsageCollector {
    service: String,
    window_started_at: Time,
    windows: Vec<(Time, ServiceUsage)>,
    sample: Option<(Time, UsageSample)>,
    measured_at: Time,
}

impl UsageCollector {
    /// Creates an empty collector for `service` whose first window starts at `now`.
    pub const fn new(service: String, now: Time) -> Self {
        Self {
            service,
            window_started_at: now,
            windows: Vec::new(),
            sample: None,
            measured_at: Time::ZERO,
        }
    }

    /// Adds a measurement of the tasks, unless it is not newer than the previous one.
    pub fn add_sample(&mut self, called_at: Time, sample: UsageSample) {
        if let Some(measured_at) = sample.measured_at(called_at)
            && measured_at > self.measured_at
        {
            self.measured_at = measured_at;
            self.sample = Some((measured_at, sample));
        }
    }

    /// Closes the service's window if its length has passed, and returns whether it did.
    pub fn close_window(&mut self, admission: &AdmissionController, now: Time) -> bool {
        let window_micros = now.micros_since(self.window_started_at);
        if window_micros < WINDOW_MS * 1_000 {
            return false;
        }
        self.window_started_at = now;
        let (mut latencies, in_flight_max) = admission.take_latencies();
        latencies.sort_unstable();
        let window = ServiceUsage {
            service: self.service.clone(),
            age_micros: 0,
            window_micros,
            requests: u32::try_from(latencies.len()).unwrap_or(u32::MAX),
            p50_micros: percentile(&latencies, 50),
            p99_micros: percentile(&latencies, 99),
            in_flight_max,
        };
        self.windows.push((now, window));
        // Windows accumulate while there is no owner; old ones are of no use to the next owner.
        if self.windows.len() > 10 {
            self.windows.remove(0);
        }
        true
    }

    /// Moves the collected measurements into a report that is sent at `now`.
    pub fn drain_into(&mut self, report: &mut Report, now: Time) {
        let windows = self.windows.drain(..).map(|(ended_at, mut window)| {
            window.age_micros = now.micros_since(ended_at);
            window
        });
        report.service_usage = windows.collect();
        if let Some((measured_at, sample)) = self.sample.take() {
            report.task_usage = sample.into_usage(now.micros_since(measured_at));
        }
    }
}
