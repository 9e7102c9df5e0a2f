//! Learning from the windows of services.

use smallvec::SmallVec;
use toucanquay_model::{Time, exchange::ServiceUsage};

use crate::interfere::{
    profile::{HIGH_LOAD, Profile},
    worker_state::WorkerState,
};

/// Residual variance of a window's log latency that no task explains.
const WINDOW_VARIANCE: f64 = 0.05;

/// Additional variance of a window with a single request. It is inversely proportional to the
/// number of requests.
const SINGLE_REQUEST_VARIANCE: f64 = 2.0;

/// Variance that each window adds to a coefficient, so that the estimate can follow changes.
const PROCESS_NOISE: f64 = 1e-5;

/// Updates all coefficients that contributed to a window, each in proportion to its share of the
/// variance.
pub(super) fn learn(
    profile: &mut Profile,
    state: &mut WorkerState,
    mean_usage_milli: &[f64],
    usage: &ServiceUsage,
    load_class: usize,
    (from, to): (Time, Time),
) {
    let log_latency = f64::midpoint(
        f64::from(usage.p50_micros.max(1)).ln(),
        f64::from(usage.p99_micros.max(1)).ln(),
    );
    let noise_variance = WINDOW_VARIANCE + SINGLE_REQUEST_VARIANCE / f64::from(usage.requests);
    let multiplier = profile.load_multiplier(load_class);
    let base_latency = *profile.base_latency(usage);
    let mut innovation_variance = noise_variance + base_latency.variance_contribution(1.0);
    let mut slowdown = 0.0;
    let mut kinds: SmallVec<[(usize, f64); 16]> = SmallVec::new();
    for history in state.histories() {
        let activity = history.activity(from, to, mean_usage_milli[history.kind]);
        if activity > 0.0 {
            slowdown += history.task_effect.mean * activity;
            innovation_variance += history
                .task_effect
                .variance_contribution(multiplier * activity);
            match kinds.iter_mut().find(|(kind, _)| *kind == history.kind) {
                Some((_, sum)) => *sum += activity,
                None => kinds.push((history.kind, activity)),
            }
        }
    }
    for (kind, activity) in &kinds {
        let kind_effect = profile.kind_effect(*kind);
        slowdown += kind_effect.mean * activity;
        innovation_variance += kind_effect.variance_contribution(multiplier * activity);
    }
    let innovation = log_latency - base_latency.mean - multiplier * slowdown;
    profile
        .base_latency(usage)
        .update(1.0, innovation, innovation_variance, PROCESS_NOISE);
    for (kind, activity) in &kinds {
        let kind_effect = profile.kind_effect_mut(*kind);
        kind_effect.update(
            multiplier * activity,
            innovation,
            innovation_variance,
            PROCESS_NOISE,
        );
        // Batch tasks never speed up a service. Without this bound, kinds that alternate would be
        // attributed each other's effects with opposite signs.
        kind_effect.mean = kind_effect.mean.max(0.0);
    }
    for history in state.histories_mut() {
        let activity = history.activity(from, to, mean_usage_milli[history.kind]);
        if activity > 0.0 {
            history.task_effect.update(
                multiplier * activity,
                innovation,
                innovation_variance,
                PROCESS_NOISE,
            );
        }
    }
    if load_class == HIGH_LOAD {
        profile.high_load_multiplier_mut().update(
            slowdown,
            innovation,
            innovation_variance,
            PROCESS_NOISE,
        );
    }
}
