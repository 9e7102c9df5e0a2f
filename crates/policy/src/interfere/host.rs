//! A worker, as the interference model sees it.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use toucanquay_model::{Time, task};

use super::{demand::Demand, track::Track};

/// Tasks and services of one worker.
#[derive(Debug, Default)]
pub(super) struct Host {
    /// Ordered, so that sums and ties do not depend on the seed of a hash and runs can be repeated.
    pub tracks: BTreeMap<task::Id, Track>,
    /// Tasks that ended recently; late reports may describe the time in which they ran.
    pub past: Vec<Track>,
    /// Services that run here.
    pub services: SmallVec<[Demand; 2]>,
    /// When a share last changed.
    pub changed: Time,
    /// End of the last window that was learned from.
    pub learned: Time,
}

impl Host {
    /// Returns all tracks that may overlap a window of the past.
    pub fn tracks_mut(&mut self) -> impl Iterator<Item = &mut Track> {
        self.tracks.values_mut().chain(self.past.iter_mut())
    }

    pub fn tracks(&self) -> impl Iterator<Item = &Track> {
        self.tracks.values().chain(self.past.iter())
    }

    /// Remembers that a service runs here and, if its load is high in two windows that follow each
    /// other, when. A single high window is chance in calm.
    pub fn notice(&mut self, service: usize, is_high: bool, at: Time) {
        let known = self
            .services
            .iter()
            .position(|known| known.service == service);
        let index = known.unwrap_or_else(|| {
            self.services.push(Demand::new(service));
            self.services.len() - 1
        });
        self.services[index].notice(is_high, at);
    }
}
