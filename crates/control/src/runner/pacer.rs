//! Pace of the tasks that use idle processors, by the latency of those beside them.

use smallvec::SmallVec;

/// Part of the room that one step up may use: what was learned holds near the present paces, and
/// less so far from them.
const RAISE_FRACTION: f64 = 0.5;

/// Full pace, in percent.
const FULL_PERCENT: f64 = 100.0;

/// Pace below which a task is paused, in percent.
const PACE_MIN_PERCENT: f64 = 8.0;

/// Change of a pace that is worth a call, in percent.
const CHANGE_MIN_PERCENT: f64 = 6.0;

/// Effect that counts as none.
const NEGLIGIBLE_EFFECT: f64 = 0.002;

/// One number for each sensitive task.
pub(super) type PerSensitiveTask = SmallVec<[f64; 8]>;

/// Pace of one attempt.
#[derive(Debug)]
pub(super) struct PacedAttempt<'a, K> {
    pub(super) key: K,
    /// What the attempt adds at full pace to the factor of each sensitive task.
    pub(super) effects: PerSensitiveTask,
    /// The same, so that the real effects hardly exceed it.
    pub(super) effects_max: PerSensitiveTask,
    pub(super) percent: &'a mut u8,
}

/// Sets the paces so that the factor of no sensitive task exceeds its room, and returns those that
/// have changed.
///
/// Those that need least of the rooms get it first. Attempts that get less than they have are
/// slowed down at once, the others speed up by parts. It answers neighbours that are harmless, or
/// ruinous, depending on the pair and on the load of the moment.
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
        // A smaller step up from a pause would count as none, and the pause could never end.
        let raise_min = (PACE_MIN_PERCENT / FULL_PERCENT).min(raise_max);
        let raise = (RAISE_FRACTION * raise_max)
            .max(raise_min)
            .min(target - *share);
        consume(&mut remaining, &attempt.effects_max, raise);
        *share += raise;
    }
    apply_shares(attempts, &shares)
}

/// Pauses all attempts, and returns those that were not paused.
pub(super) fn pause_all<K: Copy>(attempts: &mut [PacedAttempt<'_, K>]) -> Vec<(K, u8)> {
    apply_shares(attempts, &vec![0.0; attempts.len()])
}

/// Returns the share of the full pace that each attempt can have, in order.
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

/// Returns the part of what is left that an attempt needs at full pace.
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

/// Sets the paces where the change is worth a call, and returns those that have changed.
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
