//! Learned effects of images on each other.

use std::collections::{BTreeMap, HashMap};

use foldhash::fast::RandomState;

use super::{Estimate, LatencyCurve, Neighbour};

/// Effect that is assumed for an unknown image: what it adds to its neighbour's slowdown when it
/// uses all processors of a worker.
const PRIOR_EFFECT: f64 = 2.0;

/// Standard deviation of the effect of an image on another one that it was never observed with; its
/// square is the largest variance of an effect.
const EFFECT_DEVIATION: f64 = 2.0;

/// Largest effect that an estimate may take.
const EFFECT_MAX: f64 = 20.0;

/// Variance that an effect gains from one observation to the next.
const EFFECT_PROCESS_NOISE: f64 = 0.05;

/// Load that is assumed for a new task, and the standard deviation of its error.
const PRIOR_LOAD: f64 = 0.5;
const LOAD_DEVIATION: f64 = 0.2;

/// Variance that a task's load gains from one observation to the next.
const LOAD_PROCESS_NOISE: f64 = 0.002;

/// Largest load that an estimate may take.
const LOAD_MAX: f64 = 0.95;

/// Largest variance of a task's load.
const LOAD_VARIANCE_MAX: f64 = 0.06;

/// Standard deviation of the measurement error: a constant part, and a part proportional to the
/// observed quantity, which is the latency floor divided by the latency.
const MEASUREMENT_NOISE: f64 = 0.03;
const MEASUREMENT_NOISE_RATIO: f64 = 0.06;

/// Learned effects of images on each other.
///
/// Each neighbour adds its effect, in proportion to the processors that it uses, to the slowdown of
/// a sensitive task. [`LatencyCurve`] relates the slowdown to latency.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    keys: HashMap<String, usize, RandomState>,
    /// Lowest latency that was observed of each image, in milliseconds.
    latency_floors: BTreeMap<usize, u32>,
    /// Effects by neighbouring image, and for each one by sensitive image.
    effects: HashMap<usize, BTreeMap<usize, Estimate>, RandomState>,
}

impl InterferenceModel {
    /// Returns the prior of a task's load, its utilization without neighbours.
    #[must_use]
    pub const fn prior_load() -> Estimate {
        Estimate::new(PRIOR_LOAD, LOAD_DEVIATION)
    }

    /// Returns the key of an image, and assigns one to a new image.
    pub fn intern_image(&mut self, image: &str) -> usize {
        if let Some(key) = self.keys.get(image) {
            return *key;
        }
        let key = self.keys.len();
        self.keys.insert(image.to_owned(), key);
        key
    }

    /// Returns the key of an image without assigning one. All unknown images share a key for which
    /// nothing is learned.
    #[must_use]
    pub fn image_key(&self, image: &str) -> usize {
        self.keys.get(image).copied().unwrap_or(usize::MAX)
    }

    /// Lowers the latency floor of an image to an observed latency in milliseconds, if that is
    /// less. Zero means that none was observed.
    pub fn record_latency(&mut self, sensitive: usize, latency_ms: u32) {
        if latency_ms > 0 {
            let floor = self.latency_floors.entry(sensitive).or_insert(latency_ms);
            *floor = latency_ms.min(*floor);
        }
    }

    /// Returns the lowest latency observed of an image, in milliseconds; it approximates the
    /// latency at zero load.
    #[must_use]
    pub fn floor_ms(&self, sensitive: usize) -> Option<u32> {
        self.latency_floors.get(&sensitive).copied()
    }

    /// Returns the effect of an image on a sensitive one when it uses all processors of a worker.
    #[must_use]
    pub fn effect(&self, sensitive: usize, image: usize) -> f64 {
        self.estimate(sensitive, image).value
    }

    /// Returns the estimate of an effect, or its prior if the pair was never observed.
    #[must_use]
    pub fn estimate(&self, sensitive: usize, image: usize) -> Estimate {
        let Some(effects) = self.effects.get(&image) else {
            return Self::prior(None);
        };
        let known = effects.get(&sensitive).copied();
        known.unwrap_or_else(|| Self::prior(Some(effects)))
    }

    /// Replaces an estimate by one that was learned elsewhere, if that one is more certain.
    pub fn merge_estimate(&mut self, sensitive: usize, image: usize, estimate: Estimate) {
        let present = self.estimate(sensitive, image);
        if estimate.deviation() < present.deviation() {
            let effects = self.effects.entry(image).or_default();
            effects.insert(sensitive, estimate);
        }
    }

    /// Returns the prior effect of an image on one that it was never observed with: the mean of its
    /// effects on other images, if any are known, and of the effect of an unknown image.
    fn prior(effects: Option<&BTreeMap<usize, Estimate>>) -> Estimate {
        let (mut sum, mut weight) = (PRIOR_EFFECT, 1.0);
        for effect in effects.into_iter().flat_map(BTreeMap::values) {
            sum += effect.value;
            weight += 1.0;
        }
        Estimate::new(sum / weight, EFFECT_DEVIATION)
    }

    /// Returns the factor by which neighbours slow down a task of a sensitive image.
    #[must_use]
    pub fn slowdown(&self, sensitive: usize, neighbours: &[Neighbour]) -> f64 {
        let effect = |neighbour: &Neighbour| {
            self.effect(sensitive, neighbour.image) * neighbour.processor_share
        };
        1.0 + neighbours.iter().map(effect).sum::<f64>()
    }

    /// Returns how much neighbours may add to the slowdown before a latency is reached; negative if
    /// it is exceeded without neighbours.
    #[must_use]
    pub fn headroom(&self, sensitive: usize, load: f64, latency_ms: f64) -> f64 {
        let floor_ms = self.floor_ms(sensitive).map_or(0.0, f64::from);
        LatencyCurve { floor_ms }.slowdown_max(load, latency_ms) - 1.0
    }

    /// Updates the estimates from a task's current latency in milliseconds. `load` is the estimate
    /// of the task's utilization without neighbours, which the caller keeps for each task.
    pub fn observe(
        &mut self,
        sensitive: usize,
        latency_ms: f64,
        load: &mut Estimate,
        neighbours: &[Neighbour],
    ) {
        let Some(floor_ms) = self.floor_ms(sensitive) else {
            return;
        };
        let mut shares: BTreeMap<usize, f64> = BTreeMap::new();
        for neighbour in neighbours
            .iter()
            .filter(|other| other.processor_share > 0.0)
        {
            *shares.entry(neighbour.image).or_default() += neighbour.processor_share;
        }
        // The inverse of the latency is linear in the load: floor / latency = 1 / slowdown - load.
        let slowdown = self.slowdown(sensitive, neighbours);
        let observed = (f64::from(floor_ms) / latency_ms.max(1.0)).min(1.0);
        let expected = (1.0 / slowdown - load.value).max(0.0);
        let innovation = observed - expected;
        let slope = -1.0 / (slowdown * slowdown);

        load.add_process_noise(LOAD_PROCESS_NOISE, LOAD_VARIANCE_MAX);
        let noise = MEASUREMENT_NOISE.hypot(MEASUREMENT_NOISE_RATIO * observed);
        let mut innovation_variance = noise * noise + load.variance_contribution(1.0);
        for (image, share) in &shares {
            let pair = self.estimate_mut(sensitive, *image);
            pair.add_process_noise(EFFECT_PROCESS_NOISE, EFFECT_DEVIATION.powi(2));
            innovation_variance += pair.variance_contribution(slope * share);
        }
        load.correct(-1.0, innovation, innovation_variance);
        load.value = load.value.clamp(0.0, LOAD_MAX);
        for (image, share) in shares {
            let pair = self.estimate_mut(sensitive, image);
            pair.correct(slope * share, innovation, innovation_variance);
            pair.value = pair.value.clamp(0.0, EFFECT_MAX);
        }
    }

    fn estimate_mut(&mut self, sensitive: usize, image: usize) -> &mut Estimate {
        let effects = self.effects.entry(image).or_default();
        if !effects.contains_key(&sensitive) {
            let prior = Self::prior(Some(effects));
            effects.insert(sensitive, prior);
        }
        effects
            .get_mut(&sensitive)
            .expect("the estimate was inserted above if it was missing")
    }
}
