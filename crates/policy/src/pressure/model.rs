//! The learned effects.

use std::collections::{BTreeMap, HashMap};

use foldhash::fast::RandomState;

use super::Neighbour;

/// Effect of a whole worker's processors that is assumed of an unknown image, as a logarithm of
/// the factor on latency.
const EFFECT_UNKNOWN: f64 = 4.0;

/// Largest effect that is believed.
const EFFECT_MAX: f64 = 40.0;

/// Part of an error by which the latency of a task alone is corrected.
const ALONE_RATE: f64 = 0.1;

/// Part of an error by which the effect of an image is corrected.
const IMAGE_RATE: f64 = 0.25;

/// Part of an error by which the effect of a pair of images is corrected.
const PAIR_RATE: f64 = 0.25;

/// Keeps small shares from causing large corrections.
const SHARE_FLOOR: f64 = 0.01;

/// Largest error that one observation counts for.
const ERROR_MAX: f64 = 1.0;

/// Learned effects of images on each other.
///
/// The logarithm of a task's latency, as a share of its target, is modelled as its own part plus
/// the sum of the effects of its neighbours, each in proportion to the processors that it uses.
#[derive(Debug, Default)]
pub struct Model {
    keys: HashMap<String, usize, RandomState>,
    images: Vec<f64>,
    pairs: BTreeMap<(usize, usize), f64>,
}

impl Model {
    /// Returns the key of an image.
    pub fn key(&mut self, image: &str) -> usize {
        if let Some(key) = self.keys.get(image) {
            return *key;
        }
        let key = self.images.len();
        self.images.push(EFFECT_UNKNOWN);
        self.keys.insert(image.to_owned(), key);
        key
    }

    /// Returns the key of an image; one that was never seen has a key without an effect of its own.
    #[must_use]
    pub fn known_key(&self, image: &str) -> usize {
        self.keys.get(image).copied().unwrap_or(usize::MAX)
    }

    /// Returns the effect of an image on another at the whole of a worker's processors.
    #[must_use]
    pub fn effect(&self, sensitive: usize, image: usize) -> f64 {
        let mean = self.images.get(image).copied().unwrap_or(EFFECT_UNKNOWN);
        let pair = self.pairs.get(&(sensitive, image)).copied().unwrap_or(0.0);
        (mean + pair).clamp(0.0, EFFECT_MAX)
    }

    /// Returns the sum of the effects of neighbours.
    #[must_use]
    pub fn sum(&self, sensitive: usize, neighbours: &[Neighbour]) -> f64 {
        let effect =
            |neighbour: &Neighbour| self.effect(sensitive, neighbour.image) * neighbour.share;
        neighbours.iter().map(effect).sum()
    }

    /// Learns from a latency as a share of its target. `alone` is the logarithm of that share
    /// without neighbours, which the caller keeps for each task.
    pub fn observe(
        &mut self,
        sensitive: usize,
        latency_share: f64,
        alone: &mut f64,
        neighbours: &[Neighbour],
    ) {
        let observed = latency_share.max(0.01).ln();
        let error = observed - *alone - self.sum(sensitive, neighbours);
        let error = error.clamp(-ERROR_MAX, ERROR_MAX);
        *alone += ALONE_RATE * error;
        let power: f64 = neighbours
            .iter()
            .map(|neighbour| neighbour.share.powi(2))
            .sum();
        for neighbour in neighbours {
            let gain = error * neighbour.share / (SHARE_FLOOR + power);
            if let Some(mean) = self.images.get_mut(neighbour.image) {
                *mean = (*mean + IMAGE_RATE * gain).clamp(0.0, EFFECT_MAX);
            }
            let pair = self.pairs.entry((sensitive, neighbour.image)).or_default();
            *pair = (*pair + PAIR_RATE * gain).clamp(-EFFECT_MAX, EFFECT_MAX);
        }
    }
}
