//! What a new owner knows of the former one.

use toucanquay_model::Time;

use super::sightings::Sightings;

/// What a new owner knows of the former one.
#[derive(Debug, Clone)]
pub(super) struct Predecessor {
    /// Time since which no earlier owner has acted.
    pub(super) acted_until: Time,
    /// When this entry saw the writes of the former owner.
    pub(super) sightings: Sightings,
}
