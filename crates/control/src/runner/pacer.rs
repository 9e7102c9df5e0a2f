//! Allocates paces to the attempts that use idle processors, by the latency headroom of the
//! sensitive tasks on the same worker.

use smallvec::SmallVec;

/// Fraction of the remaining headroom that one increase may use. The learned effects are accurate
/// near the current paces and less so far from them.
const RAISE_FRACTION: f64 = 0.5;

/// Full pace, in percent.
const FULL_PERCENT: f64 = 100.0;

/// Pace below which a task is paused, in percent.
const PACE_MIN_PERCENT: f64 = 8.0;

/// Smallest change of a pace that justifies a call to the worker, in percent.
const CHANGE_MIN_PERCENT: f64 = 6.0;

/// Effect below which an attempt counts as harmless.
const NEGLIGIBLE_EFFECT: f64 = 0.002;

/// One value for each sensitive task on the worker.
pub(super) type PerSensitiveTask = SmallVec<[f64; 8]>;

/// An attempt whose pace is set.
#[derive(Debug)]
pub(super) struct PacedAttempt<'a, K> {
    pub(super) key: K,
    /// What the attempt adds at full pace to the slowdown of each sensitive task.
    pub(super) effects: PerSensitiveTask,
    /// The same, one standard deviation higher.
    pub(super) effects_max: PerSensitiveTask,
    pub(super) percent: &'a mut u8,
}

/// Sets the paces so that the headroom of no sensitive task is exceeded, and returns those that
/// have changed.
///
/// Headroom is allocated anew each time, to the attempts with the smallest demand first. Attempts
/// above their allocation are slowed down at once, the others speed up gradually. The allocation
/// follows the current load, as the same neighbour may be harmless or harmful depending on the pair
/// of images and on the load.
pub(super) fn assign_paces<K: Copy + Ord>(
    attempts: &mut [PacedAttempt<'_, K>],
    headrooms: &[f64],
) -> Vec<(K, u8)> {
    let headrooms: PerSensitiveTask = headrooms.iter().copied().collect();
    sort_by_demand(attempts, |attempt| demand(&attempt.effects, &headrooms));
    let targets = allocate(attempts, headrooms.clone());
    let mut remaining = headrooms;
    let mut shares: Vec<f64> = Vec::with_capacity(attempts.len());
    for (attempt, target) in attempts.iter().zip(&targets) {
        let share = target.min(f64::from(*attempt.percent) / FULL_PERCENT);
        consume(&mut remaining, &attempt.effects, share);
        shares.push(share);
    }
    for ((attempt, target), share) in attempts.iter().zip(targets).zip(&mut shares) {
        let raise_max = 1.0 / demand(&attempt.effects_max, &remaining);
        // A pace below the minimum counts as a pause, so that a smaller increase could never end
        // one.
        let raise_min = (PACE_MIN_PERCENT / FULL_PERCENT).min(raise_max);
        let raise = (RAISE_FRACTION * raise_max)
            .max(raise_min)
            .min(target - *share);
        consume(&mut remaining, &attempt.effects_max, raise);
        *share += raise;
    }
    apply_shares(attempts, &shares)
}

/// Pauses all attempts, and returns those that were not already paused.
pub(super) fn pause_all<K: Copy>(attempts: &mut [PacedAttempt<'_, K>]) -> Vec<(K, u8)> {
    apply_shares(attempts, &vec![0.0; attempts.len()])
}

/// Returns the share of the full pace that the headroom allows each attempt, in the given order.
fn allocate<K>(attempts: &[PacedAttempt<'_, K>], mut remaining: PerSensitiveTask) -> Vec<f64> {
    let share = |attempt: &PacedAttempt<'_, K>| {
        let share = (1.0 / demand(&attempt.effects, &remaining)).min(1.0);
        consume(&mut remaining, &attempt.effects, share);
        share
    };
    attempts.iter().map(share).collect()
}

fn sort_by_demand<K: Ord>(
    attempts: &mut [PacedAttempt<'_, K>],
    demand: impl Fn(&PacedAttempt<'_, K>) -> f64,
) {
    attempts.sort_by(|one, other| {
        let order = demand(one).total_cmp(&demand(other));
        order.then(one.key.cmp(&other.key))
    });
}

/// Returns the largest ratio of an attempt's effect at full pace to the remaining headroom of a
/// sensitive task.
fn demand(effects: &PerSensitiveTask, remaining: &PerSensitiveTask) -> f64 {
    let demands = effects.iter().zip(remaining).map(|(effect, remaining)| {
        if *effect < NEGLIGIBLE_EFFECT {
            0.0
        } else if *remaining <= 0.0 {
            f64::INFINITY
        } else {
            effect / remaining
        }
    });
    demands.fold(0.0, f64::max)
}

fn consume(remaining: &mut PerSensitiveTask, effects: &PerSensitiveTask, share: f64) {
    for (remaining, effect) in remaining.iter_mut().zip(effects) {
        *remaining -= effect * share;
    }
}

/// Sets the paces that change enough to justify a call, and returns them.
fn apply_shares<K: Copy>(attempts: &mut [PacedAttempt<'_, K>], shares: &[f64]) -> Vec<(K, u8)> {
    let mut changed = Vec::new();
    for (attempt, share) in attempts.iter_mut().zip(shares) {
        let before = f64::from(*attempt.percent);
        let percent = match share * FULL_PERCENT {
            percent if percent > FULL_PERCENT - CHANGE_MIN_PERCENT => FULL_PERCENT,
            percent if percent < PACE_MIN_PERCENT => 0.0,
            percent if (percent - before).abs() < CHANGE_MIN_PERCENT => before,
            percent => percent,
        };
        let percent = percent.round() as u8;
        if percent != *attempt.percent {
            *attempt.percent = percent;
            changed.push((attempt.key, percent));
        }
    }
    changed
}
