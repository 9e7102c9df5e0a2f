//! Predicted effects of running tasks.

use toucanquay_model::Time;

use crate::interfere::{
    Settings, profile::Profile, task_history::TaskHistory, worker_state::WorkerState,
};

/// Returns a lower bound on the slowdown by one task at its full share.
pub(super) fn effect(profile: &Profile, history: &TaskHistory, load_class: usize) -> f64 {
    let kind_effect = profile.kind_effect(history.kind);
    (kind_effect.lower_bound() + history.task_effect.mean).max(0.0)
        * profile.load_multiplier(load_class)
}

/// Returns the predicted slowdown of a service by the running tasks of a worker.
pub(super) fn predicted_slowdown(profile: &Profile, state: &WorkerState, load_class: usize) -> f64 {
    state
        .running_tasks
        .values()
        .filter(|history| !history.is_evicting)
        .map(|history| {
            effect(profile, history, load_class) * f64::from(history.share_percent()) / 100.0
        })
        .sum()
}

/// Returns the service on a worker with the largest predicted slowdown, and its load class.
pub(super) fn worst_service(
    services: &[Profile],
    state: &WorkerState,
    settings: &Settings,
    now: Time,
) -> Option<(usize, usize)> {
    state
        .services
        .iter()
        .map(|load| (load.service, load.load_class(settings, now)))
        .max_by(|a, b| {
            let slowdown = |(service, load_class): &(usize, usize)| {
                predicted_slowdown(&services[*service], state, *load_class)
            };
            slowdown(a).total_cmp(&slowdown(b))
        })
}
