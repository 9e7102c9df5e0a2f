//! Pace of the tasks that use idle processors, by the latency of those beside them.

use smallvec::SmallVec;

/// Part of the room that one step up may use: what was learned holds near the present paces, and
/// less so far from them.
const RAISE_PART: f64 = 0.5;

/// Full pace, in percent.
const FULL_PERCENT: f64 = 100.0;

/// Pace below which a task is paused, in percent.
const PACE_MIN_PERCENT: f64 = 8.0;

/// Change of a pace that is worth a call, in percent.
const CHANGE_MIN_PERCENT: f64 = 6.0;

/// Effect that counts as none.
const EFFECT_MIN: f64 = 0.002;

/// One number for each sensitive task.
pub(super) type Row = SmallVec<[f64; 8]>;

/// Pace of one attempt.
#[derive(Debug)]
pub(super) struct Pace<'a, K> {
    pub(super) key: K,
    /// What the attempt adds at full pace to the factor of each sensitive task.
    pub(super) effects: Row,
    /// The same, so that the real effects hardly exceed it.
    pub(super) effects_max: Row,
    pub(super) percent: &'a mut u8,
}

/// Sets the paces so that the factor of no sensitive task exceeds its room, and returns those that
/// have changed.
///
/// Those that need least of the rooms get it first. Attempts that get less than they have are
/// slowed down at once, the others speed up by parts. It answers neighbours that are harmless, or
/// ruinous, depending on the pair and on the load of the moment.
pub(super) fn pace<K: Copy + Ord>(paces: &mut [Pace<'_, K>], rooms: &[f64]) -> Vec<(K, u8)> {
    let rooms: Row = rooms.iter().copied().collect();
    sort(paces, |pace| need(&pace.effects, &rooms));
    let aims = shares(paces, rooms.clone());
    let mut left = rooms;
    let mut shares: Vec<f64> = Vec::with_capacity(paces.len());
    for (pace, aim) in paces.iter().zip(&aims) {
        let share = aim.min(f64::from(*pace.percent) / FULL_PERCENT);
        take(&mut left, &pace.effects, share);
        shares.push(share);
    }
    for ((pace, aim), share) in paces.iter().zip(aims).zip(&mut shares) {
        let most = 1.0 / need(&pace.effects_max, &left);
        // A smaller step up from a pause would count as none, and the pause could never end.
        let least = (PACE_MIN_PERCENT / FULL_PERCENT).min(most);
        let gain = (RAISE_PART * most).max(least).min(aim - *share);
        take(&mut left, &pace.effects_max, gain);
        *share += gain;
    }
    apply(paces, &shares)
}

/// Pauses all attempts, and returns those that were not paused.
pub(super) fn pause<K: Copy>(paces: &mut [Pace<'_, K>]) -> Vec<(K, u8)> {
    apply(paces, &vec![0.0; paces.len()])
}

/// Returns the share of the full pace that each attempt can have, in order.
fn shares<K>(paces: &[Pace<'_, K>], mut left: Row) -> Vec<f64> {
    let share = |pace: &Pace<'_, K>| {
        let share = (1.0 / need(&pace.effects, &left)).min(1.0);
        take(&mut left, &pace.effects, share);
        share
    };
    paces.iter().map(share).collect()
}

fn sort<K: Ord>(paces: &mut [Pace<'_, K>], need: impl Fn(&Pace<'_, K>) -> f64) {
    paces.sort_by(|one, other| {
        let order = need(one).total_cmp(&need(other));
        order.then(one.key.cmp(&other.key))
    });
}

/// Returns the part of what is left that an attempt needs at full pace.
fn need(effects: &Row, left: &Row) -> f64 {
    let needs = effects.iter().zip(left).map(|(effect, left)| {
        if *effect < EFFECT_MIN {
            0.0
        } else if *left <= 0.0 {
            f64::INFINITY
        } else {
            effect / left
        }
    });
    needs.fold(0.0, f64::max)
}

fn take(left: &mut Row, effects: &Row, share: f64) {
    for (left, effect) in left.iter_mut().zip(effects) {
        *left -= effect * share;
    }
}

/// Sets the paces where the change is worth a call, and returns those that have changed.
fn apply<K: Copy>(paces: &mut [Pace<'_, K>], shares: &[f64]) -> Vec<(K, u8)> {
    let mut changed = Vec::new();
    for (pace, share) in paces.iter_mut().zip(shares) {
        let before = f64::from(*pace.percent);
        let percent = match share * FULL_PERCENT {
            percent if percent > FULL_PERCENT - CHANGE_MIN_PERCENT => FULL_PERCENT,
            percent if percent < PACE_MIN_PERCENT => 0.0,
            percent if (percent - before).abs() < CHANGE_MIN_PERCENT => before,
            percent => percent,
        };
        let percent = percent.round() as u8;
        if percent != *pace.percent {
            *pace.percent = percent;
            changed.push((pace.key, percent));
        }
    }
    changed
}
