//! Compact form of a list of places.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

use super::Place;

/// Consecutive tasks of one step, written as a list of occurrence, step, first and last index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct PlaceRange(u32, u16, u32, u32);

/// Maximum number of places in a range, which bounds the memory that a damaged record can take.
const RANGE_PLACES_MAX: u32 = 100_000;

/// Element of a stored list. Older records name each task.
#[derive(Deserialize)]
#[serde(untagged)]
enum Element {
    Range(PlaceRange),
    Place(Place),
}

/// Writes places as ranges. A record with the places of a wide step would otherwise be many times
/// larger, and it is written again for each task that ends.
pub(super) fn serialize<S: Serializer>(places: &[Place], serializer: S) -> Result<S::Ok, S::Error> {
    let mut ranges: Vec<PlaceRange> = Vec::new();
    for place in places {
        match ranges.last_mut() {
            Some(last) if last.is_followed_by(*place) => last.3 = place.index,
            _ => ranges.push(PlaceRange::from(*place)),
        }
    }
    serializer.collect_seq(ranges)
}

/// Reads places from ranges and from the list of places that older records have.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Place>, D::Error> {
    let elements = Vec::<Element>::deserialize(deserializer)?;
    let mut places = Vec::new();
    for element in elements {
        match element {
            Element::Range(range) => {
                range.check().map_err(D::Error::custom)?;
                places.extend(range.places());
            }
            Element::Place(place) => places.push(place),
        }
    }
    Ok(places)
}

impl PlaceRange {
    fn is_followed_by(self, place: Place) -> bool {
        let Self(occurrence, step, _, last) = self;
        (place.occurrence, place.step) == (occurrence, step)
            && last.checked_add(1) == Some(place.index)
    }

    fn check(self) -> Result<(), String> {
        let Self(_, _, first, last) = self;
        if first <= last && last - first < RANGE_PLACES_MAX {
            return Ok(());
        }
        Err(format!(
            "range from {first} to {last}, expected 1 to {RANGE_PLACES_MAX} places"
        ))
    }

    fn places(self) -> impl Iterator<Item = Place> {
        let Self(occurrence, step, first, last) = self;
        (first..=last).map(move |index| Place {
            occurrence,
            step,
            index,
        })
    }
}

impl From<Place> for PlaceRange {
    fn from(place: Place) -> Self {
        Self(place.occurrence, place.step, place.index, place.index)
    }
}
