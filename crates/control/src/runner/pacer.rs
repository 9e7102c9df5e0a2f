//! Pace of the tasks that use idle processors, by the latency of those beside them.

use toucanquay_model::Time;

/// Latency that is aimed at, as a share of its target in percent.
const AIM_PERCENT: f64 = 86.0;

/// The target itself, in percent.
const TARGET_PERCENT: u32 = 100;

/// Latency above this share of its target slows neighbours down, in percent.
const SLOW_ABOVE_PERCENT: u32 = 94;

/// Latency below this share of its target lets neighbours speed up, in percent.
const RAISE_BELOW_PERCENT: u32 = 82;

/// Part of the room below the aim that one step up may use.
const RAISE_PART: f64 = 0.6;

/// Effect of a neighbour that is assumed at least, in hundredths of the logarithm of latency.
const PRESSURE_MIN: f64 = 4.0;

/// Effect below which a neighbour is slowed down only when the target is missed, in hundredths.
const PRESSURE_LIGHT: u16 = 8;

/// Pace below which a task is paused, in percent.
const PACE_MIN_PERCENT: f64 = 8.0;

/// Least time between two steps: reports cover the last half second.
const STEP_MICROS: u64 = 550_000;

/// Pace of one attempt.
#[derive(Debug)]
pub(super) struct Pace<'a, K> {
    pub(super) key: K,
    pub(super) pressure_percent: u16,
    pub(super) before: u8,
    pub(super) percent: &'a mut u8,
}

/// Keeps the highest latency below its target, at the cost of those that cause most of it.
///
/// The effect of each attempt is known roughly, so one step cuts as much as the excess needs,
/// beginning with the largest effect, and gives back part of the room, beginning with the
/// smallest. It answers interference that changes within seconds.
#[derive(Debug)]
pub(super) struct Pacer {
    step_at: Time,
}

impl Pacer {
    pub(super) const fn new() -> Self {
        Self {
            step_at: Time::ZERO,
        }
    }

    /// Returns the pace at which an attempt begins beside a latency, as a share of its target in
    /// percent. The first report that shows its effect comes later.
    pub(super) fn first(worst: Option<u32>, pressure_percent: u16) -> u8 {
        let Some(worst) = worst else {
            return 100;
        };
        let room = (AIM_PERCENT / f64::from(worst.max(1))).ln() * 100.0;
        let share = room * RAISE_PART / f64::from(pressure_percent).max(PRESSURE_MIN);
        (share.clamp(0.0, 1.0) * 100.0) as u8
    }

    /// Takes the highest latency as a share of its target, in percent. Sets the paces and returns
    /// those that have changed.
    pub(super) fn observe<K: Copy + Ord>(
        &mut self,
        worst: Option<u32>,
        paces: &mut [Pace<'_, K>],
        now: Time,
    ) -> Vec<(K, u8)> {
        match worst {
            None => paces.iter_mut().for_each(|pace| *pace.percent = 100),
            Some(_) if now < self.step_at => {}
            Some(worst) if worst > SLOW_ABOVE_PERCENT => {
                let lightest = if worst > TARGET_PERCENT {
                    0
                } else {
                    PRESSURE_LIGHT
                };
                slow(
                    paces,
                    (f64::from(worst) / AIM_PERCENT).ln() * 100.0,
                    lightest,
                );
            }
            Some(worst) if worst < RAISE_BELOW_PERCENT => {
                let room = (AIM_PERCENT / f64::from(worst.max(1))).ln() * 100.0;
                raise(paces, room * RAISE_PART);
            }
            Some(_) => {}
        }
        let changed = paces.iter().filter(|pace| *pace.percent != pace.before);
        let changed: Vec<(K, u8)> = changed.map(|pace| (pace.key, *pace.percent)).collect();
        if !changed.is_empty() {
            self.step_at = now.plus_micros(STEP_MICROS);
        }
        changed
    }
}

/// Takes an effect back, in hundredths of the logarithm of latency.
fn slow<K: Copy + Ord>(paces: &mut [Pace<'_, K>], mut excess: f64, lightest: u16) {
    paces.sort_by_key(|pace| (std::cmp::Reverse(pace.pressure_percent), pace.key));
    for pace in paces {
        if excess <= 0.0 || pace.pressure_percent < lightest {
            break;
        }
        let pressure = pressure(pace);
        let present = f64::from(*pace.percent) / 100.0;
        let cut = (excess / pressure).min(present);
        excess -= cut * pressure;
        set(pace, present - cut);
    }
}

/// Gives an effect back.
fn raise<K: Copy + Ord>(paces: &mut [Pace<'_, K>], mut room: f64) {
    paces.sort_by_key(|pace| (pace.pressure_percent, pace.key));
    for pace in paces.iter_mut().filter(|pace| *pace.percent < 100) {
        let pressure = pressure(pace);
        let present = f64::from(*pace.percent) / 100.0;
        let gain = (room / pressure).min(1.0 - present);
        room -= gain * pressure;
        // A smaller pace than this counts as none, so a pause could never end.
        set(pace, (present + gain).max(PACE_MIN_PERCENT / 100.0));
        if room <= 0.0 {
            break;
        }
    }
}

fn pressure<K>(pace: &Pace<'_, K>) -> f64 {
    f64::from(pace.pressure_percent).max(PRESSURE_MIN)
}

fn set<K>(pace: &mut Pace<'_, K>, share: f64) {
    let percent = (share * 100.0).round();
    let percent = if percent < PACE_MIN_PERCENT {
        0.0
    } else {
        percent
    };
    *pace.percent = percent.min(100.0) as u8;
}
