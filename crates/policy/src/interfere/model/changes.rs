//! Choice of the task whose share changes or that is evicted.

use toucanquay_model::Time;

use super::effects::effect;
use crate::interfere::{
    Advice, Settings, profile::Profile, task_history::TaskHistory, token_bucket::TokenBucket,
    worker_state::WorkerState,
};

/// Lowers the share of the task with the largest effect until the predicted slowdown is low enough
/// or the minimum share is reached.
pub(super) fn throttle(
    profile: &Profile,
    state: &mut WorkerState,
    load_class: usize,
    slowdown: f64,
    settings: &Settings,
    now: Time,
    horizon: Time,
) -> Option<Advice> {
    let (task, history) = state
        .running_tasks
        .iter_mut()
        .filter(|(_, history)| history.share_percent() > settings.share_min_percent)
        .filter(|(_, history)| !history.is_evicting)
        .max_by(|a, b| {
            let gain = |history: &TaskHistory| {
                effect(profile, history, load_class) * f64::from(history.share_percent())
            };
            gain(a.1).total_cmp(&gain(b.1)).then_with(|| b.0.cmp(a.0))
        })?;
    let effect = effect(profile, history, load_class);
    if effect <= 0.0 {
        return None;
    }
    let excess = slowdown - f64::midpoint(settings.throttle_above, settings.release_below);
    let wanted = f64::from(history.share_percent()) - 100.0 * excess / effect;
    let step = f64::from(settings.share_step_percent);
    let share = (wanted / step).floor() * step;
    let share = share.max(f64::from(settings.share_min_percent)) as u8;
    let is_repeated = history.hold_until != Time::ZERO;
    if is_repeated {
        history.hold_micros = (history.hold_micros * 2).min(settings.hold_max_micros);
    }
    history.hold_until = now.plus_micros(history.hold_micros);
    history.set_share(share, now, horizon);
    let task = task.clone();
    state.last_change = now;
    Some(Advice::Throttle {
        task,
        share_percent: share,
    })
}

/// Raises the share of the throttled task with the smallest effect by one step, if the predicted
/// slowdown stays low enough.
pub(super) fn release(
    profile: &Profile,
    state: &mut WorkerState,
    load_class: usize,
    slowdown: f64,
    settings: &Settings,
    now: Time,
    horizon: Time,
) -> Option<Advice> {
    let (task, history) = state
        .running_tasks
        .iter_mut()
        .filter(|(_, history)| history.share_percent() < 100 && history.hold_until <= now)
        .min_by(|a, b| {
            let effect = |history: &TaskHistory| effect(profile, history, load_class);
            effect(a.1)
                .total_cmp(&effect(b.1))
                .then_with(|| a.0.cmp(b.0))
        })?;
    let share = (history.share_percent() + settings.share_step_percent).min(100);
    let raise = f64::from(share - history.share_percent()) / 100.0;
    // The bound is the placement limit, whose margin below the throttling limit keeps a raise from
    // being reverted.
    if slowdown + effect(profile, history, load_class) * raise > settings.place_below {
        return None;
    }
    history.hold_until = now.plus_micros(settings.hold_micros);
    history.set_share(share, now, horizon);
    let task = task.clone();
    state.last_change = now;
    Some(Advice::Throttle {
        task,
        share_percent: share,
    })
}

/// Evicts the task with the largest effect, if the model has learned from a window that started
/// after the last change and the eviction budget allows it.
pub(super) fn evict(
    profile: &Profile,
    state: &mut WorkerState,
    load_class: usize,
    evictions: &mut TokenBucket,
    now: Time,
) -> Option<Advice> {
    if state.last_window_start <= state.last_change {
        return None;
    }
    let (task, history) = state
        .running_tasks
        .iter_mut()
        .filter(|(_, history)| !history.is_evicting)
        .max_by(|a, b| {
            let effect = |history: &TaskHistory| effect(profile, history, load_class);
            effect(a.1)
                .total_cmp(&effect(b.1))
                .then_with(|| b.0.cmp(a.0))
        })?;
    if !evictions.take(now) {
        return None;
    }
    history.is_evicting = true;
    let task = task.clone();
    state.last_change = now;
    Some(Advice::Evict { task })
}
